"""Entries of the log and how a batch of them is written."""

import dataclasses
import struct
import typing

_HEADER = struct.Struct('<QQBI')
# A record that isn't an entry: everything before it is void, and the log goes
# on behind the index and term that it carries.
RESET = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A place in the log.

    :ivar index: of an entry; the first one is 1.
    :ivar term: of that entry.
    """

    index: int
    term: int


START = Position(0, 0)
# Of a position whose entry is gone and isn't needed.
UNKNOWN_TERM = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log.

    :ivar index: its place.
    :ivar term: of the leader that made it.
    :ivar kind: what it is to the layer above, 0 to 254.
    :ivar payload: its content.
    """

    index: int
    term: int
    kind: int
    payload: bytes

    @property
    def position(self) -> Position:
        """The place without the content."""
        return Position(self.index, self.term)


def encode(batch: typing.Iterable[Entry]) -> bytes:
    """Write entries one after the other.

    >>> decode(encode([Entry(1, 1, 0, b'one')]))[0].payload
    b'one'
    """
    parts = bytearray()
    for entry in batch:
        size = len(entry.payload)
        parts += _HEADER.pack(entry.index, entry.term, entry.kind, size)
        parts += entry.payload
    return bytes(parts)


def decode(payload: bytes) -> list[Entry]:
    """Read what :func:`encode` wrote.

    :raises struct.error: when it is something else.
    """
    batch = []
    place = 0
    while place < len(payload):
        index, term, kind, size = _HEADER.unpack_from(payload, place)
        start = place + _HEADER.size
        place = start + size
        batch.append(Entry(index, term, kind, payload[start:place]))
    return batch
