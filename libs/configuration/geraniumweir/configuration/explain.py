"""Tells which rule decides a request, and why no earlier one did."""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import document, errors, matching

_FACTS = frozenset(
    (
        'customer',
        'path',
        'failure_domain',
        'model',
        'headers',
        'prompt_tokens',
        'idempotent',
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """A rule before the deciding one, and what kept it from matching.

    :ivar field: the first field that isn't met, as in the file.
    :ivar wanted: what the rule asks.
    :ivar got: what the request has.
    """

    rule: ids.RuleName
    field: str
    wanted: typing.Any
    got: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """How a request is decided.

    :ivar rule: the one that decides, or None where none matches.
    :ivar passed: the rules before it, in order.
    :ivar known: whether the customer is one; a call of nobody we know is
        refused before any rule.
    """

    version: ids.Version
    rule: document.Rule | None
    passed: tuple[Passed, ...]
    known: bool = True

    def as_json(self) -> dict[str, typing.Any]:
        """Give what operators see."""
        return {
            'version': self.version,
            'customer_known': self.known,
            'rule': self.rule and self.rule.name,
            'then': _then_as_json(self.rule),
            'passed': [dataclasses.asdict(passed) for passed in self.passed],
        }


def explain(
    in_force: document.InForce,
    facts: matching.Facts,
) -> Explanation:
    """Decide a request and say why.

    :param in_force: the rules.
    :param facts: of the request.

    >>> facts = matching.Facts(
    ...     ids.CustomerName('c'), '/', ids.FailureDomain('d')
    ... )
    >>> explain(document.EMPTY, facts).as_json()['rule'] is None
    True
    """
    passed = []
    known = in_force.document.customer(facts.customer) is not None
    for rule in in_force.document.rules:
        field = matching.mismatch(rule.when, facts)
        if field is None:
            return Explanation(in_force.version, rule, tuple(passed), known)
        wanted, got = _compared(field, rule.when, facts)
        passed.append(Passed(rule.name, field, wanted, got))
    return Explanation(in_force.version, None, tuple(passed), known)


def facts_from_json(
    request: typing.Any,
    failure_domain: ids.FailureDomain,
) -> matching.Facts:
    """Read the request that an operator asks about.

    :param request: with ``customer`` and ``path``, and where they matter
        ``model``, ``headers``, ``prompt_tokens``, ``idempotent`` and
        ``failure_domain``.
    :param failure_domain: where the request doesn't say.
    :raises errors.RequestError: with the field that is wrong.

    >>> request = {'customer': 'c', 'path': '/v1/completions'}
    >>> facts_from_json(request, ids.FailureDomain('milano-a')).failure_domain
    'milano-a'
    """
    if not isinstance(request, dict):
        raise errors.RequestError('the request is not an object')
    unknown = sorted(set(request) - _FACTS)
    if unknown:
        accepted = ', '.join(sorted(_FACTS))
        raise errors.RequestError(f'{unknown[0]}: not one of {accepted}')
    headers = _fact(request, 'headers', dict, {})
    domain = _fact(request, 'failure_domain', str, failure_domain)
    return matching.Facts(
        customer=ids.CustomerName(_fact(request, 'customer', str, '')),
        path=_fact(request, 'path', str, '/v1/chat/completions'),
        failure_domain=ids.FailureDomain(domain),
        model=_fact(request, 'model', str, None),
        headers={name.lower(): str(text) for name, text in headers.items()},
        prompt_tokens=_fact(request, 'prompt_tokens', int, 0),
        idempotent=_fact(request, 'idempotent', bool, default=True),
    )


def _fact(
    request: dict[str, typing.Any],
    name: str,
    wanted: type,
    default: typing.Any,
) -> typing.Any:
    found = request.get(name)
    if found is None:
        return default
    is_flag = isinstance(found, bool) and wanted is not bool
    if is_flag or not isinstance(found, wanted):
        raise errors.RequestError(f'{name}: {found!r} is no {wanted.__name__}')
    return found


def _compared(
    field: str,
    when: document.When,
    facts: matching.Facts,
) -> tuple[typing.Any, typing.Any]:
    match field:
        case 'header':
            got = {name: facts.headers.get(name) for name in when.header}
            return dict(when.header), got
        case 'prompt_tokens':
            wanted = {'min': when.min_tokens, 'max': when.max_tokens}
            return wanted, facts.prompt_tokens
        case 'customer' | 'failure_domain':
            return list(getattr(when, field)), getattr(facts, field)
        case _:
            return getattr(when, field), getattr(facts, field)


def _then_as_json(rule: document.Rule | None) -> dict[str, typing.Any] | None:
    if rule is None:
        return None
    match rule.then:
        case document.Route() as route:
            said = dataclasses.asdict(route)
            said['route'] = said.pop('pool')
            return said
        case document.Refuse(reason=reason, status=status):
            return {'refuse': reason, 'status': status}
