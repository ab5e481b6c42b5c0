"""Reads a document from TOML.

Every fault is collected before the document is refused, each with its place.
Unknown keys are faults: a misspelt limit that is silently ignored is worse
than a refused file.

References
==========
.. [1] TOML v1.0.0, https://toml.io/en/v1.0.0
"""

import tomllib
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import document, errors

_Table = dict[str, typing.Any]
_ROOT_KEYS = frozenset(('customer', 'pool', 'rule', 'server'))
_KINDS = ('engine', 'service')


def read(text: str) -> document.Document:
    """Turn the text of a configuration file into a document.

    :param text: TOML.
    :raises errors.DocumentError: with every fault found.

    >>> read('pool = [{name = "p"}]').pools[0].kind
    'engine'
    >>> read('[[pol]]')
    Traceback (most recent call last):
    ...
    geraniumweir.configuration.errors.DocumentError: GW-1201: pol: unknown key
    """
    try:
        root = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        fault = errors.Fault('file', f'not TOML: {exc}')
        raise errors.DocumentError([fault]) from exc
    reader = _Reader()
    doc = reader.whole(root)
    if reader.faults:
        raise errors.DocumentError(reader.faults)
    return doc


class _Reader:
    """Walks the tables and collects faults."""

    def __init__(self) -> None:
        self.faults: list[errors.Fault] = []

    def whole(self, root: _Table) -> document.Document:
        self._only(root, _ROOT_KEYS, '')
        doc = document.Document(
            customers=self._each(root, 'customer', self._customer),
            pools=self._each(root, 'pool', self._pool),
            rules=self._each(root, 'rule', self._rule),
            servers=self._each(root, 'server', self._server),
        )
        self._check_routes(doc)
        return doc

    def _fault(self, place: str, reason: str) -> None:
        self.faults.append(errors.Fault(place, reason))

    def _only(
        self,
        table: _Table,
        keys: typing.Collection[str],
        place: str,
    ) -> None:
        for key in table:
            if key not in keys:
                self._fault(f'{place} {key}'.strip(), 'unknown key')

    def _each(
        self,
        root: _Table,
        key: str,
        read_one: typing.Callable[[_Table, str], typing.Any],
    ) -> tuple[typing.Any, ...]:
        found = []
        for number, table in enumerate(root.get(key, ()), start=1):
            name = table.get('name', table.get('id'))
            place = f'{key} {name!r}' if name else f'{key} number {number}'
            if not name:
                self._fault(place, 'has no name')
                continue
            found.append(read_one(table, place))
        return tuple(found)

    def _customer(self, table: _Table, place: str) -> document.Customer:
        self._only(table, ('name', 'key_sha256', 'share'), place)
        return document.Customer(
            ids.CustomerName(table['name']),
            table.get('key_sha256'),
            table.get('share', 1),
        )

    def _pool(self, table: _Table, place: str) -> document.Pool:
        self._only(table, ('name', 'kind'), place)
        kind = table.get('kind', _KINDS[0])
        if kind not in _KINDS:
            self._fault(place, f'kind {kind!r} is none of {_KINDS}')
        return document.Pool(ids.PoolName(table['name']), kind)

    def _server(self, table: _Table, place: str) -> document.ServerOverride:
        self._only(table, ('id', 'drain', 'forbid'), place)
        return document.ServerOverride(
            ids.ServerId(table['id']),
            table.get('drain', False),
            table.get('forbid', False),
        )

    def _rule(self, table: _Table, place: str) -> document.Rule:
        self._only(table, ('name', 'when', 'then'), place)
        return document.Rule(
            ids.RuleName(table['name']),
            self._when(table.get('when', {}), place),
            self._then(table.get('then', {}), place),
        )

    def _when(self, table: _Table, place: str) -> document.When:
        tokens = table.get('prompt_tokens', {})
        header = table.get('header', {})
        return document.When(
            customer=tuple(table.get('customer', ())),
            path=table.get('path'),
            model=table.get('model'),
            header={name.lower(): text for name, text in header.items()},
            min_tokens=tokens.get('min'),
            max_tokens=tokens.get('max'),
            idempotent=table.get('idempotent'),
            failure_domain=tuple(table.get('failure_domain', ())),
        )

    def _then(
        self,
        table: _Table,
        place: str,
    ) -> document.Route | document.Refuse:
        reason = table.get('refuse')
        if reason is not None:
            status = table.get('status', document.DEFAULT_REFUSAL_STATUS)
            return document.Refuse(reason, status)
        if 'route' not in table:
            self._fault(f'{place}, then', 'has neither route nor refuse')
        return document.Route(
            pool=ids.PoolName(table.get('route', '')),
            tier=self._tier(table.get('tier', ids.Tier.normal), place),
            deadline_ms=table.get('deadline_ms'),
            rate_per_s=table.get('rate_per_s'),
            max_running=table.get('max_running'),
            max_waiting=table.get('max_waiting'),
            idempotent=table.get('idempotent', True),
        )

    def _tier(self, number: typing.Any, place: str) -> ids.Tier:
        try:
            return ids.Tier(number)
        except ValueError:
            self._fault(f'{place}, then.tier', f'{number!r} is not 0 to 3')
        return ids.Tier.normal

    def _check_routes(self, doc: document.Document) -> None:
        for rule in doc.rules:
            match rule.then:
                case document.Route(pool=name):
                    self._check_pool(doc, rule.name, name)
                case document.Refuse():
                    pass

    def _check_pool(
        self,
        doc: document.Document,
        rule: ids.RuleName,
        pool: ids.PoolName,
    ) -> None:
        if doc.pool(pool) is None:
            place = f'rule {rule!r}, then.route'
            self._fault(place, f'there is no pool {pool!r}')
