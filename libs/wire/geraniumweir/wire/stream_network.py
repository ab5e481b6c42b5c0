"""In-memory TCP connections in virtual time, for tests of the peer layer.

Bytes that are lost are sent again at growing intervals, later bytes wait for
them, and a connection ends when nothing was acknowledged for as long as
``TCP_USER_TIMEOUT`` says [1]_. So a connection may stay unusable after its path
is open again, which :mod:`.memory` does not show.

References
==========
.. [1] RFC 6298, "Computing TCP's Retransmission Timer", and RFC 5482, "TCP User
   Timeout Option".
"""

import asyncio
import collections
import dataclasses
import errno
import os
import socket
import typing

from geraniumweir.common import ids
from geraniumweir.wire import tcp

_DEFAULT_DELAY_SECONDS = 0.0005
_FIRST_RETRANSMISSION_SECONDS = 0.2
_FIRST_SYN_RETRANSMISSION_SECONDS = 1.0
_GROWTH = 2
_MS = 1000
_Path = tuple[ids.HostId, ids.HostId]
_Accept = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Coroutine[typing.Any, typing.Any, None],
]


class StreamNetwork:
    """Hosts, and the paths and connections between them.

    :ivar delay: one way, in seconds.
    :ivar late: additional delay of what a host receives, in seconds.
    """

    def __init__(self, delay: float = _DEFAULT_DELAY_SECONDS) -> None:
        """Initialize without hosts.

        :param delay: one way, in seconds.
        """
        self.delay = delay
        self.late: dict[ids.HostId, float] = {}
        self._listeners: dict[ids.Address, _Listener] = {}
        self._cuts: set[_Path] = set()
        self._pipes: list[_Pipe] = []
        self._starting: set[asyncio.Task[None]] = set()

    def join(self, host_id: ids.HostId, address: ids.Address) -> tcp.TcpPeers:
        """Return the peer layer of a new host, which starts to listen."""
        layer = tcp.TcpPeers(host_id, address, sockets=Sockets(self, host_id))
        task = asyncio.create_task(layer.start())
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)
        return layer

    def cut(self, sender: ids.HostId, receiver: ids.HostId) -> None:
        """Lose all packets in one direction."""
        self._cuts.add((sender, receiver))

    def heal(self) -> None:
        """Open all paths; connections stay as they are."""
        self._cuts.clear()

    def silence(self, *hosts: ids.HostId) -> None:
        """Lose all packets of the open connections of some hosts, for good.

        New connections work.
        """
        for pipe in self._pipes:
            if not set(hosts).isdisjoint(pipe.path):
                pipe.is_silent = True

    def is_open(self, sender: ids.HostId, receiver: ids.HostId) -> bool:
        """Return whether packets in one direction arrive."""
        return (sender, receiver) not in self._cuts

    def listen(self, address: ids.Address, listener: '_Listener') -> None:
        """Accept connections at an address."""
        self._listeners[address] = listener

    def listener(self, address: ids.Address) -> '_Listener | None':
        """Return what accepts connections at an address."""
        return self._listeners.get(address)

    def connect(
        self, caller: ids.HostId, listener: '_Listener'
    ) -> tuple['_End', '_End']:
        """Return both ends of a new connection, that of the caller first."""
        ends = _End(), _End()
        out = _Pipe(self, (caller, listener.host_id), *ends)
        back = _Pipe(self, (listener.host_id, caller), *reversed(ends))
        ends[0].pipe = out
        ends[1].pipe = back
        self._pipes = [pipe for pipe in self._pipes if not pipe.is_over]
        self._pipes += [out, back]
        return ends


class Sockets:
    """The calls of :mod:`asyncio` by which one host connects and listens."""

    def __init__(self, network: StreamNetwork, host_id: ids.HostId) -> None:
        """Initialize for one host of a network."""
        self._network = network
        self._host_id = host_id

    async def open_connection(
        self, host: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as :func:`asyncio.open_connection` does.

        :raises ConnectionRefusedError: when nobody listens there.
        """
        address = ids.Address(host, port)
        wait_seconds = _FIRST_SYN_RETRANSMISSION_SECONDS
        while not self._reaches(address):
            await asyncio.sleep(wait_seconds)
            wait_seconds *= _GROWTH
        await asyncio.sleep(2 * self._network.delay)
        listener = self._network.listener(address)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, 'nobody listens')
        mine, other = self._network.connect(self._host_id, listener)
        listener.accept(other)
        return mine.streams()

    async def start_server(
        self, accept: _Accept, host: str, port: int
    ) -> '_Listener':
        """Listen as :func:`asyncio.start_server` does."""
        address = ids.Address(host, port)
        listener = _Listener(self._host_id, address, accept)
        self._network.listen(address, listener)
        return listener

    def _reaches(self, address: ids.Address) -> bool:
        listener = self._network.listener(address)
        if listener is None:
            return True
        other = listener.host_id
        return self._network.is_open(
            self._host_id, other
        ) and self._network.is_open(other, self._host_id)


class _Listener:
    """A listening socket, and the server that it belongs to."""

    def __init__(
        self, host_id: ids.HostId, address: ids.Address, accept: _Accept
    ) -> None:
        self.host_id = host_id
        self._address = address
        self._accept = accept
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def sockets(self) -> 'list[_Listener]':
        return [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address.host, self._address.port

    def close(self) -> None:
        """Leave the server's connections as they are."""

    def accept(self, end: '_End') -> None:
        task = asyncio.create_task(self._accept(*end.streams()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _End:
    """One end of a connection: its stream writer, transport and socket.

    :ivar pipe: carries what is written here.
    """

    pipe: '_Pipe'

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader()
        self.user_timeout = float('inf')
        self._is_closing = False

    @property
    def transport(self) -> '_End':
        return self

    def streams(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return self.reader, typing.cast(asyncio.StreamWriter, self)

    def write(self, content: bytes) -> None:
        if not self._is_closing:
            self.pipe.write(content)

    def is_closing(self) -> bool:
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> typing.Any:
        return self if name == 'socket' else self.pipe.path

    def setsockopt(self, _level: int, option: int, number: int) -> None:
        if option == socket.TCP_USER_TIMEOUT:
            self.user_timeout = number / _MS

    def abort(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            self.pipe.write(b'')
            if not self.reader.at_eof():
                self.reader.feed_eof()

    def receive(self, content: bytes) -> None:
        """Take bytes; none mean that the other end closed."""
        if self._is_closing:
            return
        if content:
            self.reader.feed_data(content)
        else:
            self.reader.feed_eof()

    def fail(self, number: int) -> None:
        """End the connection here with an error of the kernel."""
        if not self._is_closing:
            self._is_closing = True
            self.reader.set_exception(OSError(number, os.strerror(number)))


@dataclasses.dataclass(slots=True)
class _Unacknowledged:
    """The oldest bytes that were not acknowledged.

    :ivar since: when they were first sent, in loop time.
    :ivar is_received: whether only their acknowledgements were lost.
    """

    content: bytes
    since: float
    wait_seconds: float = _FIRST_RETRANSMISSION_SECONDS
    is_received: bool = False


class _Pipe:
    """One direction of a connection.

    :ivar path: sender and receiver.
    :ivar is_silent: whether all its packets are lost.
    """

    def __init__(
        self, network: StreamNetwork, path: _Path, source: _End, target: _End
    ) -> None:
        self.path = path
        self.is_silent = False
        self.is_over = False
        self._network = network
        self._source = source
        self._target = target
        self._reverse = (path[1], path[0])
        self._loop = asyncio.get_running_loop()
        self._queue: collections.deque[bytes] = collections.deque()
        self._oldest: _Unacknowledged | None = None

    def write(self, content: bytes) -> None:
        self._queue.append(content)
        if self._oldest is None:
            self._send_next()

    def _send_next(self) -> None:
        self._oldest = None
        if self._queue:
            self._oldest = _Unacknowledged(
                self._queue.popleft(), self._loop.time()
            )
            self._transmit()

    def _transmit(self) -> None:
        oldest = self._oldest
        if oldest is None or self.is_over:
            return
        if self._passes(self.path) and not oldest.is_received:
            oldest.is_received = True
            late_seconds = self._network.late.get(self.path[1], 0)
            self._loop.call_later(
                self._network.delay + late_seconds,
                self._deliver,
                oldest.content,
            )
        if oldest.is_received and self._passes(self._reverse):
            self._send_next()
            return
        self._wait(oldest)

    def _wait(self, oldest: _Unacknowledged) -> None:
        """Wait for the next retransmission, or for the user timeout."""
        now = self._loop.time()
        left_seconds = oldest.since + self._source.user_timeout - now
        if left_seconds <= oldest.wait_seconds:
            self._loop.call_later(left_seconds, self._give_up)
        else:
            self._loop.call_later(oldest.wait_seconds, self._transmit)
            oldest.wait_seconds *= _GROWTH

    def _give_up(self) -> None:
        self.is_over = True
        self._source.fail(errno.ETIMEDOUT)

    def _deliver(self, content: bytes) -> None:
        if self._target.is_closing() and content:
            if self._passes(self._reverse):
                self._source.fail(errno.ECONNRESET)
                self.is_over = True
            return
        self._target.receive(content)
        self.is_over = not content

    def _passes(self, path: _Path) -> bool:
        return not self.is_silent and self._network.is_open(*path)
