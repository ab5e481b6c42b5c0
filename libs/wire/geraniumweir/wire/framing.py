"""Frames of bounded length on a stream, and thrift structs in them.

A frame is its length, four bytes big-endian, and that many bytes
of one struct in thrift's compact protocol. The length is checked before
anything is read, and container lengths while decoding, so that no peer can
make this host allocate memory for bytes that it never sends.

References
==========
.. [1] Apache Thrift, "Thrift Compact protocol encoding",
   https://github.com/apache/thrift/blob/master/doc/specs/
   thrift-compact-protocol.md
"""

import asyncio
import typing

from geraniumweir.wire import errors
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

MAX_FRAME_BYTES = 4 * 1024 * 1024
_OTHER_FIELDS_BYTES = 524288
# Largest part of a message that callers may choose, such as a command of the
# log; the remainder of the frame is for the message's other fields.
MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - _OTHER_FIELDS_BYTES
# Of a field of 32 bits; a higher number can't be encoded.
MAX_INT32 = 0x7FFFFFFF
_MAX_CONTAINER_LENGTH = 1024 * 1024
_LENGTH_BYTES = 4
# A longer body is read in parts, so that its progress shows.
_PART_BYTES = 32768

# Shared: the accelerated codec has no state between structs, and creating a
# protocol costs several times as much as encoding a small struct.
_protocol = TCompactProtocol.TCompactProtocolAccelerated(
    TTransport.TMemoryBuffer(),
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=_MAX_CONTAINER_LENGTH,
    fallback=False,
)

_Struct = typing.TypeVar('_Struct')


def encode(message: typing.Any) -> bytes:
    """Return the encoded bytes of a generated struct.

    :raises errors.FrameError: when a field has a value of a wrong type.
    """
    buffer = TTransport.TMemoryBuffer()
    _protocol.trans = buffer
    try:
        message.write(_protocol)
    except Exception as exc:
        name = type(message).__name__
        raise errors.FrameError(f'no {name} can be sent: {exc!r}') from exc
    return buffer.getvalue()


def decode(message_type: type[_Struct], body: bytes) -> _Struct:
    """Return the generated struct decoded from bytes.

    :raises errors.FrameError: when they can't be decoded.

    >>> from geraniumweir.wire.gen.peering import ttypes
    >>> sent = ttypes.Hello(host_id='entry-1', protocol=1, listen='')
    >>> decode(ttypes.Hello, encode(sent)) == sent
    True
    """
    message = typing.cast(typing.Any, message_type())
    _protocol.trans = TTransport.TMemoryBuffer(body)
    try:
        message.read(_protocol)
    except Exception as exc:
        # The decoder raises various types, depending on the invalid bytes.
        name = message_type.__name__
        raise errors.FrameError(f'no {name}: {exc!r}') from exc
    return message


def pack(body: bytes) -> bytes:
    """Return a frame: a body preceded by its length.

    :raises errors.OversizeError: when it is too long for a frame.

    >>> len(pack(b'ab'))
    6
    """
    if len(body) > MAX_FRAME_BYTES:
        raise errors.OversizeError(
            f'{len(body)} bytes are too long for a frame'
        )
    return len(body).to_bytes(_LENGTH_BYTES, 'big') + body


def _ignore() -> None:
    """Do nothing where nobody asks for progress."""


async def read_frame(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    on_bytes: typing.Callable[[], None] = _ignore,
) -> bytes:
    """Read one frame's body.

    :param max_bytes: longest body to accept, in bytes.
    :param on_bytes: called when a part of the frame has arrived.
    :raises errors.FrameError: when the announced length exceeds it.
    :raises asyncio.IncompleteReadError: when the stream ends.
    """
    head = await reader.readexactly(_LENGTH_BYTES)
    on_bytes()
    length = int.from_bytes(head, 'big')
    if length > max_bytes:
        raise errors.FrameError(f'a frame of {length} bytes, limit {max_bytes}')
    if length <= _PART_BYTES:
        return await reader.readexactly(length)
    body = bytearray()
    while len(body) < length:
        body += await reader.readexactly(min(_PART_BYTES, length - len(body)))
        on_bytes()
    return bytes(body)
