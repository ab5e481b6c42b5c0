"""A document made ready for deciding requests fast.

Done once when a document comes in force. Customers are found by name and by
digest of their key in one look-up. Rules are found by keeping, for each pair
of customer and model that rules name, only the rules that can match it, in
their order; the remaining fields are compared rule by rule, with globs turned
into equality, prefixes or compiled patterns. The lists are made when first
needed and thrown away together when there are too many, so memory is bounded.

The answer is always that of :func:`matching.first_match`, which a test
compares.
"""

import fnmatch
import re
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import document, matching

_MOST_LISTS = 2048
_WILD = re.compile(r'[*?\[]')
_PathTest = typing.Callable[[str], bool]
_Candidate = tuple[document.Rule, _PathTest | None]


class CompiledDocument:
    """Look-ups in one document.

    :ivar document: what it was made from.

    >>> rule = document.Rule(
    ...     ids.RuleName('all'), document.When(path='/v1/*'),
    ...     document.Refuse('no'),
    ... )
    >>> compiled = CompiledDocument(document.Document(rules=(rule,)))
    >>> facts = matching.Facts(
    ...     ids.CustomerName('c'), '/v1/x', ids.FailureDomain('d')
    ... )
    >>> compiled.first_match(facts).name
    'all'
    """

    def __init__(self, doc: document.Document) -> None:
        """Index a document.

        :param doc: a checked one.
        """
        self.document = doc
        self._by_name = {customer.name: customer for customer in doc.customers}
        self._by_key = {
            customer.key_sha256: customer
            for customer in doc.customers
            if customer.key_sha256 is not None
        }
        self._pools = {pool.name: pool for pool in doc.pools}
        self._servers = {server.server_id: server for server in doc.servers}
        self._rules = [(rule, path_test(rule.when.path)) for rule in doc.rules]
        self._named = {
            name for rule in doc.rules for name in rule.when.customer
        }
        self._models = {rule.when.model for rule in doc.rules}
        self._lists: dict[
            tuple[ids.CustomerName | None, str | None],
            list[_Candidate],
        ] = {}

    def customer_named(
        self,
        name: ids.CustomerName,
    ) -> document.Customer | None:
        """Find a customer by name."""
        return self._by_name.get(name)

    def customer_of_key(self, key_sha256: str) -> document.Customer | None:
        """Find a customer by the digest of its key.

        :param key_sha256: in lower-case hexadecimal.
        """
        return self._by_key.get(key_sha256)

    def pool(self, name: ids.PoolName) -> document.Pool | None:
        """Find a pool by name."""
        return self._pools.get(name)

    def override(self, server_id: ids.ServerId) -> document.ServerOverride:
        """Find what is said of a server; the default says nothing."""
        found = self._servers.get(server_id)
        return found or document.ServerOverride(server_id)

    def first_match(self, facts: matching.Facts) -> document.Rule | None:
        """Find the first rule that matches a request."""
        for rule, test in self._candidates(facts):
            if test is not None and not test(facts.path):
                continue
            if matching.mismatch_beside_path(rule.when, facts) is None:
                return rule
        return None

    def _candidates(self, facts: matching.Facts) -> list[_Candidate]:
        # Names that no rule knows share one list: callers choose models.
        customer = facts.customer if facts.customer in self._named else None
        model = facts.model if facts.model in self._models else None
        found = self._lists.get((customer, model))
        if found is None:
            if len(self._lists) >= _MOST_LISTS:
                self._lists.clear()
            found = self._select(customer, model)
            self._lists[customer, model] = found
        return found

    def _select(
        self,
        customer: ids.CustomerName | None,
        model: str | None,
    ) -> list[_Candidate]:
        return [
            (rule, test)
            for rule, test in self._rules
            if (not rule.when.customer or customer in rule.when.customer)
            and rule.when.model in {None, model}
        ]


def path_test(glob: str | None) -> _PathTest | None:
    """Turn a glob into the cheapest test that says the same.

    :returns: None where every path matches.

    >>> path_test('/v1/*')('/v1/completions')
    True
    """
    if glob is None or glob == '*':
        return None
    literal = glob.removesuffix('*')
    if _WILD.search(literal) is not None:
        pattern = re.compile(fnmatch.translate(glob))
        return lambda path: pattern.match(path) is not None
    if literal == glob:
        return glob.__eq__
    return lambda path: path.startswith(literal)
