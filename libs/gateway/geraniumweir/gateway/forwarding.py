"""Forwards one admitted request: waits for a grant, dispatches and retries.

A request is dispatched to one server at a time. It is retried on another one
only if the last server certainly did not run it, or if the route allows a
second run, and only within its deadline, the route's attempts and the retry
budget. A resumable stream continues on another server after the last event
that was sent to the caller.
"""

import asyncio
import dataclasses
import enum
import functools
import typing

from aiohttp import web
from geraniumweir.gateway import (
    attempts,
    begun_streams,
    codec,
    context,
    events,
    logevents,
    outcomes,
    preemption,
    refusals,
    request_record,
    request_state,
    response_writer,
)
from geraniumweir.observe import metricnames
from geraniumweir.scheduling import requests

# Rejections after which a request is refused: if two more servers reject it
# too, it is unlikely that another one accepts it.
_MAX_REJECTIONS = 3
# Delay before the next slot request when a second grant in a row could not be
# used: the pool leader may not have received the server's notice yet.
_REPEAT_DELAY_SECONDS = 0.05
# Logged for a sending after which nothing proves that the request did not run.
_MAY_HAVE_RUN = 'none'


class RequestForwarder:
    """Forwarder of one admitted request."""

    def __init__(
        self,
        shared: context.SharedResources,
        admitted: context.AdmittedRequest,
        writer: response_writer.ResponseWriter,
        record: request_record.RequestRecord,
    ) -> None:
        """Initialize without requesting a slot."""
        self._shared = shared
        self._admitted = admitted
        self._writer = writer
        self._record = record
        self._state = request_state.RequestState()
        self._stream = attempts.StreamState(
            events.EventSplitter(admitted.caller_request.last_event),
            origin=admitted.began,
        )
        self._begun = begun_streams.BegunStream(
            shared.streams, self._stream, admitted, record.arrived
        )

    async def serve(self) -> web.StreamResponse:
        """Return the response to the caller.

        :raises geraniumweir.common.errors.Refused: if no server gives one.
        :raises ConnectionError: if the caller closed its connection.
        """
        try:
            async with self._shared.drain.limit(self._admitted.deadline):
                resp = await self._serve_until_answered()
                if self._stream.head_sent:
                    # The server's slot is free already.
                    await self._writer.end_stream()
                return resp
        except TimeoutError:
            return self._handle_timeout()

    def _handle_timeout(self) -> web.StreamResponse:
        """Return the response at the deadline, or at the end of a drain."""
        stopping = (
            self._shared.drain.begun
            and response_writer.now() < self._admitted.deadline
        )
        if self._stream.head_sent:
            if not self._writer.aborted:
                self._abort_stream(
                    'this host stops' if stopping else 'its time is over'
                )
            return self._writer.abort()
        if self._state.failure is not None:
            return self._writer.complete(self._state.failure)
        if self._state.sent or self._state.runs:
            raise refusals.timed_out(stopping)
        raise refusals.no_server_in_time(stopping)

    def _abort_stream(self, reason: str) -> web.StreamResponse:
        self._record.log(
            logevents.RESPONSE_ABORTED, response_writer.now(), reason=reason
        )
        return self._writer.break_off()

    async def _serve_until_answered(self) -> web.StreamResponse:
        while True:
            decision = await self._shared.drain.acquire(
                self._admitted.route,
                self._admitted.slot_request,
                self._acquire_grant,
            )
            if isinstance(decision, requests.Denial):
                return self._handle_denial(decision)
            self._record.granted = response_writer.now() - self._record.arrived
            outcome = await self._dispatch(decision)
            resp = self._handle_outcome(decision, outcome)
            if resp is not None:
                return resp

    async def _acquire_grant(self) -> requests.Grant | requests.Denial:
        """Return a grant that can be used, or a denial."""
        delay = float(0)
        while True:
            if not self._begun.is_certain():
                return requests.Denial(
                    self._admitted.slot_request.request_id,
                    requests.DenialReason.version_gone,
                )
            slot_request = self._next_slot_request()
            self._state.slot_requested = True
            decision = await self._shared.scheduler.request_slot(slot_request)
            cause = None
            if isinstance(decision, requests.Grant):
                cause = self._begun.unusable_reason(
                    decision
                ) or self._shared.check.unusable_reason(decision)
            if cause is None:
                self._begun.record_decision(slot_request, decision)
                if slot_request.sending is requests.Sending.retry:
                    self._record_retry(decision)
                return decision
            self._release_unused(decision, cause)
            await asyncio.sleep(delay)
            delay = _REPEAT_DELAY_SECONDS

    def _release_unused(self, grant: requests.Grant, cause: enum.Enum) -> None:
        self._record.log(
            logevents.GRANT_UNUSED,
            response_writer.now(),
            server=grant.server_id,
            reason=cause.value,
        )
        given_up = requests.Outcome.given_up
        self._shared.scheduler.release(
            requests.Release(grant.request_id, given_up),
        )

    def _next_slot_request(self) -> requests.SlotRequest:
        """Return the next slot request; quota is charged for one run only.

        The caller of a stream that has begun waits for its next event as it
        does for a first one.
        """
        slot_request = self._admitted.slot_request
        if self._stream.head_sent:
            now = response_writer.now()
            route = self._admitted.route
            slot_request = dataclasses.replace(
                slot_request,
                target=now + route.target,
                patience=now + route.patience,
            )
        slot_request = self._begun.rest(slot_request)
        cost = 0 if self._state.runs else slot_request.quota_cost
        sending = self._state.sending
        return dataclasses.replace(
            slot_request, quota_cost=cost, sending=sending
        )

    def _record_retry(
        self,
        decision: requests.Grant | requests.Denial,
    ) -> None:
        """Record a retry that was granted or denied."""
        now = response_writer.now()
        match decision:
            case requests.Grant():
                outcome = 'sent'
                self._record.log(logevents.RETRIED, now)
            case requests.Denial(reason=reason):
                outcome = (
                    'denied'
                    if reason is requests.DenialReason.retry_budget
                    else 'no_slot'
                )
                self._record.log(
                    logevents.NOT_RETRIED, now, reason=reason.value
                )
        pool = self._admitted.slot_request.pool
        self._shared.meter.count(metricnames.RETRIES, pool, outcome)

    def _handle_denial(self, denial: requests.Denial) -> web.StreamResponse:
        if self._stream.head_sent:
            return self._abort_stream(denial.reason.value)
        if self._state.failure is not None:
            return self._writer.complete(self._state.failure)
        if self._state.runs:
            raise refusals.may_have_run('failed', 'a server failed')
        raise refusals.denied(denial)

    def _handle_outcome(
        self,
        grant: requests.Grant,
        outcome: outcomes.Outcome,
    ) -> web.StreamResponse | None:
        """Return the response to the caller, None to retry."""
        match outcome:
            case outcomes.CompleteResponse():
                return self._writer.complete(outcome)
            case outcomes.CompleteStream():
                return typing.cast(web.StreamResponse, self._writer.resp)
            case outcomes.Preempted():
                server = grant.server_id
                now = response_writer.now()
                self._record.log(logevents.PREEMPTED, now, server=server)
                self._state.record_run()
                return None
            case outcomes.NotRun(reason=reason, proof=proof):
                self._log_failed_attempt(grant, reason, proof.value)
                return self._handle_not_run(outcome)
            case outcomes.Failed(reason=reason):
                self._log_failed_attempt(grant, reason, _MAY_HAVE_RUN)
                return self._handle_failure(outcome)

    def _log_failed_attempt(
        self, grant: requests.Grant, reason: str, proof: str
    ) -> None:
        """Log a sending without a good answer, and count it by its proof.

        :param proof: what proves that the server did not run it.
        """
        pool = self._admitted.slot_request.pool
        self._shared.meter.count(metricnames.FAILED_SENDINGS, pool, proof)
        self._record.log(
            logevents.ATTEMPT_FAILED,
            response_writer.now(),
            server=grant.server_id,
            sending=len(self._record.servers),
            proof=proof,
            reason=reason,
        )

    def _handle_not_run(
        self, outcome: outcomes.NotRun
    ) -> web.StreamResponse | None:
        self._state.rejected += 1
        self._state.arrivals += outcome.arrived
        if self._state.rejected < _MAX_REJECTIONS:
            return None
        if self._stream.head_sent:
            return self._abort_stream(outcome.reason)
        if self._state.failure is not None:
            return self._writer.complete(self._state.failure)
        if self._state.runs:
            raise refusals.may_have_run('failed', outcome.reason)
        raise refusals.not_accepted(outcome.reason)

    def _handle_failure(
        self, outcome: outcomes.Failed
    ) -> web.StreamResponse | None:
        self._state.record_run()
        self._state.failure = outcome.answer or self._state.failure
        if self._may_run_again():
            return None
        if self._stream.head_sent:
            return self._abort_stream(outcome.reason)
        if self._state.failure is not None:
            return self._writer.complete(self._state.failure)
        raise refusals.may_have_run('failed', outcome.reason)

    def _may_run_again(self, unfinished: int = 0) -> bool:
        """Return whether it may run once more.

        :param unfinished: runs that are not counted yet.
        """
        route = self._admitted.route
        if self._state.runs + unfinished >= route.attempts:
            return False
        if self._stream.head_sent:
            return route.resumable and self._stream.splitter.is_numbered
        return route.repeatable or route.resumable

    async def _dispatch(self, grant: requests.Grant) -> outcomes.Outcome:
        started = response_writer.now()
        attempt = self._make_attempt(grant, started)
        self._record.servers.append(grant.server_id)
        self._record.software.append(grant.version)
        self._state.sent = True
        release_outcome = requests.Outcome.cancelled
        running = preemption.RunningAttempt(
            grant, self._admitted.slot_request.pool, attempt
        )
        self._shared.running.add(running)
        try:
            outcome = await attempt.run()
            release_outcome = outcomes.to_release(outcome)
            if release_outcome is requests.Outcome.done:
                now = response_writer.now()
                self._shared.drain.work_times.record(
                    self._admitted.route.name, now - started, now
                )
            return outcome
        finally:
            self._shared.running.remove(running)
            # After a timeout the request was still at a server.
            self._state.sent = release_outcome is requests.Outcome.cancelled
            self._record.end_sending(
                attempt.connection, attempt.framing, self._stream.splitter.last
            )
            self._release(
                grant, attempt, release_outcome, response_writer.now() - started
            )

    def _make_attempt(
        self,
        grant: requests.Grant,
        started: float,
    ) -> attempts.Attempt:
        admitted = self._admitted
        customer = admitted.customer
        return attempts.Attempt(
            sender=self._shared.sender,
            codec=self._shared.codec,
            caller_request=admitted.caller_request,
            body=admitted.body,
            dispatch=codec.Dispatch(
                server_id=grant.server_id,
                customer=None if customer is None else customer.name,
                seconds_left=admitted.deadline - started,
                last_event=self._stream.splitter.last,
            ),
            address=grant.address,
            response_writer=self._writer,
            stream=self._stream,
            request_record=self._record,
            sending=len(self._record.servers) + 1,
            may_repeat=self._may_run_again(unfinished=1),
            on_first=self._report_first_event,
            on_head=functools.partial(self._record_notices, grant, started),
            on_begin=functools.partial(self._begun.record_first_event, grant),
        )

    def _record_notices(
        self,
        grant: requests.Grant,
        started: float,
        head: codec.ResponseHead,
    ) -> None:
        """Record the notices in the head of a server's response."""
        self._shared.server_notices.record(grant.start, started, head)

    def _report_first_event(self, seconds: float) -> None:
        begin = self._begun.pop_begin()
        slot_request = self._admitted.slot_request
        if slot_request.streams or begin is not None:
            self._shared.scheduler.progress(
                requests.Progress(
                    slot_request.request_id,
                    seconds if slot_request.streams else None,
                    self._admitted.event_tokens,
                    begin,
                ),
            )

    def _release(
        self,
        grant: requests.Grant,
        attempt: attempts.Attempt,
        release_outcome: requests.Outcome,
        seconds: float,
    ) -> None:
        longest = max(self._record.longest_pause, attempt.gaps.longest)
        self._record.longest_pause = longest
        tokens = self._stream.splitter.count * self._admitted.event_tokens
        self._shared.scheduler.release(
            requests.Release(
                grant.request_id,
                release_outcome,
                attempt.first,
                tokens,
                seconds,
                attempt.gaps.mean,
                attempt.gaps.longest,
            ),
        )
