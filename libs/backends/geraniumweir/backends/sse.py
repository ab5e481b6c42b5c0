"""Server-sent events, as OpenAI-style engines stream them.

Bytes become whole events, so that nothing is handed on that a lost connection
cut in the middle; each event keeps the bytes it came in.

References
==========
.. [1] WHATWG, "Server-sent events", section 9.2.6, "Interpreting an event
   stream", https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

import dataclasses
import enum
import json
import re
import typing

from geraniumweir.backends import errors

DONE = b'[DONE]'
_END = re.compile(rb'\r?\n\r?\n')
_FIELDS = frozenset((b'data', b'event', b'id', b'retry', b''))
_LONGEST_EVENT = 1024 * 1024
_SHOWN = 80


class Kind(enum.Enum):
    """What an event is for."""

    chunk = 'chunk'
    done = 'done'
    comment = 'comment'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    :ivar raw: its bytes, with the blank line that ends it.
    :ivar answer_id: the ``id`` of the JSON it carries, or None.
    :ivar number: the number in its ``id:`` line, or None.
    """

    raw: bytes
    kind: Kind
    answer_id: str | None = None
    number: int | None = None


class Splitter:
    r"""Cuts bytes into whole events.

    >>> splitter = Splitter()
    >>> splitter.feed(b'data: {"id": "a"}\n\nda')
    [b'data: {"id": "a"}\n\n']
    >>> splitter.pending
    True
    """

    def __init__(self) -> None:
        """Start with nothing pending."""
        self._rest = b''

    @property
    def pending(self) -> bool:
        """Whether part of an event has come."""
        return bool(self._rest.strip())

    def feed(self, chunk: bytes) -> list[bytes]:
        """Take bytes and give the events that they end.

        :raises errors.GarbledError: when an event grows past all measure.
        """
        text = self._rest + chunk
        found = []
        start = 0
        for end in _END.finditer(text):
            found.append(text[start : end.end()])
            start = end.end()
        self._rest = text[start:]
        if len(self._rest) > _LONGEST_EVENT:
            raise errors.GarbledError('an event of the stream never ends')
        return found


def read_event(raw: bytes) -> Event:
    r"""Read one event.

    :param raw: of :class:`Splitter`.
    :raises errors.GarbledError: when it is no event or carries no JSON.
    :raises errors.ServerFailedError: when it says that the engine failed.

    >>> read_event(b'data: [DONE]\n\n').kind
    <Kind.done: 'done'>
    """
    fields = _fields(raw)
    if fields.get(b'event') == b'error':
        raise errors.ServerFailedError('the engine ended in an error')
    payload = fields.get(b'data')
    if payload is None:
        return Event(raw, Kind.comment)
    if payload == DONE:
        return Event(raw, Kind.done)
    number = fields.get(b'id', b'')
    return Event(
        raw,
        Kind.chunk,
        answer_id(read_object(payload)),
        int(number) if number.isdigit() else None,
    )


def _fields(raw: bytes) -> dict[bytes, bytes]:
    """Read an event's lines; several lines of data make one text."""
    fields: dict[bytes, bytes] = {}
    for line in raw.strip().splitlines():
        name, colon, text = line.partition(b':')
        if not colon or name not in _FIELDS:
            raise errors.GarbledError(f'not an event: {raw[:_SHOWN]!r}')
        before = fields.get(name)
        if before is not None and name == b'data':
            text = b'\n'.join((before, text))
        fields[name] = text.strip()
    return fields


def read_object(payload: bytes) -> dict[str, typing.Any]:
    """Read a JSON object of an engine.

    :raises errors.GarbledError: when it is none.
    :raises errors.ServerFailedError: when it is an error of the engine.
    """
    try:
        found = json.loads(payload)
    except (ValueError, RecursionError) as exc:
        raise errors.GarbledError(f'not JSON: {payload[:_SHOWN]!r}') from exc
    if not isinstance(found, dict):
        raise errors.GarbledError(f'not an object: {payload[:_SHOWN]!r}')
    if found.get('error') and 'choices' not in found:
        raise errors.ServerFailedError(f'the engine: {payload[:_SHOWN]!r}')
    return found


def answer_id(found: dict[str, typing.Any]) -> str | None:
    """Give the id that a chunk or an answer carries.

    :raises errors.GarbledError: when it is no string.
    """
    name = found.get('id')
    if name is None or isinstance(name, str):
        return name
    raise errors.GarbledError(f'the id {name!r} is no string')
