"""Carries one answer from a backend server to the caller.

Whatever can be checked whole before a byte goes out is: the answer is kept,
within a bound, and given only then. Streams of events go out as they come,
event by event, and count as whole only with their last event. A slow caller
slows the reading from the server, so each stream holds bounded memory.
"""

import asyncio
import contextlib
import dataclasses
import functools
import typing

import multidict
from geraniumweir.backends import bodies, calls, errors, identity, sse, streams
from geraniumweir.daemon import admission, exchange, headers, inflight
from geraniumweir.daemon import host as entry_host
from geraniumweir.observe import traces
from geraniumweir.scheduling import requests

_ENGINE = 'engine'
_SSE = 'text/event-stream'
_REPORT_SECONDS = 0.25
_KEPT_BYTES = 1024 * 1024
_OK = 200
_FIRST_FAILURE = 500

Hook = typing.Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Run:
    """One granted call while it runs.

    :ivar whole: awaited once the answer is known to be whole, before its last
        bytes go to the caller.
    :ivar started: time of dispatch on the loop's clock, in seconds.
    :ivar first_token: seconds from dispatch to the first token, or None.
    """

    host: entry_host.EntryHost
    talk: exchange.Exchange
    admitted: admission.Admitted
    grant: requests.Grant
    flight: inflight.Flight
    whole: Hook
    started: float
    first_token: float | None = None
    output_tokens: int = 0
    reported: float = 0

    @property
    def seconds(self) -> float:
        """Seconds since dispatch."""
        return asyncio.get_running_loop().time() - self.started

    async def start(
        self,
        status: int,
        head: multidict.CIMultiDict[str],
    ) -> None:
        """Send the answer's head to the caller."""
        with self._caller():
            await self.talk.start(status, head)

    async def write(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        with self._caller():
            await self.talk.write(chunk)

    async def end(self) -> None:
        """End a whole answer."""
        with self._caller():
            await self.talk.end()

    @contextlib.contextmanager
    def _caller(self) -> typing.Iterator[None]:
        """Let a non-idempotent call outlive its caller."""
        try:
            yield
        except ConnectionError:
            if self.flight.idempotent:
                raise
            self.talk.gone = True

    def count(self, batch: streams.Batch) -> None:
        """Count tokens and report them, at most every 250 ms."""
        self.output_tokens += sum(
            event.kind is sse.Kind.chunk for event in batch
        )
        seconds = self.seconds
        if self.first_token is None and self.output_tokens:
            self.first_token = seconds
            self.host.path.tracer.mark(
                self.talk.request_id,
                traces.Hop.first_token,
                self.grant.server_id,
            )
            since_arrival = self.started - self.talk.arrival + seconds
            self.host.path.meter.first_token(self.admitted.ask, since_arrival)
        elif seconds - self.reported < _REPORT_SECONDS:
            return
        self.reported = seconds
        self.host.scheduler(self.admitted.ask.pool).progress(
            requests.Progress(
                self.talk.request_id,
                self.first_token,
                self.output_tokens,
            ),
        )


async def relay(run: Run) -> None:
    """Send a granted call and carry its answer to the caller.

    :raises backends.errors.AnswerError: when there is no whole answer.
    :raises ConnectionError: when the caller has gone.
    """
    answer = await calls.send(
        run.host.session,
        run.grant.address,
        _outgoing(run),
    )
    async with answer:
        whose = identity.Identity(
            run.talk.request_id,
            run.admitted.ask.pool,
            run.host.path.echoes,
        )
        whose.check_header(answer.headers.get('X-Request-Id'))
        if run.admitted.kind == _ENGINE:
            await _from_engine(run, answer, whose)
        else:
            await _from_service(run, answer)


async def _from_engine(
    run: Run,
    answer: calls.Answer,
    whose: identity.Identity,
) -> None:
    if answer.status >= _FIRST_FAILURE:
        raise errors.ServerFailedError(f'the engine answered {answer.status}')
    if answer.status == _OK and _is_stream(answer):
        await _stream(run, answer, whose)
        return
    body = await bodies.whole(answer)
    if answer.status == _OK:
        bodies.check_completion(body, whose)
    await _give(run, answer.status, headers.from_engine(answer.headers), body)


async def _stream(
    run: Run,
    answer: calls.Answer,
    whose: identity.Identity,
) -> None:
    head = headers.from_engine(answer.headers)
    batches = streams.events(answer, whose, _resume(run))
    async with contextlib.aclosing(batches):
        async for batch in batches:
            run.count(batch)
            if run.talk.resp is None and not run.talk.gone:
                await run.start(_OK, head)
            done = batch[-1].kind is sse.Kind.done
            if done:
                await run.whole()
            await run.write(b''.join(event.raw for event in batch))
            if done:
                # What is left to do concerns the engine's connection only.
                await run.end()


def _resume(run: Run) -> streams.Resume | None:
    server = run.host.server(run.grant.server_id)
    if server is None or not server.can_resume:
        return None
    if server.incarnation != run.grant.incarnation:
        return None

    return functools.partial(
        calls.resume,
        run.host.session,
        run.grant.address,
        run.talk.request_id,
    )


async def _from_service(run: Run, answer: calls.Answer) -> None:
    head = headers.from_service(answer.headers)
    if _is_stream(answer):
        await _pass_on(run, answer, head)
        return
    if answer.length is not None and answer.length > _KEPT_BYTES:
        head['Content-Length'] = str(answer.length)
        await _pass_on(run, answer, head)
        return
    body = await bodies.whole(answer)
    await _give(run, answer.status, head, body)


async def _pass_on(
    run: Run,
    answer: calls.Answer,
    head: multidict.CIMultiDict[str],
) -> None:
    """Give an answer as it comes; its framing shows whether it is whole."""
    if not answer.ends_visibly:
        raise errors.CutShortError("the answer's end could not be told")
    await run.start(answer.status, head)
    async with contextlib.aclosing(answer.chunks()) as chunks:
        async for chunk in chunks:
            await run.write(chunk)
    await run.whole()
    await run.end()


async def _give(
    run: Run,
    status: int,
    head: multidict.CIMultiDict[str],
    body: bytes,
) -> None:
    run.first_token = run.seconds
    await run.whole()
    if body:
        head['Content-Length'] = str(len(body))
    await run.start(status, head)
    await run.write(body)
    await run.end()


def _is_stream(answer: calls.Answer) -> bool:
    kind = answer.headers.get('Content-Type', '')
    return kind.partition(';')[0].strip().lower() == _SSE


def _outgoing(run: Run) -> calls.Call:
    talk = run.talk
    path = talk.req.rel_url.raw_path_qs
    if run.admitted.kind == _ENGINE:
        head = headers.to_engine(
            talk.req.headers,
            talk.request_id,
            talk.traceparent,
        )
    else:
        head = headers.to_service(
            talk.req.headers,
            run.admitted.ask.customer,
            talk.request_id,
            talk.traceparent,
        )
    if path.startswith(admission.SERVICES):
        path = '/{0}'.format(path.split('/', 3)[3])
    return calls.Call(talk.req.method, path, head, talk.body)
