"""Finds the rule of a request, and its customer, through an index.

The answer is that of a walk over all routes, the longest prefix first; the
index takes as many steps as the path has slashes, whatever the number of
routes.
"""

import random
import typing

from geraniumweir.common import ids
from geraniumweir.routing import tables

_Prefixes = dict[str, tables.Route]


class Index:
    """A document as it decides requests.

    :ivar document: what it was made from.
    """

    def __init__(self, document: tables.Document) -> None:
        """Index a document, which has been checked."""
        self.document = document
        self._prefixes_by_host: dict[str, _Prefixes] = {}
        for route in document.routes:
            prefixes = self._prefixes_by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
        self._pools = {pool.name: pool for pool in document.pools}
        self._customers_by_name = {
            entry.name: entry for entry in document.customers
        }
        self._customers_by_key = {
            key: customer
            for customer in document.customers
            for key in customer.keys
        }

    @property
    def version(self) -> ids.Version:
        """The version of the document."""
        return self.document.version

    def route(self, host: str, path: str) -> tables.Route | None:
        """Find the first rule that matches.

        :param host: as in the ``Host`` header.
        :param path: without the query.
        """
        prefixes = self._prefixes_by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None

    def pool(self, name: ids.PoolName) -> tables.Pool | None:
        """Find a pool."""
        return self._pools.get(name)

    def customer(self, key: str) -> tables.Customer | None:
        """Find whose key it is."""
        return self._customers_by_key.get(key)

    def customer_named(
        self,
        name: ids.CustomerName,
    ) -> tables.Customer | None:
        """Find a customer by name."""
        return self._customers_by_name.get(name)


def normalize_host(host: str) -> str:
    """Give a ``Host`` header without its port, in lower case.

    >>> normalize_host('Ficu95.example:8080')
    'ficu95.example'
    """
    return host.partition(':')[0].lower()


def choose_pool(
    targets: typing.Sequence[tables.Target],
    rng: random.Random,
) -> ids.PoolName:
    """Choose a pool by the weights.

    :param targets: with weights that add up to more than 0.
    """
    if len(targets) == 1:
        return targets[0].pool
    weights = [target.weight for target in targets]
    return rng.choices(targets, weights)[0].pool
