"""Link to one peer: address, connections and the dialling task.

Two hosts that dial each other at the same time end up with two connections;
both stay open, and the newest one that delivers carries what is sent. A
connection is made when something is to be sent, and a failed attempt is
followed by a pause that doubles up to a bound and is randomized, so that the
peers of a host that restarts don't all dial at once.

A silent connection doesn't keep its peer unreachable: another one is dialled
beside it. Until that is there, what is sent goes on the silent one, which may
recover.

References
==========
.. [1] M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog,
   2015.
"""

import asyncio
import collections
import random
import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.wire import connection, errors, logevents, peers

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_QUEUED_MESSAGES = 64
# Two hosts may dial each other at the same time, beside a silent connection.
MAX_CONNECTIONS = 3

Dial = typing.Callable[
    [ids.Address],
    typing.Awaitable[connection.Connection],
]


class Link:
    """Address, connections and queued messages of one peer.

    :ivar address: where the peer listens, once it is known.
    :ivar partition: the partition that tests set.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        dial: Dial,
        random_source: random.Random,
    ) -> None:
        """Initialize without an address or connection."""
        self.host_id = host_id
        self.address: ids.Address | None = None
        self.traffic = connection.Traffic()
        self.partition = connection.Partition()
        self._dial = dial
        self._random = random_source
        self._connections: list[connection.Connection] = []
        self._queued_messages: collections.deque[peers.Message] = (
            collections.deque(
                maxlen=MAX_QUEUED_MESSAGES,
            )
        )
        self._waiters: list[asyncio.Future[connection.Connection]] = []
        self._dial_requested = asyncio.Event()
        self._backing_off = False
        self._task: asyncio.Task[None] | None = None

    def newest(self) -> connection.Connection | None:
        """Return the newest connection that delivers, if there is one."""
        for conn in reversed(self._connections):
            if conn.delivers:
                return conn
        return None

    async def connected(self) -> connection.Connection:
        """Return a connection, dialling when there is none that delivers.

        :returns: a silent one where the attempt fails, or during the back-off
            after a failed one.
        :raises errors.UnreachableError: when there is none then.
        """
        conn = self.newest()
        if conn is not None:
            return conn
        if self.address is None or self._backing_off:
            return self._usable_or_raise()
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[connection.Connection] = loop.create_future()
        self._waiters.append(fut)
        self._request_dial()
        return await fut

    def send(self, message: peers.Message) -> None:
        """Send without an answer; queue the message while dialling."""
        conn = self.newest() or self._newest_usable()
        if conn is None:
            self._queue_message(message)
            return
        conn.send(message)
        if not conn.delivers and not self._backing_off:
            self._request_dial()

    def add(self, conn: connection.Connection) -> None:
        """Add a connection; it is preferred to all older ones."""
        self._connections.append(conn)
        for old in self._connections[:-MAX_CONNECTIONS]:
            old.abort()
        conn.on_recovery = lambda: self._resolve_waiters(conn)
        for message in self._queued_messages:
            conn.send(message)
        self._queued_messages.clear()
        self._resolve_waiters(conn)

    def remove(self, conn: connection.Connection) -> None:
        """Remove a connection that ended."""
        self._connections.remove(conn)

    def silence(self, seconds: float) -> None:
        """Lose all frames of the open connections, and abort them later."""
        for conn in self._connections:
            conn.lose_frames()
            asyncio.get_running_loop().call_later(seconds, conn.abort)

    async def close(self) -> None:
        """Abort all connections and stop dialling."""
        for conn in self._connections:
            conn.abort()
            conn.stop_handlers()
        self._fail_waiting(errors.UnreachableError('this host is closing'))
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _newest_usable(self) -> connection.Connection | None:
        """Return the newest usable connection, silent or not."""
        for conn in reversed(self._connections):
            if conn.usable:
                return conn
        return None

    def _usable_or_raise(self) -> connection.Connection:
        conn = self._newest_usable()
        if conn is None:
            raise errors.UnreachableError(f'{self.host_id} is not connected')
        return conn

    def _resolve_waiters(self, conn: connection.Connection) -> None:
        for fut in self._waiters:
            if not fut.done():
                fut.set_result(conn)
        self._waiters.clear()

    def _queue_message(self, message: peers.Message) -> None:
        if self.address is None or self._backing_off:
            self.traffic.dropped += 1
            return
        if len(self._queued_messages) == MAX_QUEUED_MESSAGES:
            self.traffic.dropped += 1
        self._queued_messages.append(message)
        self._request_dial()

    def _request_dial(self) -> None:
        self._dial_requested.set()
        if self._task is None:
            self._task = asyncio.create_task(self._dial_on_request())

    async def _dial_on_request(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            await self._dial_requested.wait()
            failed = await self._try_dial()
            self._dial_requested.clear()
            if failed:
                await self._back_off(backoff_seconds)
                backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
            else:
                backoff_seconds = INITIAL_BACKOFF_SECONDS

    async def _back_off(self, backoff_seconds: float) -> None:
        self._backing_off = True
        await asyncio.sleep(backoff_seconds * self._random.uniform(0.5, 1))
        self._backing_off = False

    async def _try_dial(self) -> bool:
        if self.newest() is not None or self.address is None:
            return False
        if self._newest_usable() is not None:
            eventlog.emit(logevents.SILENT, peer=self.host_id)
        try:
            await self._dial(self.address)
        except errors.PeerError as exc:
            eventlog.emit(
                logevents.DIAL_FAILED,
                peer=self.host_id,
                reason=exc.message,
            )
            self._fail_waiting(exc)
            return True
        if self.newest() is None:
            # Another host answers at the peer's last known address.
            text = f'{self.host_id} is not at {self.address}'
            self._fail_waiting(errors.UnreachableError(text))
            return True
        return False

    def _fail_waiting(self, exc: errors.PeerError) -> None:
        """Have waiting calls use a silent connection, or fail without one."""
        conn = self._newest_usable()
        if conn is not None:
            self._resolve_waiters(conn)
            return
        self.traffic.dropped += len(self._queued_messages)
        self._queued_messages.clear()
        for fut in self._waiters:
            if not fut.done():
                fut.set_exception(errors.UnreachableError(exc.message))
        self._waiters.clear()
