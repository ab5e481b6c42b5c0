"""Greeting of a connection: host id and protocol version.

The side that connected sends first. Nothing else is read before the greeting,
whose length and time are limited, so that an unknown client can't make this
host work or wait.
"""

import asyncio
import socket

from geraniumweir.wire import errors, framing
from geraniumweir.wire.gen.peering import ttypes

PROTOCOL_VERSION = 1
TIMEOUT_SECONDS = 2.0
_MAX_HELLO_BYTES = 4096
UNACKNOWLEDGED_SECONDS = 5
_MS = 1000
_KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 10),
    (socket.TCP_KEEPINTVL, 2),
    (socket.TCP_KEEPCNT, 3),
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_SECONDS * _MS),
)


def send_hello(writer: asyncio.StreamWriter, host_id: str, listen: str) -> None:
    """Send this host's greeting."""
    hello = ttypes.Hello(host_id, PROTOCOL_VERSION, listen)
    writer.write(framing.pack(framing.encode(hello)))


async def receive_hello(reader: asyncio.StreamReader) -> ttypes.Hello:
    """Return the other side's greeting.

    :raises errors.UnreachableError: when none came in time.
    :raises errors.FrameError: when it is no greeting of this protocol.
    """
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            frame = await framing.read_frame(reader, _MAX_HELLO_BYTES)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
        raise errors.UnreachableError(f'no greeting: {exc!r}') from exc
    hello = framing.decode(ttypes.Hello, frame)
    if hello.protocol != PROTOCOL_VERSION or not hello.host_id:
        raise errors.FrameError(f'a greeting of another protocol: {hello}')
    return hello


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Make the kernel close a connection whose peer is unreachable.

    Without it, bytes to a partitioned host are retransmitted for a quarter
    of an hour, at growing intervals.
    """
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in _KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
