"""Converts the operators' JSON bodies to typed values and rows to JSON.

The error for a missing, unknown or wrongly typed field names the field.
"""

import dataclasses
import enum
import json
import typing

from geraniumweir.common import ids
from geraniumweir.daemon import operations

_MAX_ID = 128
_Table = dict[str, typing.Any]


def change(body: bytes) -> operations.Change:
    """Read a change of the configuration.

    :raises operations.MalformedError: naming the invalid field.
    """
    fields = _Fields(body, ('base', 'change_id', 'document'))
    return operations.Change(
        base=ids.Version(fields.number('base')),
        change_id=ids.ChangeId(fields.identifier('change_id')),
        document=fields.text('document'),
    )


def order(body: bytes) -> operations.Order:
    """Read an order to a backend server.

    :raises operations.MalformedError: naming the invalid field.

    >>> order(b'{"server": "a", "order": "set_role", "role": "x"}').subject
    'x'
    """
    subjects = ('model', 'adapter', 'role')
    fields = _Fields(
        body, ('server', 'order', 'version', 'order_id', *subjects)
    )
    kind = fields.choice('order', operations.OrderKind)
    return operations.Order(
        server_id=ids.ServerId(fields.identifier('server')),
        kind=kind,
        subject=fields.identifier(kind.value.rpartition('_')[-1]),
        version=fields.text('version', ''),
        order_id=fields.text('order_id', ''),
    )


def recorder(body: bytes) -> tuple[ids.HostId, ids.Address]:
    """Read a recorder to add.

    :raises operations.MalformedError: naming the invalid field.
    """
    fields = _Fields(body, ('host_id', 'address'))
    try:
        address = ids.parse_address(fields.text('address'))
    except ValueError as exc:
        raise operations.MalformedError(f'address: {exc}') from exc
    return ids.HostId(fields.identifier('host_id')), address


def drain(body: bytes) -> bool:
    """Return whether to drain or to end a drain; an empty body drains."""
    return _Fields(body or b'{}', ('drain',)).flag('drain', True)


def read_json(body: bytes) -> typing.Any:
    """Return the value of any JSON text.

    :raises operations.MalformedError: when it is not JSON.
    """
    try:
        return json.loads(body)
    except ValueError as exc:
        raise operations.MalformedError(f'not JSON: {exc}') from exc


def plain(row: typing.Any) -> typing.Any:
    """Convert a typed value to one that JSON can represent.

    >>> plain(operations.OrderResult(ids.ServerId('a'), 7))
    {'server_id': 'a', 'fencing': 7}
    """
    if dataclasses.is_dataclass(row) and not isinstance(row, type):
        names = (field.name for field in dataclasses.fields(row))
        return {name: plain(getattr(row, name)) for name in names}
    match row:
        case enum.IntEnum():
            return int(row)
        case enum.Enum():
            return row.value
        case list() | tuple():
            return [plain(inner) for inner in row]
        case dict():
            return {key: plain(inner) for key, inner in row.items()}
        case _:
            return row


class _Fields:
    """The fields of one JSON object."""

    def __init__(self, body: bytes, names: typing.Collection[str]) -> None:
        table = read_json(body)
        if not isinstance(table, dict):
            raise operations.MalformedError('not a JSON object')
        for key in table:
            if key not in names:
                accepted = ', '.join(names)
                raise operations.MalformedError(
                    f'{key}: unknown field; accepted are {accepted}',
                )
        self._table: _Table = table

    def text(self, key: str, default: typing.Any = ...) -> typing.Any:
        found = self._get(key, default)
        if found is default or isinstance(found, str):
            return found
        raise operations.MalformedError(f'{key}: {found!r} is not a string')

    def identifier(self, key: str) -> str:
        found = self.text(key)
        if 0 < len(found) <= _MAX_ID:
            return str(found)
        raise operations.MalformedError(
            f'{key}: {found!r} is not 1 to {_MAX_ID} characters',
        )

    def number(self, key: str, default: typing.Any = ...) -> int:
        found = self._get(key, default)
        is_integer = isinstance(found, int) and not isinstance(found, bool)
        if is_integer and found >= 0:
            return int(found)
        raise operations.MalformedError(
            f'{key}: {found!r} is not a whole number from 0 up',
        )

    def flag(self, key: str, default: bool) -> bool:
        found = self._get(key, default)
        if isinstance(found, bool):
            return found
        raise operations.MalformedError(f'{key}: {found!r} is no true or false')

    def choice(
        self,
        key: str,
        kinds: type[operations.OrderKind],
    ) -> operations.OrderKind:
        found = self._get(key, ...)
        try:
            return kinds(found)
        except ValueError:
            accepted = ', '.join(kind.value for kind in kinds)
        raise operations.MalformedError(
            f'{key}: {found!r} is none of {accepted}',
        )

    def _get(self, key: str, default: typing.Any) -> typing.Any:
        found = self._table.get(key, default)
        if found is ...:
            raise operations.MalformedError(f'{key}: missing')
        return found
