"""One dispatch of a request to one server, and what comes back.

A plain answer is read whole and judged before the caller gets a byte of it.
Of a stream whole events are passed on as they come.
"""

import contextlib
import dataclasses
import typing

import aiohttp
from geraniumweir.backends import calls
from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import ids
from geraniumweir.gateway import codec, errors, events, outcomes, story, talk

_OK = 200
_FIRST_FAILURE = 500
_WRONG_SERVER = 421
# What these promise to a caller only a server's own word can back.
_PROMISES = frozenset(
    (
        408,
        421,
        429,
        503,
    )
)


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream to the caller, over all servers that had a part in it.

    :ivar splitter: cuts events and knows the last one.
    :ivar begun: the caller has the head.
    """

    splitter: events.Splitter
    begun: bool = False


@dataclasses.dataclass(slots=True)
class Pauses:
    """The pauses between the events of one run of a stream, in seconds."""

    longest: float = 0
    total: float = 0
    count: int = 0
    _last: float | None = None

    def note(self, now: float) -> None:
        """Take that events came.

        :param now: in seconds.
        """
        if self._last is not None:
            pause = now - self._last
            self.longest = max(self.longest, pause)
            self.total += pause
            self.count += 1
        self._last = now

    @property
    def usual(self) -> float:
        """Give the mean."""
        return self.total / self.count if self.count else 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One dispatch.

    :ivar first: seconds from dispatch to the first event or the whole answer.
    :ivar on_first: told when the first event came.
    :ivar on_head: told what the head of the server's answer says.
    """

    session: aiohttp.ClientSession
    codec: codec.Codec
    call: codec.Request
    body: bytes
    dispatch: codec.Dispatch
    address: ids.Address
    talk: talk.Talk
    stream: Stream
    story: story.Story
    on_first: typing.Callable[[float], None]
    on_head: typing.Callable[[codec.ResponseHead], None]
    first: float | None = None
    pauses: Pauses = dataclasses.field(default_factory=Pauses)

    async def run(self) -> outcomes.Outcome:
        """Send the request and take the answer.

        :raises ConnectionError: when the caller has gone.
        """
        started = talk.now()
        sent = calls.Call(
            self.call.method,
            self.call.target,
            self.codec.dispatch_headers(self.call, self.dispatch),
            self.body,
        )
        try:
            answer = await calls.send(self.session, self.address, sent)
        except backend_errors.NotSentError as exc:
            return outcomes.NotRun(exc.message, arrived=False)
        except backend_errors.AnswerError as exc:
            return outcomes.Failed(exc.message)
        try:
            async with answer:
                return await self._take(answer, started)
        except (
            backend_errors.AnswerError,
            errors.BrokenStreamError,
        ) as exc:
            return outcomes.Failed(exc.message)

    async def _take(
        self,
        answer: calls.Answer,
        started: float,
    ) -> outcomes.Outcome:
        answered = self.codec.read_response_head(answer.status, answer.headers)
        if answered.request_id != self.call.request_id:
            raise backend_errors.ForeignAnswerError(
                f'the answer is of request {answered.request_id!r}',
            )
        self.on_head(answered)
        if answered.status == _OK and answered.streams:
            return await self._pass_on(answer, answered, started)
        body = await _whole_body(answer)
        self._note_first(started)
        return _judge(outcomes.Whole(answered, body))

    async def _pass_on(
        self,
        answer: calls.Answer,
        answered: codec.ResponseHead,
        started: float,
    ) -> outcomes.Outcome:
        if answered.encoded or not answered.signed:
            raise backend_errors.GarbledError('the stream is not the server’s')
        splitter = self.stream.splitter
        splitter.go_on()
        async with contextlib.aclosing(answer.chunks()) as chunks:
            async for chunk in chunks:
                whole = splitter.feed(chunk)
                if not whole:
                    continue
                self._note_first(started)
                self.pauses.note(talk.now())
                if not self.stream.begun:
                    self.stream.begun = True
                    await self.talk.begin(answered)
                await self.talk.write(whole)
        if not splitter.is_whole() or not self.stream.begun:
            raise errors.BrokenStreamError('the stream ended within an event')
        return outcomes.Streamed()

    def _note_first(self, started: float) -> None:
        if self.first is None:
            self.first = talk.now() - started
            self.on_first(self.first)
            if self.story.first is None:
                self.story.first = talk.now() - self.story.arrived


async def _whole_body(answer: calls.Answer) -> bytes:
    chunks = [chunk async for chunk in answer.chunks()]
    return b''.join(chunks)


def _judge(whole: outcomes.Whole) -> outcomes.Outcome:
    answered = whole.answered
    if answered.not_run:
        return outcomes.NotRun(
            f'the server answered {answered.status}',
            arrived=True,
            wrong_server=answered.status == _WRONG_SERVER,
        )
    if answered.encoded or not answered.signed:
        return outcomes.Failed('the answer is not as the server made it')
    if answered.status in _PROMISES:
        return outcomes.Failed(
            f'the server answered {answered.status} and may have run it',
        )
    if answered.status >= _FIRST_FAILURE:
        return outcomes.Failed(f'the server failed: {answered.status}', whole)
    return whole
