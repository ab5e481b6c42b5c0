"""Reads one rule: its condition and what is done."""

import http
import re

from geraniumweir.common import ids
from geraniumweir.configuration import document, tables

_WHEN_KEYS = (
    'customer',
    'path',
    'model',
    'header',
    'prompt_tokens',
    'idempotent',
    'failure_domain',
)
_ROUTE_KEYS = (
    'route',
    'tier',
    'deadline_ms',
    'rate_per_s',
    'max_running',
    'max_waiting',
    'idempotent',
)
_REFUSE_KEYS = ('refuse', 'status')
_HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_A_DAY_MS = 24 * 60 * 60 * 1000
_LAST_STATUS = 599
_MOST = 1_000_000_000
_DEADLINE = tables.Bounds(1, _A_DAY_MS)
_TIER = tables.Bounds(ids.Tier.urgent, ids.Tier.low)
_RATE = tables.Bounds(0, _MOST, above=True)
_FROM_ONE = tables.Bounds(1, _MOST)
_FROM_NONE = tables.Bounds(0, _MOST)
_STATUS = tables.Bounds(http.HTTPStatus.BAD_REQUEST, _LAST_STATUS)


def read_rule(fields: tables.Fields) -> document.Rule:
    """Read a rule from its table."""
    fields.only(('name', 'when', 'then'))
    when = _when(fields.inner('when'))
    then = _then(fields.inner('then'))
    return document.Rule(ids.RuleName(fields.table['name']), when, then)


def is_path_segment(name: str) -> bool:
    """Tell whether a name can stand in a path as it is.

    >>> is_path_segment('voorraad-api'), is_path_segment('a/b')
    (True, False)
    """
    return re.search(r'[/?#%\s]', name) is None


def _when(fields: tables.Fields) -> document.When:
    fields.only(_WHEN_KEYS)
    tokens = fields.inner('prompt_tokens')
    tokens.only(('min', 'max'))
    least = tokens.integer('min', _FROM_NONE)
    most = tokens.integer('max', _FROM_NONE)
    if least is not None and most is not None and least > most:
        tokens.fault('min', f'{least} is more than max, {most}')
    return document.When(
        customer=tuple(map(ids.CustomerName, fields.texts('customer'))),
        path=_path(fields),
        model=fields.text('model'),
        header=_headers(fields.inner('header')),
        min_tokens=least,
        max_tokens=most,
        idempotent=fields.flag('idempotent'),
        failure_domain=tuple(
            map(ids.FailureDomain, fields.texts('failure_domain')),
        ),
    )


def _path(fields: tables.Fields) -> str | None:
    glob = fields.text('path')
    if glob is None:
        return None
    if not glob.startswith(('/', '*')):
        fields.fault('path', f'{glob!r} can never match: paths begin with "/"')
    if _has_open_bracket(glob):
        fields.fault('path', f'{glob!r} has "[" without "]"')
    return glob


def _has_open_bracket(glob: str) -> bool:
    """Find a ``[`` that the glob matcher would take for itself."""
    at = glob.find('[')
    while at >= 0:
        # A bracket right after the first one, or after "!", is a member.
        first = at + 2 if glob[at + 1 : at + 2] == '!' else at + 1
        end = glob.find(']', first + 1)
        if end < 0:
            return True
        at = glob.find('[', end)
    return False


def _headers(fields: tables.Fields) -> dict[str, str]:
    found: dict[str, str] = {}
    for name in fields.table:
        text = fields.text(name)
        if _HEADER_NAME.fullmatch(name) is None:
            fields.fault(name, 'is no name of a header')
        elif name.lower() in found:
            fields.fault(name, 'stands twice; case does not matter')
        elif text is not None:
            found[name.lower()] = text
    return found


def _then(fields: tables.Fields) -> document.Route | document.Refuse:
    has_route = 'route' in fields.table
    has_refuse = 'refuse' in fields.table
    if has_route and has_refuse:
        fields.fault('refuse', 'stands beside route; a rule does one thing')
    elif has_refuse:
        return _refuse(fields)
    elif not has_route:
        place = fields.place
        fields.collector.add(place, 'has neither route nor refuse')
    return _route(fields)


def _refuse(fields: tables.Fields) -> document.Refuse:
    fields.only(_REFUSE_KEYS)
    status = fields.integer('status', _STATUS)
    return document.Refuse(
        fields.text('refuse') or '',
        status or document.DEFAULT_REFUSAL_STATUS,
    )


def _route(fields: tables.Fields) -> document.Route:
    fields.only((*_ROUTE_KEYS, 'refuse'))
    tier = fields.integer('tier', _TIER)
    return document.Route(
        pool=ids.PoolName(fields.text('route') or ''),
        tier=ids.Tier.normal if tier is None else ids.Tier(tier),
        deadline_ms=fields.integer('deadline_ms', _DEADLINE),
        rate_per_s=fields.number('rate_per_s', _RATE),
        max_running=fields.integer('max_running', _FROM_ONE),
        max_waiting=fields.integer('max_waiting', _FROM_NONE),
        idempotent=fields.flag('idempotent') is not False,
    )
