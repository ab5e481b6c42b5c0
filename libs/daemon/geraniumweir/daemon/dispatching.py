"""The path of an admitted call: claim, grant, dispatch, end.

A call is dispatched once. Only where no connection could be made, so no byte
was sent, is another server asked for. A non-idempotent call is claimed first
and, once sent, runs to its end whatever becomes of its caller or its
deadline.
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
_MOST_TRIES = 6
_FIRST_PAUSE_SECONDS = 0.02
# Bounds a non-idempotent call that its server never ends.
_LONGEST_RUN_SECONDS = 900.0


@dataclasses.dataclass(slots=True)
class Job:
    """An admitted call.

    :ivar finished: whether its claim has got its ending.
    """

    host: entry_host.EntryHost
    talk: exchange.Exchange
    admitted: admission.Admitted
    flight: inflight.Flight
    finished: bool = False

    @property
    def scheduler(self) -> views.Scheduler:
        """Who grants capacity of the call's pool."""
        return self.host.scheduler(self.admitted.ask.pool)

    @property
    def request_id(self) -> ids.RequestId:
        """The call's id."""
        return self.talk.request_id

    def note_counted(self) -> None:
        """Keep the call from counting twice against its rule's rate."""
        ask = dataclasses.replace(self.admitted.ask, rate_per_s=None)
        self.admitted = dataclasses.replace(self.admitted, ask=ask)

    async def finish(self, ending: claiming.Ending) -> None:
        """Give the call's claim its ending, once."""
        if self.finished or self.admitted.claim is None:
            return
        self.finished = True
        try:
            await self.host.path.claims.finish(
                self.admitted.claim,
                self.request_id,
                ending,
            )
        except claiming.ClaimsUnavailableError:
            # The claim goes on counting as running, which is the safe side.
            self.finished = False

    async def whole(self) -> None:
        """Note that the whole answer is there."""
        await self.finish(claiming.Ending.done)


async def serve(job: Job) -> None:
    """Serve an admitted call.

    :raises errors.Refused: when it gets no whole answer.
    :raises ConnectionError: when its caller has gone.
    """
    if job.admitted.claim is None:
        await _run(job)
        return
    await _claim(job, job.admitted.claim)
    task = job.host.path.in_flight.background(_run_claimed(job))
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        job.talk.gone = True
        if not job.flight.sent:
            task.cancel()
        raise


async def _claim(job: Job, key: claiming.ClaimKey) -> None:
    path = job.host.path
    ask = job.admitted.ask
    try:
        with path.tracer.span(job.request_id, traces.Hop.claim):
            async with asyncio.timeout_at(ask.deadline):
                claim = await path.claims.claim(
                    key,
                    job.request_id,
                    ask.fingerprint,
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
        if job.flight.sent:
            ending = claiming.Ending.unknown
        await job.finish(ending)


async def _run(job: Job) -> None:
    flight = job.flight
    try:
        async with asyncio.timeout_at(job.admitted.ask.deadline) as timeout:
            flight.timeout = timeout
            await _until_sent(job, timeout)
    except TimeoutError as exc:
        raise refusals.stopped(flight.stop, _ran(job)) from exc
    finally:
        flight.timeout = None


def _ran(job: Job) -> ids.Ran:
    if job.talk.resp is not None:
        return ids.Ran.yes
    return ids.Ran.unknown if job.flight.sent else ids.Ran.no


async def _until_sent(job: Job, timeout: asyncio.Timeout) -> None:
    """Ask for servers until one takes the call's connection."""
    pause = _FIRST_PAUSE_SECONDS
    for left in reversed(range(_MOST_TRIES)):
        grant = await _granted(job)
        try:
            await _dispatch(job, grant, timeout)
        except backend_errors.NotSentError as exc:
            if not left:
                raise refusals.broken(exc) from exc
            timeout.reschedule(job.admitted.ask.deadline)
            job.note_counted()
            await asyncio.sleep(pause)
            pause *= 2
        else:
            return


async def _granted(job: Job) -> requests.Grant:
    scheduler = job.scheduler
    tracer = job.host.path.tracer
    asked = asyncio.get_running_loop().time()
    try:
        with tracer.span(job.request_id, traces.Hop.queue):
            answer = await scheduler.request_slot(job.admitted.ask)
    except asyncio.CancelledError:
        scheduler.withdraw(job.request_id)
        # The grant may have been on its way already.
        outcome = requests.Outcome.given_up
        scheduler.release(requests.Release(job.request_id, outcome))
        raise
    match answer:
        case requests.Denial():
            raise refusals.denied(answer)
        case requests.Grant():
            tracer.mark(job.request_id, traces.Hop.grant, answer.server_id)
            waited = asyncio.get_running_loop().time() - asked
            job.host.path.meter.granted(job.admitted.ask, waited)
            return answer


async def _dispatch(
    job: Job,
    grant: requests.Grant,
    timeout: asyncio.Timeout,
) -> None:
    loop = asyncio.get_running_loop()
    run = relaying.Run(
        host=job.host,
        talk=job.talk,
        admitted=job.admitted,
        grant=grant,
        flight=job.flight,
        whole=job.whole,
        started=loop.time(),
    )
    job.flight.sent = True
    if not job.flight.idempotent:
        timeout.reschedule(loop.time() + _LONGEST_RUN_SECONDS)
    outcome = requests.Outcome.failed
    try:
        with job.host.path.tracer.span(job.request_id, traces.Hop.dispatch):
            await relaying.relay(run)
        outcome = requests.Outcome.done
    except backend_errors.AnswerError as exc:
        outcome = _failure(job, grant, exc)
        raise _refused(exc) from exc
    except (asyncio.CancelledError, ConnectionError):
        outcome = _cut(job, grant)
        raise
    finally:
        _release(job, run, outcome)


def _failure(
    job: Job,
    grant: requests.Grant,
    exc: backend_errors.AnswerError,
) -> requests.Outcome:
    if isinstance(exc, backend_errors.NotSentError):
        job.flight.sent = False
        return requests.Outcome.not_sent
    # What broke off here may go on there.
    _cancel(job, grant)
    server = job.host.server(grant.server_id)
    if server is not None and server.incarnation > grant.incarnation:
        return requests.Outcome.crashed
    return requests.Outcome.failed


def _refused(exc: backend_errors.AnswerError) -> errors.GeraniumweirError:
    if isinstance(exc, backend_errors.NotSentError):
        return exc
    return refusals.broken(exc)


def _cut(job: Job, grant: requests.Grant) -> requests.Outcome:
    _cancel(job, grant)
    if job.flight.stop is inflight.Stop.preempted:
        return requests.Outcome.preempted
    return requests.Outcome.cancelled


def _cancel(job: Job, grant: requests.Grant) -> None:
    server = job.host.server(grant.server_id)
    if job.admitted.kind != 'engine' or not job.flight.idempotent:
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
    run: relaying.Run,
    outcome: requests.Outcome,
) -> None:
    path = job.host.path
    path.tracer.mark(job.request_id, traces.Hop.end, outcome.value)
    release = requests.Release(
        job.request_id,
        outcome,
        run.first_token,
        run.output_tokens,
        run.seconds,
    )
    path.meter.released(job.admitted.ask, release)
    if outcome is requests.Outcome.done:
        now = asyncio.get_running_loop().time()
        path.meter.done(job.admitted.ask, now - job.talk.arrival, now)
    job.scheduler.release(release)
