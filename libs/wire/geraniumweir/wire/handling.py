"""Message handlers, limited in number for each connection."""

import asyncio
import collections
import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.wire import envelopes, errors, logevents, peers
from geraniumweir.wire.gen.peering import ttypes

MAX_HANDLERS = 1024


class Router:
    """Handlers by message type.

    :ivar handled: number of messages that were handled, by type.
    """

    def __init__(self) -> None:
        """Initialize without handlers."""
        self._handlers: dict[type, peers.Handler] = {}
        self.handled: collections.Counter[str] = collections.Counter()

    def handle(self, message_type: type, handler: peers.Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    async def dispatch(
        self,
        sender: ids.HostId,
        message: peers.Message,
    ) -> peers.Message | None:
        """Return the answer of a message's handler.

        :raises errors.RemoteError: when it has none.
        """
        self.handled[type(message).__name__] += 1
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise errors.RemoteError(f'no handler of {name}')
        return await handler(sender, message)


class Workers:
    """Running handlers of one connection's messages.

    Each is handled in a task of its own, so that a slow handler doesn't
    block reading from the connection. Over the limit, calls fail at once and
    messages are dropped.

    :ivar rejected: how many were not handled.
    """

    def __init__(
        self,
        peer: ids.HostId,
        router: Router,
        reply: typing.Callable[[ttypes.Envelope], None],
    ) -> None:
        """Initialize without running handlers.

        :param reply: sends an answer, or drops it.
        """
        self.rejected = 0
        self._peer = peer
        self._router = router
        self._reply = reply
        self._tasks: set[asyncio.Task[None]] = set()

    async def accept(self, envelope: ttypes.Envelope) -> None:
        """Start the handler of a call or a message.

        :raises errors.FrameError: when this build can't decode it.
        """
        message = envelopes.unseal(envelope)
        if len(self._tasks) >= MAX_HANDLERS:
            # Lets handlers that need only one iteration of the loop finish.
            await asyncio.sleep(0)
        if len(self._tasks) >= MAX_HANDLERS:
            self._reject(envelope)
            return
        task = asyncio.create_task(self._run(envelope, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel the running handlers."""
        for task in self._tasks:
            task.cancel()

    def _reject(self, envelope: ttypes.Envelope) -> None:
        self.rejected += 1
        eventlog.emit(logevents.HANDLERS_BUSY, peer=self._peer)
        if envelope.kind == envelopes.Kind.call:
            rejection = envelopes.failure(
                envelope.call_id, 'too many open calls'
            )
            self._reply(rejection)

    async def _run(
        self,
        envelope: ttypes.Envelope,
        message: peers.Message,
    ) -> None:
        try:
            answer = await self._dispatch(envelope.call_id, message)
        except Exception as exc:
            eventlog.emit(
                logevents.HANDLER_FAILED,
                message=type(message).__name__,
                peer=self._peer,
                reason=repr(exc),
            )
            answer = envelopes.failure(envelope.call_id, repr(exc))
        if envelope.kind == envelopes.Kind.call:
            self._reply(answer)

    async def _dispatch(
        self,
        call_id: int,
        message: peers.Message,
    ) -> ttypes.Envelope:
        answer = await self._router.dispatch(self._peer, message)
        return envelopes.seal(envelopes.Kind.answer, call_id, answer)
