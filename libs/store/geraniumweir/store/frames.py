"""Checksummed frames, of which all files consist.

A frame is a magic word, the length of its payload, a checksum and the
payload. The checksum is seeded with the frame's offset, so a frame at any
other offset is invalid.

A writer syncs each frame before it writes the next. So an invalid frame
without a valid frame after it is a torn write, which was never acknowledged,
and one with a valid frame after it means that the file is damaged.
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
    """A valid frame.

    :ivar offset: offset of its first byte in the file.
    :ivar payload: its content.
    :ivar end: offset after its last byte.
    """

    offset: int
    payload: bytes
    end: int


def encode(payload: bytes, offset: int) -> bytes:
    """Return the frame of a payload.

    :param offset: offset in the file at which it will be written, in bytes.

    >>> frame = encode(b'entry', 0)
    >>> decode(frame, 0).payload
    b'entry'
    >>> decode(b'-' + frame, 1) is None
    True
    """
    checksum = _checksum(payload, offset)
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def decode(content: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset, or None where there is no valid one."""
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


def read_frames(content: bytes) -> typing.Iterator[Frame]:
    """Yield the frames from the start of a file to the first invalid one."""
    offset = 0
    while True:
        frame = decode(content, offset)
        if frame is None:
            return
        yield frame
        offset = frame.end


def check_torn(name: str, content: bytes, offset: int) -> None:
    """Check that the content from an offset on is a torn write.

    :param offset: end of the last valid frame, in bytes.
    :raises errors.CorruptError: when a valid frame follows.
    """
    place = content.find(_MAGIC, offset + 1)
    while place >= 0:
        if decode(content, place):
            raise errors.CorruptError(name, offset, 'damaged')
        place = content.find(_MAGIC, place + 1)


def decode_single(name: str, content: bytes) -> bytes:
    """Return the payload of a file that consists of a single frame.

    :raises errors.CorruptError: when it isn't.
    """
    frame = decode(content, 0)
    if frame is None or frame.end != len(content):
        raise errors.CorruptError(name, 0, 'damaged')
    return frame.payload


def _checksum(payload: bytes, offset: int) -> int:
    seed = (offset << _PLACE_BITS) | len(payload)
    return xxhash.xxh3_64_intdigest(payload, seed=seed)
