"""Checks what spans several tables of a document."""

import dataclasses
import typing

from geraniumweir.configuration import document, tables

_ENGINE_PATHS = '/v1/'
_SERVICE_PATHS = '/services/'


@dataclasses.dataclass(frozen=True, slots=True)
class _Clash:
    """A fault of one table in view of the others."""

    table: str
    name: str
    field: str
    reason: str


def check(doc: document.Document, collector: tables.Collector) -> None:
    """Add the faults of a document whose tables were read.

    :param collector: gets the faults; knows the tables' places.
    """
    for clash in _clashes(doc):
        place = collector.place(clash.table, clash.name, clash.field)
        collector.add(place, clash.reason)


def is_sound(doc: document.Document) -> bool:
    """Tell whether a document whose tables were read has no such fault."""
    return next(_clashes(doc), None) is None


def _clashes(doc: document.Document) -> typing.Iterator[_Clash]:
    yield from _clashes_of_keys(doc.customers)
    names = {customer.name for customer in doc.customers}
    pools = {pool.name: pool for pool in doc.pools}
    for rule in doc.rules:
        for name in rule.when.customer:
            if name not in names:
                reason = f'there is no customer {name!r}'
                yield _Clash('rule', rule.name, 'when.customer', reason)
        reason = _misrouted(rule, pools)
        if reason:
            yield _Clash('rule', rule.name, 'then.route', reason)


def _misrouted(
    rule: document.Rule,
    pools: typing.Mapping[str, document.Pool],
) -> str:
    """Say why a rule can't send to its pool, if so."""
    match rule.then:
        case document.Route(pool=pool) if pool in pools:
            return _misfit(rule.when.path, pools[pool])
        case document.Route(pool=pool) if pool:
            return f'there is no pool {pool!r}'
    return ''


def _misfit(path: str | None, pool: document.Pool) -> str:
    """Say why what comes on a path can't go to a pool, if so."""
    path = path or ''
    if path.startswith(_ENGINE_PATHS) and pool.kind != 'engine':
        return f'{path!r} is a path of engines, {pool.name!r} has services'
    if path.startswith(_SERVICE_PATHS) and pool.kind != 'service':
        return f'{path!r} is a path of services, {pool.name!r} has engines'
    return ''


def _clashes_of_keys(
    customers: typing.Iterable[document.Customer],
) -> typing.Iterator[_Clash]:
    owners: dict[str, str] = {}
    for customer in customers:
        if customer.key_sha256 is None:
            continue
        owner = owners.setdefault(customer.key_sha256, customer.name)
        if owner != customer.name:
            reason = f'is the key of customer {owner!r} too'
            yield _Clash('customer', customer.name, 'key_sha256', reason)
