"""Entries of the log and their encoding in batches."""

import dataclasses
import struct
import typing

_HEADER = struct.Struct('<QQBI')
# Kind of a record that is no entry: it discards everything before it, and the
# log continues after its index and term.
RESET = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Position in the log.

    :ivar index: index of an entry; that of the first one is 1.
    :ivar term: term of that entry.
    """

    index: int
    term: int


START = Position(0, 0)
# Term of a position whose entry was removed and isn't needed.
UNKNOWN_TERM = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Entry of the log.

    :ivar index: its index.
    :ivar term: term of the leader that created it.
    :ivar kind: kind of the payload for the layer above, 0 to 254.
    :ivar payload: its content.
    """

    index: int
    term: int
    kind: int
    payload: bytes

    @property
    def position(self) -> Position:
        """Index and term of the entry."""
        return Position(self.index, self.term)


def encode(batch: typing.Iterable[Entry]) -> bytes:
    """Encode entries as a batch.

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
    """Decode a batch that :func:`encode` returned.

    :raises struct.error: when the payload is malformed.
    """
    batch = []
    place = 0
    while place < len(payload):
        index, term, kind, size = _HEADER.unpack_from(payload, place)
        start = place + _HEADER.size
        place = start + size
        batch.append(Entry(index, term, kind, payload[start:place]))
    return batch
