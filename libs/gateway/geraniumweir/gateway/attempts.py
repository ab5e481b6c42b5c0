"""Dispatches a request to one server and receives the response.

A plain response is read completely and checked before any byte of it is sent
to the caller. Of a stream, complete events are forwarded as they arrive.
"""

import asyncio
import contextlib
import dataclasses
import typing

from geraniumweir.backends import bodies, calls, held_responses
from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import ids
from geraniumweir.gateway import (
    codec,
    errors,
    events,
    outcomes,
    relay_client,
    request_record,
    response_writer,
)
from geraniumweir.scheduling import stream_origins

_OK = 200
_MIN_SERVER_ERROR = 500
_WRONG_SERVER = 421
# These tell a caller that the request did not run; they are forwarded only if
# the server itself states that.
_NOT_RUN_STATUSES = frozenset(
    (
        408,
        421,
        429,
        503,
    )
)


@dataclasses.dataclass(slots=True)
class StreamState:
    """State of a stream to the caller, across all servers that sent it.

    :ivar splitter: splits events and keeps the number of the last one.
    :ivar head_sent: whether the head was sent to the caller.
    :ivar origin: where it began, None before its first event.
    """

    splitter: events.EventSplitter
    head_sent: bool = False
    origin: stream_origins.StreamOrigin | None = None


@dataclasses.dataclass(slots=True)
class EventGaps:
    """Gaps between the events of one attempt, in seconds."""

    longest: float = 0
    total: float = 0
    count: int = 0
    _last: float | None = None

    def note(self, now: float) -> None:
        """Record the arrival of events.

        :param now: in seconds on the loop's clock.
        """
        if self._last is not None:
            pause = now - self._last
            self.longest = max(self.longest, pause)
            self.total += pause
            self.count += 1
        self._last = now

    @property
    def mean(self) -> float:
        """Return the mean gap, 0 without any."""
        return self.total / self.count if self.count else 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One dispatch to a server.

    :ivar sending: number of this dispatch among those of the request, from 1.
    :ivar may_repeat: whether the request may run again on another server.
    :ivar on_first: called with the value of ``first``.
    :ivar on_head: called with the head of the server's response.
    :ivar on_begin: called before the first event to the caller is forwarded.
    :ivar first: seconds from dispatch to the first event or to the complete
        response; None for a rejection or a failure.
    """

    sender: relay_client.RequestSender
    codec: codec.Codec
    caller_request: codec.Request
    body: bytes
    dispatch: codec.Dispatch
    address: ids.Address
    response_writer: response_writer.ResponseWriter
    stream: StreamState
    request_record: request_record.RequestRecord
    sending: int
    may_repeat: bool
    on_first: typing.Callable[[float], None]
    on_head: typing.Callable[[codec.ResponseHead], None]
    on_begin: typing.Callable[[], None]
    first: float | None = None
    gaps: EventGaps = dataclasses.field(default_factory=EventGaps)
    _stopped: bool = False
    _head_limit: asyncio.Timeout | None = None
    _answer: calls.Answer | None = None

    @property
    def connection(self) -> str:
        """Connection that the answer came on, empty without an answer."""
        return '' if self._answer is None else self._answer.connection

    @property
    def framing(self) -> str:
        """What shows the end of the answer, empty without an answer."""
        return '' if self._answer is None else self._answer.framing.value

    async def run(self) -> outcomes.Outcome:
        """Return the outcome of sending the request.

        :raises ConnectionError: if the caller closed its connection.
        """
        outcome = await self._run()
        if self._stopped and outcomes.is_broken_off(outcome):
            return outcomes.Preempted()
        return outcome

    def may_move(self) -> bool:
        """Return whether the request may go to a server of any version."""
        return self.may_repeat and self.stream.origin is None

    def stop(self) -> None:
        """End the attempt by closing the connection to the server.

        Events that were not read from it yet come from the next server.
        """
        if self._stopped:
            return
        self._stopped = True
        if self._answer is not None:
            self._answer.abandon()
        elif self._head_limit is not None:
            self._head_limit.reschedule(response_writer.now())

    async def _run(self) -> outcomes.Outcome:
        started = response_writer.now()
        try:
            answer = await self._send(started)
        except relay_client.UnconfirmedError as exc:
            return outcomes.NotRun(
                exc.message,
                outcomes.Proof.not_relayed,
                own_path=self.sender.paths.is_cut,
            )
        except backend_errors.NotSentError as exc:
            return outcomes.NotRun(exc.message, outcomes.Proof.not_connected)
        except backend_errors.AnswerError as exc:
            return outcomes.Failed(exc.message)
        self._answer = answer
        try:
            async with answer:
                return await self._receive(answer, started)
        except (
            backend_errors.AnswerError,
            errors.InvalidStreamError,
        ) as exc:
            return outcomes.Failed(exc.message)

    async def _send(self, started: float) -> calls.Answer:
        """Send the request and wait for the head of the response.

        :raises geraniumweir.backends.errors.AnswerError: if there is none, or
            if the attempt is stopped before.
        """
        try:
            async with asyncio.timeout(None) as limit:
                self._head_limit = limit
                return await self.sender.send(
                    self.dispatch.server_id,
                    self.address,
                    lambda: self._make_call(response_writer.now() - started),
                    self.may_repeat,
                )
        except TimeoutError as exc:
            reason = 'the attempt was stopped'
            raise backend_errors.BrokenError(reason) from exc

    def _make_call(self, waited: float) -> calls.Call:
        """Return the request as it is sent to a server.

        :param waited: seconds since the start of this attempt.
        """
        seconds_left = self.dispatch.seconds_left - waited
        dispatch = dataclasses.replace(self.dispatch, seconds_left=seconds_left)
        return calls.Call(
            self.caller_request.method,
            self.caller_request.target,
            self.codec.dispatch_headers(self.caller_request, dispatch),
            self.body,
            self.sending,
            held_responses.Expected(
                self.caller_request.request_id, self.codec.request_id
            ),
        )

    async def _receive(
        self,
        answer: calls.Answer,
        started: float,
    ) -> outcomes.Outcome:
        head = self.codec.read_response_head(answer.status, answer.headers)
        if head.request_id != self.caller_request.request_id:
            raise backend_errors.ForeignAnswerError(
                f'the answer is of request {head.request_id!r}',
            )
        self.on_head(head)
        if head.status == _OK and head.streams:
            return await self._forward_stream(answer, head, started)
        body = await self._read_body(answer)
        outcome = _classify(outcomes.CompleteResponse(head, body))
        # A rejection or a failure isn't the begin of what was asked for.
        if isinstance(outcome, outcomes.CompleteResponse):
            if self.stream.head_sent:
                return outcomes.Failed('the answer is not the rest of a stream')
            self._record_first(started)
        return outcome

    async def _forward_stream(
        self,
        answer: calls.Answer,
        head: codec.ResponseHead,
        started: float,
    ) -> outcomes.Outcome:
        if head.encoded or not head.signed:
            raise backend_errors.GarbledError('the stream is not the server’s')
        splitter = self.stream.splitter
        splitter.discard_incomplete()
        async with contextlib.aclosing(answer.chunks()) as chunks:
            async for chunk in chunks:
                complete = splitter.feed(chunk)
                if complete:
                    await self._forward_events(head, complete, started)
        if not splitter.is_complete() or not self.stream.head_sent:
            raise errors.InvalidStreamError('the stream ended within an event')
        return outcomes.CompleteStream()

    async def _forward_events(
        self, head: codec.ResponseHead, complete: bytes, started: float
    ) -> None:
        is_first = not self.stream.head_sent
        if is_first:
            self.on_begin()
        self._record_first(started)
        self.gaps.note(response_writer.now())
        if is_first:
            self.stream.head_sent = True
            await self.response_writer.begin(head)
        await self.response_writer.write(complete)

    async def _read_body(self, answer: calls.Answer) -> bytes:
        """Read a response that is sent only when it is complete.

        Its bytes count as held, and it waits until there is room for them.
        """
        buffer = self.response_writer.buffer
        chunks: list[bytes] = []
        reserved = 0
        size = 0
        try:
            async for chunk in bodies.bounded(answer):
                chunks.append(chunk)
                size += len(chunk)
                if size > reserved:
                    wanted = max(answer.length or 0, size) - reserved
                    await buffer.reserve(wanted)
                    reserved += wanted
        except BaseException:
            buffer.count_read(-reserved)
            raise
        return b''.join(chunks)

    def _record_first(self, started: float) -> None:
        if self.first is None:
            self.first = response_writer.now() - started
            self.on_first(self.first)
            if self.request_record.first is None:
                self.request_record.first = (
                    response_writer.now() - self.request_record.arrived
                )


def _classify(complete: outcomes.CompleteResponse) -> outcomes.Outcome:
    head = complete.head
    if head.not_run:
        return outcomes.NotRun(
            f'the server answered {head.status}',
            outcomes.Proof.rejected,
            wrong_server=head.status == _WRONG_SERVER,
        )
    if head.encoded or not head.signed:
        return outcomes.Failed('the answer is not as the server made it')
    if head.status in _NOT_RUN_STATUSES:
        return outcomes.Failed(
            f'the server answered {head.status} and may have run it',
        )
    if head.status >= _MIN_SERVER_ERROR:
        return outcomes.Failed(f'the server failed: {head.status}', complete)
    return complete
