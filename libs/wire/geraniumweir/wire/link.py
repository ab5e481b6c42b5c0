"""The way to one peer: its address, its connections and the task that dials.

Two hosts that dial each other at the same time end up with two connections;
both live, and the newest usable one carries what is sent. A connection is
made when something is to be sent, and a failed attempt is followed by a
pause that doubles up to a bound and is spread by chance, so that the peers
of a host that comes back don't all dial at once.

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

FIRST_PAUSE = 0.05
LONGEST_PAUSE = 1.0
BACKLOG = 64

Dial = typing.Callable[
    [ids.Address],
    typing.Awaitable[connection.Connection],
]


class Link:
    """What one host knows of one peer.

    :ivar address: where the peer listens, once it is known.
    :ivar cut: the partition that tests set.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        dial: Dial,
        chance: random.Random,
    ) -> None:
        """Start without an address; nothing is dialled yet."""
        self.host_id = host_id
        self.address: ids.Address | None = None
        self.traffic = connection.Traffic()
        self.cut = connection.Cut()
        self._dial = dial
        self._chance = chance
        self._connections: list[connection.Connection] = []
        self._backlog: collections.deque[peers.Message] = collections.deque(
            maxlen=BACKLOG,
        )
        self._waiters: list[asyncio.Future[connection.Connection]] = []
        self._wanted = asyncio.Event()
        self._resting = False
        self._task: asyncio.Task[None] | None = None

    def newest(self) -> connection.Connection | None:
        """Give the newest usable connection, if there is one."""
        for conn in reversed(self._connections):
            if conn.usable:
                return conn
        return None

    async def connected(self) -> connection.Connection:
        """Wait for a connection, making one where there is none.

        :raises errors.UnreachableError: when the attempt fails, or the last
            one failed a moment ago.
        """
        conn = self.newest()
        if conn is not None:
            return conn
        if self.address is None or self._resting:
            raise errors.UnreachableError(f'{self.host_id} is not connected')
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[connection.Connection] = loop.create_future()
        self._waiters.append(fut)
        self._want()
        return await fut

    def send(self, message: peers.Message) -> None:
        """Send without an answer; kept for a moment while dialling."""
        conn = self.newest()
        if conn is None:
            self._send_later(message)
        else:
            conn.send(message)

    def add(self, conn: connection.Connection) -> None:
        """Use a connection, whoever dialled it, before all older ones."""
        self._connections.append(conn)
        for message in self._backlog:
            conn.send(message)
        self._backlog.clear()
        for fut in self._waiters:
            if not fut.done():
                fut.set_result(conn)
        self._waiters.clear()

    def remove(self, conn: connection.Connection) -> None:
        """Forget a connection that ended."""
        self._connections.remove(conn)

    async def close(self) -> None:
        """Break off all connections and stop dialling."""
        for conn in self._connections:
            conn.abort()
            conn.stop_handlers()
        self._fail(errors.UnreachableError('this host is closing'))
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _send_later(self, message: peers.Message) -> None:
        if self.address is None or self._resting:
            self.traffic.dropped += 1
            return
        if len(self._backlog) == BACKLOG:
            self.traffic.dropped += 1
        self._backlog.append(message)
        self._want()

    def _want(self) -> None:
        self._wanted.set()
        if self._task is None:
            self._task = asyncio.create_task(self._keep_dialling())

    async def _keep_dialling(self) -> None:
        pause = FIRST_PAUSE
        while True:
            await self._wanted.wait()
            failed = await self._attempt()
            self._wanted.clear()
            if failed:
                await self._rest(pause)
                pause = min(2 * pause, LONGEST_PAUSE)
            else:
                pause = FIRST_PAUSE

    async def _rest(self, pause: float) -> None:
        self._resting = True
        await asyncio.sleep(pause * self._chance.uniform(0.5, 1))
        self._resting = False

    async def _attempt(self) -> bool:
        if self.newest() is not None or self.address is None:
            return False
        try:
            await self._dial(self.address)
        except errors.PeerError as exc:
            eventlog.emit(
                logevents.DIAL_FAILED,
                peer=self.host_id,
                reason=exc.message,
            )
            self._fail(exc)
            return True
        if self.newest() is None:
            # Another host answers at the address that was known.
            text = f'{self.host_id} is not at {self.address}'
            self._fail(errors.UnreachableError(text))
            return True
        return False

    def _fail(self, exc: errors.PeerError) -> None:
        self.traffic.dropped += len(self._backlog)
        self._backlog.clear()
        for fut in self._waiters:
            if not fut.done():
                fut.set_exception(errors.UnreachableError(exc.message))
        self._waiters.clear()
