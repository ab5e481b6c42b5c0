"""An admitted request on its way: wait, dispatch, repeat or go on, answer.

A request goes to one server at a time. It goes to another one only where the
last surely didn't run it, or where the route allows that it runs again, and
while its time, the route's attempts and the retry budget last. A stream that
may be resumed goes on at another server behind the last event that the caller
has.
"""

import asyncio
import dataclasses
import enum
import functools
import typing

import aiohttp
from aiohttp import web
from geraniumweir.common import eventlog, ids
from geraniumweir.gateway import (
    attempts,
    codec,
    events,
    logevents,
    outcomes,
    refusals,
    story,
    talk,
)
from geraniumweir.observe import metricnames, metrics
from geraniumweir.routing import tables
from geraniumweir.scheduling import notices, requests, views

# Servers that turn a request away, one after another: two more tries find one
# that takes it, or there is none.
_MOST_REJECTED = 3
# A request whose grants are given back asks again after so long, from the
# second time on, in seconds: whoever makes them may not have heard why yet.
_AGAIN_SECONDS = 0.05


class Check(typing.Protocol):
    """Looks at a grant once more before its request is sent."""

    def stops(self, grant: requests.Grant) -> enum.Enum | None:
        """Tell why a request may not be sent by a grant, if so."""


@dataclasses.dataclass(frozen=True, slots=True)
class Means:
    """What all requests of a host share."""

    session: aiohttp.ClientSession
    codec: codec.Codec
    scheduler: views.Scheduler
    host_id: ids.HostId
    said: notices.Notices
    check: Check
    meter: metrics.Metrics


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that a route leads to a pool.

    :ivar deadline: when its answer is due, on the loop's clock.
    :ivar event_tokens: tokens that one event of its stream holds.
    """

    call: codec.Request
    body: bytes
    route: tables.Route
    customer: tables.Customer | None
    ask: requests.Ask
    deadline: float
    event_tokens: int


@dataclasses.dataclass(slots=True)
class Course:
    """How far a request has come.

    :ivar runs: servers that ran it, or may have.
    :ivar rejected: servers that surely didn't.
    :ivar arrivals: at servers, whatever became of them.
    :ivar asked: it has asked for a server.
    :ivar sent: it is at a server now.
    :ivar failure: the last failure that a server itself answered.
    """

    runs: int = 0
    rejected: int = 0
    arrivals: int = 0
    asked: bool = False
    sent: bool = False
    failure: outcomes.Whole | None = None

    @property
    def sending(self) -> requests.Sending:
        """Give how often the request has been sent before."""
        if self.arrivals:
            return requests.Sending.retry
        if self.asked:
            return requests.Sending.again
        return requests.Sending.first


class Forwarding:
    """One admitted request."""

    def __init__(
        self,
        means: Means,
        admitted: Admitted,
        caller: talk.Talk,
        told: story.Story,
    ) -> None:
        """Begin nothing yet."""
        self._means = means
        self._admitted = admitted
        self._talk = caller
        self._story = told
        self._course = Course()
        self._stream = attempts.Stream(
            events.Splitter(admitted.call.last_event),
        )

    async def serve(self) -> web.StreamResponse:
        """Answer the request.

        :raises geraniumweir.common.errors.Refused: when no server answers
            it.
        :raises ConnectionError: when the caller has gone.
        """
        try:
            async with asyncio.timeout_at(self._admitted.deadline):
                return await self._until_answered()
        except TimeoutError:
            return self._overdue()

    def _overdue(self) -> web.StreamResponse:
        if self._stream.begun:
            return self._broken('its time is over')
        if self._course.failure is not None:
            return self._talk.whole(self._course.failure)
        if self._course.sent or self._course.runs:
            raise refusals.timed_out()
        raise refusals.waited_in_vain()

    def _broken(self, reason: str) -> web.StreamResponse:
        self._story.tell(logevents.BROKEN, talk.now(), reason=reason)
        return self._talk.break_off()

    async def _until_answered(self) -> web.StreamResponse:
        while True:
            answer = await self._granted()
            if isinstance(answer, requests.Denial):
                return self._denied(answer)
            self._story.granted = talk.now() - self._story.arrived
            outcome = await self._dispatch(answer)
            resp = self._settle(answer, outcome)
            if resp is not None:
                return resp

    async def _granted(self) -> requests.Grant | requests.Denial:
        """Wait for a grant that may be used, or for a denial."""
        pause = float(0)
        while True:
            ask = self._next_ask()
            self._course.asked = True
            answer = await self._means.scheduler.ask(ask)
            cause = None
            if isinstance(answer, requests.Grant):
                cause = self._means.check.stops(answer)
            if cause is None:
                if ask.sending is requests.Sending.retry:
                    self._note_retry(answer)
                return answer
            self._give_back(answer, cause)
            await asyncio.sleep(pause)
            pause = _AGAIN_SECONDS

    def _give_back(self, grant: requests.Grant, cause: enum.Enum) -> None:
        self._story.tell(
            logevents.GIVEN_BACK,
            talk.now(),
            server=grant.server_id,
            reason=cause.value,
        )
        given_up = requests.Outcome.given_up
        self._means.scheduler.release(
            requests.Release(grant.request_id, given_up),
        )

    def _next_ask(self) -> requests.Ask:
        """Give the ask; what was counted once takes no quota again."""
        ask = self._admitted.ask
        cost = 0 if self._course.runs else ask.quota_cost
        sending = self._course.sending
        return dataclasses.replace(ask, quota_cost=cost, sending=sending)

    def _note_retry(
        self,
        answer: requests.Grant | requests.Denial,
    ) -> None:
        """Tell of a retry that may be sent, or not for want of budget."""
        match answer:
            case requests.Grant():
                event, outcome = logevents.RETRIED, 'sent'
            case requests.Denial(reason=requests.DenialReason.retry_budget):
                event, outcome = logevents.NOT_RETRIED, 'denied'
            case _:
                return
        self._story.tell(event, talk.now())
        pool = self._admitted.ask.pool
        self._means.meter.count(metricnames.RETRIES, pool, outcome)

    def _denied(self, denial: requests.Denial) -> web.StreamResponse:
        if self._stream.begun:
            return self._broken(denial.reason.value)
        if self._course.failure is not None:
            return self._talk.whole(self._course.failure)
        if self._course.runs:
            raise refusals.may_have_run('failed', 'a server failed')
        raise refusals.denied(denial)

    def _settle(
        self,
        grant: requests.Grant,
        outcome: outcomes.Outcome,
    ) -> web.StreamResponse | None:
        """Answer the caller, or give None to try again."""
        match outcome:
            case outcomes.Whole():
                return self._talk.whole(outcome)
            case outcomes.Streamed():
                return typing.cast(web.StreamResponse, self._talk.resp)
            case outcomes.NotRun(reason=reason):
                self._note(grant, reason)
                return self._not_run(outcome)
            case outcomes.Failed(reason=reason):
                self._note(grant, reason)
                return self._failed(outcome)

    def _note(self, grant: requests.Grant, reason: str) -> None:
        self._story.tell(
            logevents.TRIED,
            talk.now(),
            server=grant.server_id,
            reason=reason,
        )

    def _not_run(self, outcome: outcomes.NotRun) -> web.StreamResponse | None:
        self._course.rejected += 1
        self._course.arrivals += outcome.arrived
        if self._course.rejected < _MOST_REJECTED:
            return None
        if self._stream.begun:
            return self._broken(outcome.reason)
        if self._course.failure is not None:
            return self._talk.whole(self._course.failure)
        if self._course.runs:
            raise refusals.may_have_run('failed', outcome.reason)
        raise refusals.not_taken(outcome.reason)

    def _failed(self, outcome: outcomes.Failed) -> web.StreamResponse | None:
        self._course.runs += 1
        self._course.arrivals += 1
        self._course.failure = outcome.answer or self._course.failure
        if self._may_run_again():
            return None
        if self._stream.begun:
            return self._broken(outcome.reason)
        if self._course.failure is not None:
            return self._talk.whole(self._course.failure)
        raise refusals.may_have_run('failed', outcome.reason)

    def _may_run_again(self) -> bool:
        route = self._admitted.route
        if self._course.runs >= route.attempts:
            return False
        return route.repeatable or route.resumable

    async def _dispatch(self, grant: requests.Grant) -> outcomes.Outcome:
        started = talk.now()
        attempt = self._attempt(grant, started)
        self._story.servers.append(grant.server_id)
        self._story.software.append(grant.version)
        self._course.sent = True
        ended = requests.Outcome.cancelled
        try:
            outcome = await attempt.run()
            ended = _ended(outcome)
            return outcome
        finally:
            # Where its time is over, a server has had the request.
            self._course.sent = ended is requests.Outcome.cancelled
            self._release(grant, attempt, ended, talk.now() - started)

    def _attempt(
        self,
        grant: requests.Grant,
        started: float,
    ) -> attempts.Attempt:
        admitted = self._admitted
        customer = admitted.customer
        return attempts.Attempt(
            session=self._means.session,
            codec=self._means.codec,
            call=admitted.call,
            body=admitted.body,
            dispatch=codec.Dispatch(
                server_id=grant.server_id,
                customer=None if customer is None else customer.name,
                seconds_left=admitted.deadline - started,
                last_event=self._stream.splitter.last,
            ),
            address=grant.address,
            talk=self._talk,
            stream=self._stream,
            story=self._story,
            on_first=self._on_first,
            on_head=functools.partial(self._hear, grant, started),
        )

    def _hear(
        self,
        grant: requests.Grant,
        started: float,
        answered: codec.ResponseHead,
    ) -> None:
        """Take what a server says of itself."""
        for content in answered.said:
            if isinstance(content, notices.Unreadable):
                eventlog.emit(
                    logevents.NOTICE_UNREADABLE,
                    server=grant.server_id,
                    said=content.said,
                )
                continue
            self._means.said.hear(
                notices.Notice(
                    grant.server_id,
                    grant.incarnation,
                    content,
                    self._means.host_id,
                    started,
                    talk.now(),
                ),
            )

    def _on_first(self, seconds: float) -> None:
        if self._admitted.ask.streams:
            self._means.scheduler.progress(
                requests.Progress(
                    self._admitted.ask.request_id,
                    seconds,
                    self._admitted.event_tokens,
                ),
            )

    def _release(
        self,
        grant: requests.Grant,
        attempt: attempts.Attempt,
        ended: requests.Outcome,
        seconds: float,
    ) -> None:
        longest = max(self._story.longest_pause, attempt.pauses.longest)
        self._story.longest_pause = longest
        tokens = self._stream.splitter.count * self._admitted.event_tokens
        self._means.scheduler.release(
            requests.Release(
                grant.request_id,
                ended,
                attempt.first,
                tokens,
                seconds,
                attempt.pauses.usual,
                attempt.pauses.longest,
            ),
        )


def _ended(outcome: outcomes.Outcome) -> requests.Outcome:
    match outcome:
        case outcomes.Whole() | outcomes.Streamed():
            return requests.Outcome.done
        case outcomes.NotRun(wrong_server=True):
            return requests.Outcome.wrong_server
        case outcomes.NotRun(arrived=True):
            return requests.Outcome.turned_away
        case outcomes.NotRun():
            return requests.Outcome.not_sent
        case outcomes.Failed(answer=None):
            return requests.Outcome.failed
        case outcomes.Failed():
            return requests.Outcome.answered_failure
