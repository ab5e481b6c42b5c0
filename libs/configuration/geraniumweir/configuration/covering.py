"""Finds rules that can never match because an earlier one covers them.

Covering is decided field by field and only where it is certain: an earlier
rule covers a later one if each of its fields asks no more than the later
one's. So a warning is always true, but a rule covered by several earlier ones
together is not found.
"""

import fnmatch
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import document

_WILD = '*?['


def covered(
    rules: typing.Sequence[document.Rule],
) -> typing.Iterator[tuple[ids.RuleName, ids.RuleName]]:
    """Give each rule that never matches with the first rule that covers it.

    :param rules: in the operators' order.

    >>> rules = [
    ...     document.Rule(ids.RuleName(name), when, document.Refuse('no'))
    ...     for name, when in (
    ...         ('all', document.When()),
    ...         ('some', document.When(model='m')),
    ...     )
    ... ]
    >>> list(covered(rules))
    [('some', 'all')]
    """
    for position, rule in enumerate(rules):
        for earlier in rules[:position]:
            if covers(earlier.when, rule.when):
                yield rule.name, earlier.name
                break


def covers(one: document.When, other: document.When) -> bool:
    """Tell whether all that meets the other condition meets this one."""
    return all(
        (
            _set_covers(one.customer, other.customer),
            _set_covers(one.failure_domain, other.failure_domain),
            one.model in {None, other.model},
            one.idempotent in {None, other.idempotent},
            one.header.items() <= other.header.items(),
            _tokens_cover(one, other),
            path_covers(one.path, other.path),
        ),
    )


def _set_covers(
    one: typing.Collection[str],
    other: typing.Collection[str],
) -> bool:
    return not one or (bool(other) and set(other) <= set(one))


def _tokens_cover(one: document.When, other: document.When) -> bool:
    if one.min_tokens and one.min_tokens > (other.min_tokens or 0):
        return False
    if one.max_tokens is None:
        return True
    return other.max_tokens is not None and other.max_tokens <= one.max_tokens


def path_covers(one: str | None, other: str | None) -> bool:
    """Tell whether a glob surely matches all that another one matches.

    >>> path_covers('/services/*', '/services/a/*')
    True
    >>> path_covers('/services/a?', '/services/a*')
    False
    """
    if one is None or one == other or not one.strip('*'):
        return True
    if other is None:
        return False
    if not _is_wild(other):
        return fnmatch.fnmatchcase(other, one)
    # A literal and one star at the end covers what begins with the literal.
    literal = one.removesuffix('*')
    if literal == one or _is_wild(literal):
        return False
    return other.startswith(literal)


def _is_wild(glob: str) -> bool:
    return any(mark in glob for mark in _WILD)
