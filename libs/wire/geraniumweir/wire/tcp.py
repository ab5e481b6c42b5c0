"""The peer layer over TCP.

One task reads each connection, and one for each peer dials it when something
is to be sent. Invalid bytes from a peer or an unknown client close only their
own connection.

See Also
========
geraniumweir.wire.link, geraniumweir.wire.connection,
geraniumweir.wire.greeting
"""

import asyncio
import collections
import random
import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.wire import (
    catalogue,
    connection,
    errors,
    greeting,
    handling,
    link,
    logevents,
    peers,
)
from geraniumweir.wire.gen.peering import ttypes

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
_Accept = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Coroutine[typing.Any, typing.Any, None],
]

# The kernel retransmits a lost SYN packet only after a second. Another attempt
# is made after this, in seconds, twenty round trips between failure domains,
# and then after twice as long each time. It shortens a start of all hosts,
# where many dial before others listen.
_FIRST_ATTEMPT_SECONDS = 0.1
_ATTEMPT_GROWTH = 2


class Sockets(typing.Protocol):
    """How a host connects and listens; :mod:`asyncio` does it by sockets."""

    async def open_connection(self, host: str, port: int) -> _Streams:
        """Connect as :func:`asyncio.open_connection` does."""

    async def start_server(
        self, accept: _Accept, host: str, port: int
    ) -> asyncio.Server:
        """Listen as :func:`asyncio.start_server` does."""


_KERNEL = typing.cast(Sockets, asyncio)


class TcpPeers:
    """The peer layer of one entry host.

    :ivar address: where this host listens, once it has started.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        address: ids.Address,
        random_source: random.Random | None = None,
        delay: float = 0,
        sockets: Sockets = _KERNEL,
    ) -> None:
        """Initialize without peers; :meth:`start` listens.

        :param address: where to listen; port 0 takes a free one.
        :param random_source: randomizes the pauses between attempts to connect.
        :param delay: delay of each sent frame, for tests, in seconds.
        :param sockets: replaced by tests.
        """
        self.host_id = host_id
        self.address = address
        self._random = random_source or random.Random()
        self._delay_seconds = delay
        self._sockets = sockets
        self._links: dict[ids.HostId, link.Link] = {}
        self._router = handling.Router()
        self._sent = connection.SentCounts()
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for peers.

        :raises OSError: when the address can't be bound.
        """
        self._server = await self._sockets.start_server(
            self._accept,
            self.address.host,
            self.address.port,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = ids.Address(self.address.host, port)
        eventlog.emit(logevents.LISTENING, address=self.address)

    async def close(self) -> None:
        """Stop listening, abort all connections, cancel handlers."""
        if self._server is not None:
            self._server.close()
        for peer_link in self._links.values():
            await peer_link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def handle(self, message_type: type, handler: peers.Handler) -> None:
        """Register the handler of a message type."""
        self._router.handle(message_type, handler)

    def learn(self, host_id: ids.HostId, address: ids.Address) -> None:
        """Record the address at which a host listens."""
        if host_id != self.host_id:
            self._link(host_id).address = address

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Connect to a seed and return its host id.

        :raises errors.UnreachableError: when no host answers there.
        """
        if address == self.address:
            return self.host_id
        for peer_link in self._links.values():
            if peer_link.address == address and peer_link.newest() is not None:
                return peer_link.host_id
        conn = await self._dial(address)
        self.learn(conn.peer, address)
        return conn.peer

    async def call(
        self,
        to: ids.HostId,
        message: peers.Message,
        timeout: float,
        on_late: peers.HandleLate | None = None,
    ) -> peers.Message:
        """Send a message and wait for its answer.

        :param timeout: in seconds, including the time to connect.
        :param on_late: called with an answer that comes after the timeout.
        :raises errors.UnreachableError: when it can't have been sent.
        :raises errors.PeerTimeoutError: when no answer came in time.
        :raises errors.RemoteError: when the peer's handler failed.
        :raises errors.PeerError: when the connection was lost meanwhile.
        """
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + timeout
        try:
            async with asyncio.timeout_at(deadline_at):
                conn = await self._link(to).connected()
        except TimeoutError as exc:
            text = f'no connection to {to} in {timeout} s'
            raise errors.UnreachableError(text) from exc
        return await conn.call(message, deadline_at - loop.time(), on_late)

    def send(self, to: ids.HostId, message: peers.Message) -> None:
        """Send a message without an answer; it may be lost."""
        self._link(to).send(message)

    def cut(
        self,
        host_id: ids.HostId,
        *,
        outgoing: bool = True,
        incoming: bool = True,
    ) -> None:
        """Lose all frames to or from a peer, as a partition would.

        :param outgoing: lose what this host sends.
        :param incoming: lose what the peer sends.
        """
        peer_link = self._link(host_id)
        peer_link.partition.outgoing = outgoing
        peer_link.partition.incoming = incoming

    def heal(self) -> None:
        """Remove all partitions."""
        for host_id in self._links:
            self.cut(host_id, outgoing=False, incoming=False)

    def silence(self) -> None:
        """Lose all frames of the open connections; new ones work.

        Each ends as the kernel ends one on which nothing is acknowledged.
        """
        for peer_link in self._links.values():
            peer_link.silence(greeting.UNACKNOWLEDGED_SECONDS)

    def traffic(self, host_id: ids.HostId) -> connection.Traffic:
        """Return the traffic counters of a peer."""
        return self._link(host_id).traffic

    def handled_messages(self) -> collections.Counter[str]:
        """Return the number of messages from all peers, by type."""
        return self._router.handled

    def sent_messages(self) -> dict[tuple[str, ...], float]:
        """Return the number of messages sent to all peers, by type."""
        return _by_name(self._sent.messages)

    def sent_bytes(self) -> dict[tuple[str, ...], float]:
        """Return the bytes sent to all peers, by message type."""
        return _by_name(self._sent.sizes)

    def _link(self, host_id: ids.HostId) -> link.Link:
        found = self._links.get(host_id)
        if found is None:
            found = link.Link(host_id, self._dial, self._random)
            found.traffic.sent = self._sent
            self._links[host_id] = found
        return found

    async def _dial(self, address: ids.Address) -> connection.Connection:
        if any(
            peer_link.partition.outgoing or peer_link.partition.incoming
            for peer_link in self._links.values()
            if peer_link.address == address
        ):
            await asyncio.sleep(greeting.TIMEOUT_SECONDS)
            raise errors.UnreachableError(f'nobody answers at {address}')
        streams = await _connect(self._sockets, address)
        greeting.send_hello(streams[1], self.host_id, str(self.address))
        try:
            hello = await greeting.receive_hello(streams[0])
        except BaseException as exc:
            streams[1].transport.abort()
            if isinstance(exc, errors.PeerError):
                raise errors.UnreachableError(exc.message) from exc
            raise
        return self._register(hello, streams)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._track(asyncio.current_task())
        try:
            hello = await greeting.receive_hello(reader)
        except errors.PeerError as exc:
            writer.transport.abort()
            eventlog.emit(
                logevents.GREETING_FAILED,
                address=writer.get_extra_info('peername'),
                reason=exc.message,
            )
            return
        partition = self._link(ids.HostId(hello.host_id)).partition
        if partition.incoming or partition.outgoing:
            # The other side waits for a greeting until it gives up.
            await reader.read()
            writer.transport.abort()
            return
        greeting.send_hello(writer, self.host_id, str(self.address))
        self._register(hello, (reader, writer))

    def _register(
        self,
        hello: ttypes.Hello,
        streams: _Streams,
    ) -> connection.Connection:
        greeting.enable_keepalive(streams[1])
        peer = ids.HostId(hello.host_id)
        peer_link = self._link(peer)
        conn = connection.Connection(
            peer,
            streams,
            self._router,
            peer_link.traffic,
            peer_link.partition,
            self._delay_seconds,
        )
        peer_link.address = _listen_address(hello) or peer_link.address
        peer_link.add(conn)
        self._track(asyncio.create_task(_run_connection(peer_link, conn)))
        return conn

    def _track(self, task: asyncio.Task[typing.Any] | None) -> None:
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


def _by_name(
    counts: typing.Mapping[int, int],
) -> dict[tuple[str, ...], float]:
    return {
        (catalogue.generated().name_of(number),): count
        for number, count in counts.items()
    }


def _listen_address(hello: ttypes.Hello) -> ids.Address | None:
    try:
        return ids.parse_address(hello.listen or '')
    except ValueError:
        # A peer that doesn't listen can't be dialled but can send.
        return None


async def _connect(sockets: Sockets, address: ids.Address) -> _Streams:
    """Connect, retrying sooner than the kernel would.

    :raises errors.UnreachableError: when no host answers there.
    """
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + greeting.TIMEOUT_SECONDS
    attempt_seconds = _FIRST_ATTEMPT_SECONDS
    while True:
        remaining_seconds = deadline_at - loop.time()
        try:
            async with asyncio.timeout(min(attempt_seconds, remaining_seconds)):
                return await sockets.open_connection(address.host, address.port)
        except TimeoutError as exc:
            if remaining_seconds <= attempt_seconds:
                raise _unreachable(address, exc) from exc
        except OSError as exc:
            raise _unreachable(address, exc) from exc
        attempt_seconds *= _ATTEMPT_GROWTH


def _unreachable(
    address: ids.Address,
    exc: Exception,
) -> errors.UnreachableError:
    return errors.UnreachableError(f'nobody answers at {address}: {exc!r}')


async def _run_connection(
    peer_link: link.Link, conn: connection.Connection
) -> None:
    try:
        await conn.run()
    finally:
        peer_link.remove(conn)
