"""Checksummed frames, of which every file is made.

A frame is a magic word, the length of its payload, a checksum and the
payload. The checksum is seeded with the frame's place, so a frame that ended
up elsewhere is no frame.

A writer syncs each frame before it writes the next. So a broken frame with
nothing whole behind it is a torn write, which nobody was told of, and one with
a whole frame behind it is a damaged file.
"""

import dataclasses
import struct
import typing

import xxhash
from geraniumweir.store import errors

_MAGIC = b'GWF1'
_HEADER = struct.Struct('<4sIQ')
_PLACE_BITS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A whole frame.

    :ivar offset: of its first byte in the file.
    :ivar payload: what was written.
    :ivar end: offset behind its last byte.
    """

    offset: int
    payload: bytes
    end: int


def encode(payload: bytes, offset: int) -> bytes:
    """Make the frame of a payload.

    :param offset: where in the file it will lie, in bytes.

    >>> frame = encode(b'entry', 0)
    >>> decode(frame, 0).payload
    b'entry'
    >>> decode(b'-' + frame, 1) is None
    True
    """
    checksum = _checksum(payload, offset)
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def decode(content: bytes, offset: int) -> Frame | None:
    """Read the frame at an offset, or None where there is no whole one."""
    start = offset + _HEADER.size
    if start > len(content):
        return None
    magic, length, checksum = _HEADER.unpack_from(content, offset)
    if magic != _MAGIC or start + length > len(content):
        return None
    payload = content[start : start + length]
    if _checksum(payload, offset) != checksum:
        return None
    return Frame(offset, payload, start + length)


def whole_frames(content: bytes) -> typing.Iterator[Frame]:
    """Give the frames from the start of a file up to the first broken one."""
    offset = 0
    while True:
        frame = decode(content, offset)
        if frame is None:
            return
        yield frame
        offset = frame.end


def check_torn(name: str, content: bytes, offset: int) -> None:
    """Make sure that what lies from an offset on is a torn write.

    :param offset: end of the last whole frame.
    :raises errors.CorruptError: when a whole frame lies behind it.
    """
    place = content.find(_MAGIC, offset + 1)
    while place >= 0:
        if decode(content, place):
            raise errors.CorruptError(name, offset, 'damaged')
        place = content.find(_MAGIC, place + 1)


def only(name: str, content: bytes) -> bytes:
    """Give the payload of a file that is a single frame.

    :raises errors.CorruptError: when it isn't.
    """
    frame = decode(content, 0)
    if frame is None or frame.end != len(content):
        raise errors.CorruptError(name, 0, 'damaged')
    return frame.payload


def _checksum(payload: bytes, offset: int) -> int:
    seed = (offset << _PLACE_BITS) | len(payload)
    return xxhash.xxh3_64_intdigest(payload, seed=seed)
