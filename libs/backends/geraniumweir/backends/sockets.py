"""Sockets to backend servers, and what a new connection tells of a server.

Load: two connections for each answer that ends with its connection only, two
system calls for each connection that a server ends.
"""

import array
import asyncio
import enum
import fcntl
import socket
import termios
import typing

from geraniumweir.common import ids

# A connection on which nothing is acknowledged for so long is lost, in seconds.
# Sound servers may be silent for a second or somewhat longer. With the probes
# below, one on which nothing is on its way is lost after two seconds.
_SILENT_SECONDS = 1.5
# While nothing is on its way, the server is asked for a sign of life after so
# many seconds, and then as often; the kernel counts whole ones.
_PROBE_SECONDS = 1
_MS = 1000
SIGNS_OF_LIFE: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(_SILENT_SECONDS * _MS),
    ),
)
# A server accepts a connection at once, or has no room for it. Below the second
# after which a kernel repeats its first packet: a later connection may be to a
# server that started again.
_ACCEPT_SECONDS = 0.9
# A server with too many connections resets further ones.
_TRIES = 3
_PAUSE_SECONDS = 0.02


class _Probe(enum.Enum):
    """What became of a new connection.

    :cvar kept: it was made and not closed.
    :cvar closed: it was made and closed.
    :cvar not_made: it was not made.
    """

    kept = 'kept'
    closed = 'closed'
    not_made = 'not_made'


def make_socket(
    info: tuple[typing.Any, ...],
) -> socket.socket:
    """Make a socket whose connection ends where the other side is cut off.

    :param info: as the resolver gives it: family, type, protocol and more.
    """
    family, kind, protocol = info[:3]
    made = socket.socket(family=family, type=kind, proto=protocol)
    try:
        for level, option, number in SIGNS_OF_LIFE:
            made.setsockopt(level, option, number)
    except OSError:
        made.close()
        raise
    made.setblocking(False)
    return made


def is_delivered(sock: asyncio.trsock.TransportSocket | socket.socket) -> bool:
    """Return whether the other side has received all that was written.

    A connection that is reset behind the last byte that the other side sends
    ends as one that it closed.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    unsent = array.array('i', (0,))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, unsent)
    return not unsent[0]


async def probe(address: ids.Address, seconds: float) -> bool:
    """Return whether a new connection to a server can be made.

    Nothing is sent on it.

    :param seconds: longest time to make it.
    """
    made = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
    try:
        return await _connects(made, address, seconds)
    finally:
        made.close()


async def goes_on(address: ids.Address, seconds: float) -> bool:
    """Return whether a server is there and stays there for some time.

    A connection has to be accepted at once and to be kept, and another one to
    be accepted at the end: a process that ends may close its listener before
    its connections, or after them. Nothing is sent on either.
    """
    for _ in range(_TRIES):
        match await _keep(address, seconds):
            case _Probe.kept:
                return await probe(address, _ACCEPT_SECONDS)
            case _Probe.not_made:
                return False
            case _Probe.closed:
                await asyncio.sleep(_PAUSE_SECONDS)
    return False


async def _keep(address: ids.Address, seconds: float) -> _Probe:
    made = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
    try:
        if not await _connects(made, address, _ACCEPT_SECONDS):
            return _Probe.not_made
        return await _watch(made, seconds)
    finally:
        made.close()


async def _watch(made: socket.socket, seconds: float) -> _Probe:
    try:
        async with asyncio.timeout(seconds):
            received = await asyncio.get_running_loop().sock_recv(made, 1)
    except TimeoutError:
        return _Probe.kept
    except OSError:
        return _Probe.closed
    return _Probe.kept if received else _Probe.closed


async def _connects(
    made: socket.socket, address: ids.Address, seconds: float
) -> bool:
    """Return whether a socket is connected within some seconds."""
    try:
        async with asyncio.timeout(seconds):
            await asyncio.get_running_loop().sock_connect(
                made, (address.host, address.port)
            )
    except OSError:
        # This includes TimeoutError.
        return False
    return True
