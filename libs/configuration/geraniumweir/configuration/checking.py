"""Checks what spans several tables of a document."""

import typing

from geraniumweir.configuration import document, tables

_ENGINE_PATHS = '/v1/'
_SERVICE_PATHS = '/services/'


def check(doc: document.Document, collector: tables.Collector) -> None:
    """Add the faults of a document whose tables were read.

    :param collector: gets the faults; knows the tables' places.
    """
    _check_keys(doc.customers, collector)
    names = {customer.name for customer in doc.customers}
    pools = {pool.name: pool for pool in doc.pools}
    for rule in doc.rules:
        place = collector.place('rule', rule.name)
        for name in rule.when.customer:
            if name not in names:
                reason = f'there is no customer {name!r}'
                collector.add(place.inside('when.customer'), reason)
        match rule.then:
            case document.Route(pool=pool) if pool in pools:
                reason = _misfit(rule.when.path, pools[pool])
                if reason:
                    collector.add(place.inside('then.route'), reason)
            case document.Route(pool=pool) if pool:
                reason = f'there is no pool {pool!r}'
                collector.add(place.inside('then.route'), reason)


def _misfit(path: str | None, pool: document.Pool) -> str:
    """Say why what comes on a path can't go to a pool, if so."""
    path = path or ''
    if path.startswith(_ENGINE_PATHS) and pool.kind != 'engine':
        return f'{path!r} is a path of engines, {pool.name!r} has services'
    if path.startswith(_SERVICE_PATHS) and pool.kind != 'service':
        return f'{path!r} is a path of services, {pool.name!r} has engines'
    return ''


def _check_keys(
    customers: typing.Iterable[document.Customer],
    collector: tables.Collector,
) -> None:
    owners: dict[str, str] = {}
    for customer in customers:
        if customer.key_sha256 is None:
            continue
        owner = owners.setdefault(customer.key_sha256, customer.name)
        if owner != customer.name:
            place = collector.place('customer', customer.name, 'key_sha256')
            collector.add(place, f'is the key of customer {owner!r} too')
