"""Serves an admitted request: claim, grant, dispatch, release.

A request is dispatched once. Another server is requested only where no
connection could be made, so that no byte was sent. A non-idempotent request
is claimed first. Once sent, it runs to its end even when its caller
disconnects or its deadline passes.
"""

import asyncio
import dataclasses

from geraniumweir.backends import calls
from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import errors, ids
from geraniumweir.daemon import (
    admission,
    claiming,
    exchange,
    inflight,
    refusals,
    relaying,
)
from geraniumweir.daemon import host as entry_host
from geraniumweir.observe import traces
from geraniumweir.scheduling import requests, views

_CANCEL_SECONDS = 2.0
_MAX_ATTEMPTS = 6
_INITIAL_BACKOFF_SECONDS = 0.02
# Bounds a non-idempotent request that its server never finishes.
_MAX_RUN_SECONDS = 900.0


@dataclasses.dataclass(slots=True)
class Job:
    """An admitted request while it is served.

    :ivar claim_finished: whether the outcome of its claim was recorded.
    """

    host: entry_host.EntryHost
    http_exchange: exchange.Exchange
    admitted: admission.AdmittedRequest
    in_flight_request: inflight.InFlightRequest
    claim_finished: bool = False

    @property
    def scheduler(self) -> views.Scheduler:
        """Scheduler that grants slots of the request's pool."""
        return self.host.scheduler(self.admitted.slot_request.pool)

    @property
    def request_id(self) -> ids.RequestId:
        """Id of the request."""
        return self.http_exchange.request_id

    def exempt_from_rate_limit(self) -> None:
        """Exempt further slot requests from the rule's rate limit.

        A request counts once, however often it is dispatched.
        """
        slot_request = dataclasses.replace(
            self.admitted.slot_request, rate_per_s=None
        )
        self.admitted = dataclasses.replace(
            self.admitted, slot_request=slot_request
        )

    async def finish_claim(self, ending: claiming.Ending) -> None:
        """Record the outcome of the request's claim, once."""
        if self.claim_finished or self.admitted.claim is None:
            return
        self.claim_finished = True
        try:
            await self.host.path.claims.finish(
                self.admitted.claim,
                self.request_id,
                ending,
            )
        except claiming.ClaimsUnavailableError:
            # The claim stays recorded as running, so a repeat is not run.
            self.claim_finished = False

    async def record_complete(self) -> None:
        """Record in the claim that the response is complete."""
        await self.finish_claim(claiming.Ending.done)


async def serve(job: Job) -> None:
    """Serve an admitted request.

    :raises errors.Refused: when it gets no complete response.
    :raises ConnectionError: when its caller has disconnected.
    """
    if job.admitted.claim is None:
        await _run(job)
        return
    await _claim(job, job.admitted.claim)
    task = job.host.path.in_flight.background(_run_claimed(job))
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        job.http_exchange.caller_gone = True
        if not job.in_flight_request.sent:
            task.cancel()
        raise


async def _claim(job: Job, key: claiming.ClaimKey) -> None:
    path = job.host.path
    slot_request = job.admitted.slot_request
    try:
        with path.tracer.span(job.request_id, traces.Hop.claim):
            async with asyncio.timeout_at(slot_request.deadline):
                claim = await path.claims.claim(
                    key,
                    job.request_id,
                    slot_request.fingerprint,
                )
    except claiming.ClaimsUnavailableError as exc:
        raise refusals.no_claim(exc.message) from exc
    except TimeoutError as exc:
        raise refusals.no_claim('no claim before the deadline') from exc
    if claim is not claiming.Claim.granted:
        raise refusals.repeated(claim)


async def _run_claimed(job: Job) -> None:
    try:
        await _run(job)
    finally:
        ending = claiming.Ending.not_run
        if job.in_flight_request.sent:
            ending = claiming.Ending.unknown
        await job.finish_claim(ending)


async def _run(job: Job) -> None:
    in_flight_request = job.in_flight_request
    try:
        async with asyncio.timeout_at(
            job.admitted.slot_request.deadline
        ) as timeout:
            in_flight_request.timeout = timeout
            await _dispatch_until_sent(job, timeout)
    except TimeoutError as exc:
        raise refusals.stopped(
            in_flight_request.stop_reason, _ran(job)
        ) from exc
    finally:
        in_flight_request.timeout = None


def _ran(job: Job) -> ids.Ran:
    if job.http_exchange.resp is not None:
        return ids.Ran.yes
    return ids.Ran.unknown if job.in_flight_request.sent else ids.Ran.no


async def _dispatch_until_sent(job: Job, timeout: asyncio.Timeout) -> None:
    """Request slots until a server accepts the connection."""
    backoff_seconds = _INITIAL_BACKOFF_SECONDS
    for attempts_left in reversed(range(_MAX_ATTEMPTS)):
        grant = await _request_grant(job)
        try:
            await _dispatch(job, grant, timeout)
        except backend_errors.NotSentError as exc:
            if not attempts_left:
                raise refusals.broken(exc) from exc
            timeout.reschedule(job.admitted.slot_request.deadline)
            job.exempt_from_rate_limit()
            await asyncio.sleep(backoff_seconds)
            backoff_seconds *= 2
        else:
            return


async def _request_grant(job: Job) -> requests.Grant:
    scheduler = job.scheduler
    tracer = job.host.path.tracer
    requested_at = asyncio.get_running_loop().time()
    try:
        with tracer.span(job.request_id, traces.Hop.queue):
            answer = await scheduler.request_slot(job.admitted.slot_request)
    except asyncio.CancelledError:
        scheduler.withdraw(job.request_id)
        # The grant may have been sent already; release it.
        outcome = requests.Outcome.given_up
        scheduler.release(requests.Release(job.request_id, outcome))
        raise
    match answer:
        case requests.Denial():
            raise refusals.denied(answer)
        case requests.Grant():
            tracer.mark(job.request_id, traces.Hop.grant, answer.server_id)
            queue_seconds = asyncio.get_running_loop().time() - requested_at
            job.host.path.meter.record_grant(
                job.admitted.slot_request, queue_seconds
            )
            return answer


async def _dispatch(
    job: Job,
    grant: requests.Grant,
    timeout: asyncio.Timeout,
) -> None:
    loop = asyncio.get_running_loop()
    relayed = relaying.RelayedRequest(
        host=job.host,
        http_exchange=job.http_exchange,
        admitted=job.admitted,
        grant=grant,
        in_flight_request=job.in_flight_request,
        on_complete=job.record_complete,
        started_at=loop.time(),
    )
    job.in_flight_request.sent = True
    if not job.in_flight_request.idempotent:
        timeout.reschedule(loop.time() + _MAX_RUN_SECONDS)
    outcome = requests.Outcome.failed
    try:
        with job.host.path.tracer.span(job.request_id, traces.Hop.dispatch):
            await relaying.relay(relayed)
        outcome = requests.Outcome.done
    except backend_errors.AnswerError as exc:
        outcome = _handle_failure(job, grant, exc)
        raise _caller_error(exc) from exc
    except (asyncio.CancelledError, ConnectionError):
        outcome = _abort(job, grant)
        raise
    finally:
        _release(job, relayed, outcome)


def _handle_failure(
    job: Job,
    grant: requests.Grant,
    exc: backend_errors.AnswerError,
) -> requests.Outcome:
    if isinstance(exc, backend_errors.NotSentError):
        job.in_flight_request.sent = False
        return requests.Outcome.not_sent
    # The server may still run the request after a connection closed early.
    _cancel(job, grant)
    server = job.host.server(grant.server_id)
    if server is not None and server.incarnation > grant.incarnation:
        return requests.Outcome.crashed
    return requests.Outcome.failed


def _caller_error(exc: backend_errors.AnswerError) -> errors.GeraniumweirError:
    if isinstance(exc, backend_errors.NotSentError):
        return exc
    return refusals.broken(exc)


def _abort(job: Job, grant: requests.Grant) -> requests.Outcome:
    _cancel(job, grant)
    if job.in_flight_request.stop_reason is inflight.StopReason.preempted:
        return requests.Outcome.preempted
    return requests.Outcome.cancelled


def _cancel(job: Job, grant: requests.Grant) -> None:
    server = job.host.server(grant.server_id)
    if job.admitted.kind != 'engine' or not job.in_flight_request.idempotent:
        return
    if server is not None and not server.can_cancel:
        return
    job.host.path.in_flight.background(
        calls.cancel(
            job.host.session,
            grant.address,
            job.request_id,
            _CANCEL_SECONDS,
        ),
    )


def _release(
    job: Job,
    relayed: relaying.RelayedRequest,
    outcome: requests.Outcome,
) -> None:
    path = job.host.path
    path.tracer.mark(job.request_id, traces.Hop.end, outcome.value)
    release = requests.Release(
        job.request_id,
        outcome,
        relayed.first_token_seconds,
        relayed.output_tokens,
        relayed.elapsed_seconds,
    )
    path.meter.record_release(job.admitted.slot_request, release)
    if outcome is requests.Outcome.done:
        now = asyncio.get_running_loop().time()
        path.meter.record_completion(
            job.admitted.slot_request, now - job.http_exchange.arrival, now
        )
    job.scheduler.release(release)
