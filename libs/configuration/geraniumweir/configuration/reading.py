"""Reads a document from TOML.

Every fault is collected before the document is refused, each with its line,
its place and what would be accepted. Tables that were the same in the last
documents aren't read again, see :mod:`pieces`. :mod:`tables` reads single
fields, :mod:`rules` a rule, :mod:`checking` what spans several tables and
:mod:`covering` finds rules that never match.

References
==========
.. [1] TOML v1.0.0, https://toml.io/en/v1.0.0
"""

import dataclasses
import re
import tomllib
import typing

from geraniumweir.common import ids
from geraniumweir.configuration import (
    checking,
    covering,
    document,
    errors,
    lines,
    pieces,
    rules,
    tables,
)

MAX_DOCUMENT = 2 * 1024 * 1024
_ROOT_KEYS = frozenset(('customer', 'pool', 'rule', 'server'))
_KINDS = ('engine', 'service')
_MOST_SHARE = 1_000_000
_SHARE = tables.Bounds(0, _MOST_SHARE, above=True)
_KEY_DIGEST = re.compile('[0-9a-f]{64}')
_Entry = typing.TypeVar('_Entry')


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """A document that can be accepted, with what looks like a mistake."""

    document: document.Document
    warnings: tuple[errors.Fault, ...]


def read(text: str) -> document.Document:
    """Turn the text of a configuration file into a document.

    :param text: TOML.
    :raises errors.DocumentError: with every fault found.

    >>> read('pool = [{name = "p"}]').pools[0].kind
    'engine'
    >>> read('[[pol]]')
    Traceback (most recent call last):
    ...
    geraniumweir.configuration.errors.DocumentError: GW-1201: line 1: pol: \
unknown key; accepted are customer, pool, rule, server
    """
    _refuse_unreadable(text)
    return _read_pieces(text) or _read_whole(text)[0]


def check(text: str) -> Checked:
    """Read a document and look for rules that never match.

    :param text: TOML.
    :raises errors.DocumentError: with every fault found.
    """
    _refuse_unreadable(text)
    doc, collector = _read_whole(text)
    warnings = []
    for name, earlier in covering.covered(doc.rules):
        place = collector.place('rule', name)
        reason = f'never matches: rule {earlier!r} before it covers it'
        fault = errors.Fault(str(place), reason, collector.line(place))
        warnings.append(fault)
    return Checked(doc, tuple(warnings))


def read_whole(text: str) -> document.Document:
    """Read a document without regard to those read before.

    :param text: TOML.
    :raises errors.DocumentError: with every fault found.
    """
    _refuse_unreadable(text)
    return _read_whole(text)[0]


def forget() -> None:
    """Let the next document be read as if it were the first."""
    _known.forget()


def _read_pieces(text: str) -> document.Document | None:
    """Read what is new, or give None when all must be read."""
    found = _known.read(text, _read_piece)
    if found is None:
        return None
    names = {(piece.table, piece.name) for piece in found}
    doc = document.Document(
        customers=_of('customer', found),
        pools=_of('pool', found),
        rules=_of('rule', found),
        servers=_of('server', found),
    )
    is_good = len(names) == len(found) and checking.is_sound(doc)
    return doc if is_good else None


def _of(table: str, found: list[pieces.Piece]) -> tuple[typing.Any, ...]:
    return tuple(piece.entry for piece in found if piece.table == table)


def _read_piece(text: str) -> pieces.Piece | None:
    try:
        root = tomllib.loads(text)
    except (RecursionError, ValueError):
        return None
    collector = tables.Collector(text)
    match list(root.items()):
        case [(key, [dict(table)])] if key in _READERS:
            fields = _named(table, tables.Place(key), collector)
        case _:
            return None
    if fields is None:
        return None
    entry = _READERS[key](fields)
    if collector.faults:
        return None
    return pieces.Piece(text, key, fields.place.name or '', entry)


def _read_whole(text: str) -> tuple[document.Document, tables.Collector]:
    root = _parse(text)
    collector = tables.Collector(text)
    for key in root:
        if key not in _ROOT_KEYS:
            accepted = ', '.join(sorted(_ROOT_KEYS))
            collector.add_at_root(key, f'unknown key; accepted are {accepted}')
    doc = document.Document(
        customers=_each(root, 'customer', _customer, collector),
        pools=_each(root, 'pool', _pool, collector),
        rules=_each(root, 'rule', rules.read_rule, collector),
        servers=_each(root, 'server', _server, collector),
    )
    checking.check(doc, collector)
    if collector.faults:
        ordered = sorted(collector.faults, key=lambda fault: fault.line or 0)
        raise errors.DocumentError(ordered)
    return doc, collector


def _refuse_unreadable(text: str) -> None:
    if len(text) > MAX_DOCUMENT:
        raise _bad_file(f'is longer than {MAX_DOCUMENT} characters')
    if not _is_encodable(text):
        raise _bad_file('holds half a surrogate pair, which is no text')


def _parse(text: str) -> dict[str, typing.Any]:
    try:
        return tomllib.loads(text)
    except RecursionError as exc:
        raise _bad_file('is nested too deeply') from exc
    except ValueError as exc:
        # TOMLDecodeError is one; a number of thousands of digits another.
        line = lines.line_of_syntax_error(str(exc))
        raise _bad_file(f'not TOML: {exc}', line) from exc


def _bad_file(reason: str, line: int | None = None) -> errors.DocumentError:
    return errors.DocumentError([errors.Fault('file', reason, line)])


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _each(
    root: dict[str, typing.Any],
    key: str,
    read_one: typing.Callable[[tables.Fields], _Entry],
    collector: tables.Collector,
) -> tuple[_Entry, ...]:
    entries = root.get(key, [])
    if not isinstance(entries, list):
        collector.add_at_root(key, f'is not a list of tables; write [[{key}]]')
        return ()
    found = []
    for number, table in enumerate(entries):
        fields = _named(table, tables.Place(key, number), collector)
        if fields is not None:
            found.append(read_one(fields))
    return tuple(found)


def _named(
    table: typing.Any,
    place: tables.Place,
    collector: tables.Collector,
) -> tables.Fields | None:
    """Enter a table under its name; without one it isn't read further."""
    if not isinstance(table, dict):
        collector.add(place, 'is not a table')
        return None
    key = 'id' if place.table == 'server' else 'name'
    if key not in table:
        collector.add(place, f'has no {key}')
        return None
    name = tables.Fields(table, place, collector).text(key)
    if name is None:
        return None
    named = dataclasses.replace(place, name=name)
    collector.enter(named)
    return tables.Fields(table, named, collector)


def _customer(fields: tables.Fields) -> document.Customer:
    fields.only(('name', 'key_sha256', 'share'))
    key = fields.text('key_sha256')
    if key is not None and _KEY_DIGEST.fullmatch(key.lower()) is None:
        fields.fault('key_sha256', f'{key!r} is not 64 hexadecimal digits')
    return document.Customer(
        ids.CustomerName(fields.table['name']),
        key and key.lower(),
        fields.number('share', _SHARE) or 1,
    )


def _pool(fields: tables.Fields) -> document.Pool:
    fields.only(('name', 'kind'))
    name = fields.table['name']
    if not rules.is_path_segment(name):
        fields.fault('name', 'stands in paths: no "/", "?", "#", "%", blanks')
    kind = fields.text('kind') or _KINDS[0]
    if kind not in _KINDS:
        fields.fault('kind', f'{kind!r} is neither engine nor service')
    return document.Pool(ids.PoolName(name), kind)


def _server(fields: tables.Fields) -> document.ServerOverride:
    fields.only(('id', 'drain', 'forbid'))
    return document.ServerOverride(
        ids.ServerId(fields.table['id']),
        bool(fields.flag('drain')),
        bool(fields.flag('forbid')),
    )


_READERS: dict[str, typing.Callable[[tables.Fields], typing.Any]] = {
    'customer': _customer,
    'pool': _pool,
    'rule': rules.read_rule,
    'server': _server,
}
_known = pieces.Pieces()
