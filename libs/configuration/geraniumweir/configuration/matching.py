"""Finds the rule that decides a request: the first that matches.

This is the plain version that says what is right; :mod:`compiling` gives the
same answers faster.
"""

import dataclasses
import fnmatch
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import document


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What rules may look at in a request.

    :ivar headers: with lower-case names.
    :ivar prompt_tokens: estimated from the prompt's length.
    """

    customer: ids.CustomerName
    path: str
    failure_domain: ids.FailureDomain
    model: str | None = None
    headers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)
    prompt_tokens: int = 0
    idempotent: bool = True


def first_match(
    rules: typing.Iterable[document.Rule],
    facts: Facts,
) -> document.Rule | None:
    """Find the first rule that matches.

    :param rules: in the operators' order.
    :param facts: of the request.

    >>> rule = document.Rule(
    ...     ids.RuleName('all'), document.When(), document.Refuse('no')
    ... )
    >>> facts = Facts(ids.CustomerName('c'), '/', ids.FailureDomain('d'))
    >>> first_match([rule], facts).name
    'all'
    """
    for rule in rules:
        if mismatch(rule.when, facts) is None:
            return rule
    return None


def mismatch(when: document.When, facts: Facts) -> str | None:
    """Name the first field of a condition that a request doesn't meet.

    :returns: the field's name as in the file, or None where all are met.
    """
    for field, met in _conditions(when, facts):
        if not met:
            return field
    return None


def mismatch_beside_path(
    when: document.When,
    facts: Facts,
) -> str | None:
    """Name the first field not met, where the path is known to be met.

    Written for speed: the hot path of every request goes through it.
    """
    if when.customer and facts.customer not in when.customer:
        return 'customer'
    if when.model is not None and facts.model != when.model:
        return 'model'
    if when.header and not _headers_met(when, facts):
        return 'header'
    if not _tokens_met(when, facts):
        return 'prompt_tokens'
    return _mismatch_of_call(when, facts)


def _mismatch_of_call(when: document.When, facts: Facts) -> str | None:
    if when.idempotent not in {None, facts.idempotent}:
        return 'idempotent'
    domains = when.failure_domain
    if domains and facts.failure_domain not in domains:
        return 'failure_domain'
    return None


def _conditions(
    when: document.When,
    facts: Facts,
) -> typing.Iterator[tuple[str, bool]]:
    yield 'customer', not when.customer or facts.customer in when.customer
    yield (
        'path',
        when.path is None or fnmatch.fnmatchcase(facts.path, when.path),
    )
    yield 'model', when.model is None or facts.model == when.model
    yield 'header', _headers_met(when, facts)
    yield 'prompt_tokens', _tokens_met(when, facts)
    yield 'idempotent', when.idempotent in {None, facts.idempotent}
    domains = when.failure_domain
    yield 'failure_domain', not domains or facts.failure_domain in domains


def _headers_met(when: document.When, facts: Facts) -> bool:
    return all(
        facts.headers.get(name) == text for name, text in when.header.items()
    )


def _tokens_met(when: document.When, facts: Facts) -> bool:
    if when.min_tokens is not None and facts.prompt_tokens < when.min_tokens:
        return False
    return when.max_tokens is None or facts.prompt_tokens <= when.max_tokens
