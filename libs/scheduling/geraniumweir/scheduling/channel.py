"""Messages to any host, including this one.

A message to this host is passed directly to its handler, all others go through
the peer layer. So the broker and the leader service do not depend on which
host the other one is.
"""

import asyncio
import typing

from geraniumweir.common import ids
from geraniumweir.wire import errors, peers


class Channel:
    """Peer layer with local delivery of messages to this host."""

    def __init__(self, remote: peers.Peers) -> None:
        """Initialize without handlers.

        :param remote: peer layer for messages to other hosts.
        """
        self.host_id = remote.host_id
        self._remote = remote
        self._handlers: dict[type, peers.Handler] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def handle(self, message_type: type, handler: peers.Handler) -> None:
        """Register the handler of a message type, for all senders."""
        self._handlers[message_type] = handler
        self._remote.handle(message_type, handler)

    def learn(self, host_id: ids.HostId, address: ids.Address) -> None:
        """Record the address at which a host listens."""
        self._remote.learn(host_id, address)

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Connect to a seed and return its host id.

        :raises errors.UnreachableError: when no host answers there.
        """
        return await self._remote.introduce(address)

    async def call(
        self,
        to: ids.HostId,
        message: peers.Message,
        timeout: float,
        on_late: peers.HandleLate | None = None,
    ) -> peers.Message:
        """Send a message and wait for its answer.

        :param on_late: called with an answer that comes after the timeout.
        :raises errors.PeerError: when there is no answer.
        """
        if to != self.host_id:
            return await self._remote.call(to, message, timeout, on_late)
        try:
            return await self._handlers[type(message)](to, message)
        except Exception as exc:
            raise errors.RemoteError(repr(exc)) from exc

    def send(self, to: ids.HostId, message: peers.Message) -> None:
        """Send a message without an answer; it may be lost."""
        if to == self.host_id:
            self.start(self.call(to, message, 0))
        else:
            self._remote.send(to, message)

    def start(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> asyncio.Task[typing.Any]:
        """Run a coroutine as a task; :meth:`close` cancels it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks that were started."""
        open_tasks = tuple(self._tasks)
        for task in open_tasks:
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)
