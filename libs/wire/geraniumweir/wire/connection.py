"""One TCP connection to a greeted peer: reading, calls and answers.

The connection's task reads frames until the stream ends. Writing needs no
task: bytes go to the transport's buffer, and a message that would make the
buffer exceed its limit is not sent.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.wire import (
    catalogue,
    envelopes,
    errors,
    framing,
    handling,
    logevents,
    peers,
    silence,
)
from geraniumweir.wire.gen.peering import ttypes

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
MAX_LATE_ANSWERS = 16


@dataclasses.dataclass(slots=True)
class SentCounts:
    """Messages sent to all peers together, by number of the message type.

    :ivar sizes: their bytes.
    """

    messages: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    sizes: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def add(self, message_type: int, size: int) -> None:
        """Count a message."""
        self.messages[message_type] += 1
        self.sizes[message_type] += size


@dataclasses.dataclass(slots=True)
class Traffic:
    """Counters of one peer's traffic over all its connections.

    :ivar dropped: messages that were not sent or not handled.
    :ivar sent: counts over all peers.
    """

    messages_out: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    bytes_in: int = 0
    dropped: int = 0
    sent: SentCounts = dataclasses.field(default_factory=SentCounts)


@dataclasses.dataclass(slots=True)
class Partition:
    """Directions in which a link loses frames; set by tests."""

    outgoing: bool = False
    incoming: bool = False


class Connection:
    """A connection after the greeting.

    :ivar peer: the host at the other end.
    :ivar on_recovery: called when it delivers again after a silence.
    """

    def __init__(
        self,
        peer: ids.HostId,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        router: handling.Router,
        traffic: Traffic,
        partition: Partition,
        delay_seconds: float = 0,
    ) -> None:
        """Initialize from a greeted stream; :meth:`run` reads it.

        :param delay_seconds: delay of each sent frame, for tests, in seconds.
        """
        self.peer = peer
        self.on_recovery: typing.Callable[[], None] = _ignore
        self._silence = silence.SilenceDetector()
        self._reader = streams[0]
        self._writer = streams[1]
        self._traffic = traffic
        self._partition = partition
        self._delay_seconds = delay_seconds
        self._call_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[ttypes.Envelope]] = {}
        self._late: dict[int, peers.HandleLate] = {}
        self._workers = handling.Workers(peer, router, self._reply)

    @property
    def usable(self) -> bool:
        """Whether a message may still be written."""
        return not (self._writer.is_closing() or self._reader.at_eof())

    @property
    def delivers(self) -> bool:
        """Whether it is usable and has not gone silent."""
        return self.usable and not self._silence.is_silent

    async def run(self) -> None:
        """Read frames until the stream ends; fail pending calls then."""
        eventlog.emit(logevents.CONNECTED, peer=self.peer)
        try:
            await self._read_all()
        except errors.FrameError as exc:
            eventlog.emit(
                logevents.BAD_FRAME,
                peer=self.peer,
                reason=exc.message,
            )
        except (OSError, asyncio.IncompleteReadError) as exc:
            eventlog.emit(
                logevents.DISCONNECTED,
                peer=self.peer,
                reason=repr(exc),
            )
        finally:
            self._fail_pending()
            self._writer.transport.abort()

    async def call(
        self,
        message: peers.Message,
        timeout: float,
        on_late: peers.HandleLate | None = None,
    ) -> peers.Message:
        """Send a message and wait for its answer.

        :param timeout: in seconds.
        :param on_late: called with an answer that comes after the timeout, if
            it is among the last ones that are awaited so.
        :raises errors.OversizeError: when it is too long for a frame.
        :raises errors.BusyError: when the send buffer is full.
        :raises errors.PeerTimeoutError: when no answer came in time.
        :raises errors.PeerError: when the connection was lost; the peer may
            have handled the message.
        """
        call_id = next(self._call_ids)
        envelope = envelopes.seal(envelopes.Kind.call, call_id, message)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        fut: asyncio.Future[ttypes.Envelope] = loop.create_future()
        self._pending[call_id] = fut
        try:
            async with asyncio.timeout(timeout):
                self._write(envelope)
                self._silence.call_sent(sent_at)
                answer = await fut
        except TimeoutError as exc:
            self._silence.call_timed_out(sent_at, loop.time())
            if on_late is not None:
                self._await_late(call_id, on_late)
            text = f'{self.peer} gave no answer in {timeout} s'
            raise errors.PeerTimeoutError(text) from exc
        finally:
            self._pending.pop(call_id, None)
        return self._unseal(answer)

    def send(self, message: peers.Message) -> None:
        """Send a message; drop it when it is too long or the buffer full."""
        envelope = envelopes.seal(envelopes.Kind.message, 0, message)
        try:
            self._write(envelope)
        except (errors.BusyError, errors.OversizeError):
            self._traffic.dropped += 1

    def lose_frames(self) -> None:
        """Lose all frames from now on, in both directions; for tests."""
        self._partition = Partition(outgoing=True, incoming=True)

    def abort(self) -> None:
        """Abort the connection; :meth:`run` ends soon."""
        self._writer.transport.abort()

    def stop_handlers(self) -> None:
        """Cancel the running handlers of this connection."""
        self._workers.stop()

    async def _read_all(self) -> None:
        while True:
            frame = await framing.read_frame(
                self._reader, on_bytes=self._record_bytes
            )
            if self._partition.incoming:
                continue
            self._traffic.messages_in += 1
            self._traffic.bytes_in += len(frame)
            envelope = framing.decode(ttypes.Envelope, frame)
            await self._handle_envelope(envelope)

    def _record_bytes(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self._partition.incoming and self._silence.received(now):
            eventlog.emit(logevents.DELIVERS_AGAIN, peer=self.peer)
            self.on_recovery()

    async def _handle_envelope(self, envelope: ttypes.Envelope) -> None:
        match envelope.kind:
            case envelopes.Kind.answer | envelopes.Kind.failure:
                self._resolve_call(envelope)
            case envelopes.Kind.call | envelopes.Kind.message:
                await self._workers.accept(envelope)
            case _:
                text = f'a message of the kind {envelope.kind}'
                raise errors.FrameError(text)

    def _resolve_call(self, envelope: ttypes.Envelope) -> None:
        fut = self._pending.get(envelope.call_id)
        if fut is not None and not fut.done():
            fut.set_result(envelope)
            return
        on_late = self._late.pop(envelope.call_id, None)
        if on_late is not None and envelope.kind == envelopes.Kind.answer:
            on_late(self._unseal(envelope))

    def _await_late(self, call_id: int, on_late: peers.HandleLate) -> None:
        if len(self._late) >= MAX_LATE_ANSWERS:
            self._late.pop(next(iter(self._late)))
        self._late[call_id] = on_late

    def _unseal(self, answer: ttypes.Envelope) -> peers.Message | None:
        try:
            return envelopes.unseal(answer)
        except errors.FrameError:
            self.abort()
            raise

    def _reply(self, envelope: ttypes.Envelope) -> None:
        try:
            self._write(envelope)
        except errors.OversizeError as exc:
            self._reply(envelopes.failure(envelope.call_id, exc.message))
        except errors.PeerError:
            # The caller notices by its timeout.
            self._traffic.dropped += 1

    def _write(self, envelope: ttypes.Envelope) -> None:
        if not self.usable:
            raise errors.UnreachableError(f'{self.peer} is disconnected')
        frame = self._pack(envelope)
        buffered = self._writer.transport.get_write_buffer_size()
        if buffered + len(frame) > MAX_BUFFERED_BYTES:
            raise errors.BusyError(f'{buffered} bytes wait for {self.peer}')
        self._traffic.messages_out += 1
        self._traffic.bytes_out += len(frame)
        self._traffic.sent.add(envelope.message_type, len(frame))
        if self._partition.outgoing:
            return
        if self._delay_seconds:
            loop = asyncio.get_running_loop()
            loop.call_later(self._delay_seconds, self._write_late, frame)
        else:
            self._writer.write(frame)

    def _pack(self, envelope: ttypes.Envelope) -> bytes:
        body = framing.encode(envelope)
        try:
            return framing.pack(body)
        except errors.OversizeError:
            eventlog.emit(
                logevents.MESSAGE_TOO_LONG,
                message=catalogue.generated().name_of(envelope.message_type),
                peer=self.peer,
                size=len(body),
            )
            raise

    def _write_late(self, frame: bytes) -> None:
        if self.usable:
            self._writer.write(frame)

    def _fail_pending(self) -> None:
        for fut in self._pending.values():
            if not fut.done():
                text = f'the connection to {self.peer} broke'
                fut.set_exception(errors.PeerError(text))


def _ignore() -> None:
    """Do nothing for a connection that no link has."""
