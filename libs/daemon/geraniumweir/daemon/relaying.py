"""Relays a response from a backend server to the caller.

A response of bounded size is buffered and checked before its first byte is
sent. An event stream is forwarded event by event and is complete only with
its last event. A slow caller slows down reading from the server, so a stream
uses bounded memory.
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
_REPORT_INTERVAL_SECONDS = 0.25
_MAX_BUFFERED_BYTES = 1024 * 1024
_OK = 200
_MIN_FAILURE_STATUS = 500

CompletionCallback = typing.Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class RelayedRequest:
    """A granted request while its response is relayed.

    :ivar on_complete: awaited once the response is known to be complete,
        before its last bytes go to the caller.
    :ivar started_at: time of dispatch on the loop's clock, in seconds.
    :ivar first_token_seconds: seconds from dispatch to the first token, or
        None before it.
    :ivar output_tokens: tokens received so far.
    :ivar reported_after_seconds: time of the last progress report, in seconds
        since dispatch.
    """

    host: entry_host.EntryHost
    http_exchange: exchange.Exchange
    admitted: admission.AdmittedRequest
    grant: requests.Grant
    in_flight_request: inflight.InFlightRequest
    on_complete: CompletionCallback
    started_at: float
    first_token_seconds: float | None = None
    output_tokens: int = 0
    reported_after_seconds: float = 0

    @property
    def elapsed_seconds(self) -> float:
        """Time since dispatch, in seconds."""
        return asyncio.get_running_loop().time() - self.started_at

    async def start(
        self,
        status: int,
        head: multidict.CIMultiDict[str],
    ) -> None:
        """Send status and headers to the caller."""
        with self._tolerate_disconnect():
            await self.http_exchange.start(status, head)

    async def write(self, chunk: bytes) -> None:
        """Send bytes to the caller."""
        with self._tolerate_disconnect():
            await self.http_exchange.write(chunk)

    async def end(self) -> None:
        """End a complete response."""
        with self._tolerate_disconnect():
            await self.http_exchange.end()

    @contextlib.contextmanager
    def _tolerate_disconnect(self) -> typing.Iterator[None]:
        """Let a non-idempotent request go on when its caller disconnects."""
        try:
            yield
        except ConnectionError:
            if self.in_flight_request.idempotent:
                raise
            self.http_exchange.caller_gone = True

    def count(self, batch: streams.Batch) -> None:
        """Count tokens and report progress to the pool leader.

        The first token is reported at once, later ones at most every 250 ms.
        """
        self.output_tokens += sum(
            event.kind is sse.Kind.chunk for event in batch
        )
        seconds = self.elapsed_seconds
        if self.first_token_seconds is None and self.output_tokens:
            self.first_token_seconds = seconds
            self.host.path.tracer.mark(
                self.http_exchange.request_id,
                traces.Hop.first_token,
                self.grant.server_id,
            )
            seconds_since_arrival = (
                self.started_at - self.http_exchange.arrival + seconds
            )
            self.host.path.meter.record_first_token(
                self.admitted.slot_request, seconds_since_arrival
            )
        elif seconds - self.reported_after_seconds < _REPORT_INTERVAL_SECONDS:
            return
        self.reported_after_seconds = seconds
        self.host.scheduler(self.admitted.slot_request.pool).progress(
            requests.Progress(
                self.http_exchange.request_id,
                self.first_token_seconds,
                self.output_tokens,
            ),
        )


async def relay(relayed: RelayedRequest) -> None:
    """Send a granted request and relay its response to the caller.

    :raises backends.errors.AnswerError: when there is no complete response.
    :raises ConnectionError: when the caller has disconnected.
    """
    answer = await calls.send(
        relayed.host.session,
        relayed.grant.address,
        _backend_request(relayed),
    )
    async with answer:
        expected_identity = identity.Identity(
            relayed.http_exchange.request_id,
            relayed.admitted.slot_request.pool,
            relayed.host.path.echoes,
        )
        expected_identity.check_header(answer.headers.get('X-Request-Id'))
        if relayed.admitted.kind == _ENGINE:
            await _from_engine(relayed, answer, expected_identity)
        else:
            await _from_service(relayed, answer)


async def _from_engine(
    relayed: RelayedRequest,
    answer: calls.Answer,
    expected_identity: identity.Identity,
) -> None:
    if answer.status >= _MIN_FAILURE_STATUS:
        raise errors.ServerFailedError(f'the engine answered {answer.status}')
    if answer.status == _OK and _is_stream(answer):
        await _stream(relayed, answer, expected_identity)
        return
    body = await bodies.whole(answer)
    if answer.status == _OK:
        bodies.check_completion(body, expected_identity)
    await _send_body(
        relayed, answer.status, headers.from_engine(answer.headers), body
    )


async def _stream(
    relayed: RelayedRequest,
    answer: calls.Answer,
    expected_identity: identity.Identity,
) -> None:
    head = headers.from_engine(answer.headers)
    batches = streams.events(answer, expected_identity, _resume(relayed))
    async with contextlib.aclosing(batches):
        async for batch in batches:
            relayed.count(batch)
            if (
                relayed.http_exchange.resp is None
                and not relayed.http_exchange.caller_gone
            ):
                await relayed.start(_OK, head)
            done = batch[-1].kind is sse.Kind.done
            if done:
                await relayed.on_complete()
            await relayed.write(b''.join(event.raw for event in batch))
            if done:
                # What is left concerns only the engine's connection.
                await relayed.end()


def _resume(relayed: RelayedRequest) -> streams.Resume | None:
    server = relayed.host.server(relayed.grant.server_id)
    if server is None or not server.can_resume:
        return None
    if server.incarnation != relayed.grant.incarnation:
        return None

    return functools.partial(
        calls.resume,
        relayed.host.session,
        relayed.grant.address,
        relayed.http_exchange.request_id,
    )


async def _from_service(relayed: RelayedRequest, answer: calls.Answer) -> None:
    head = headers.from_service(answer.headers)
    if _is_stream(answer):
        await _forward_chunks(relayed, answer, head)
        return
    if answer.length is not None and answer.length > _MAX_BUFFERED_BYTES:
        head['Content-Length'] = str(answer.length)
        await _forward_chunks(relayed, answer, head)
        return
    body = await bodies.whole(answer)
    await _send_body(relayed, answer.status, head, body)


async def _forward_chunks(
    relayed: RelayedRequest,
    answer: calls.Answer,
    head: multidict.CIMultiDict[str],
) -> None:
    """Forward a response chunk by chunk.

    Only its framing shows whether it is complete.
    """
    if not answer.ends_visibly:
        raise errors.CutShortError("the answer's end could not be told")
    await relayed.start(answer.status, head)
    async with contextlib.aclosing(answer.chunks()) as chunks:
        async for chunk in chunks:
            await relayed.write(chunk)
    await relayed.on_complete()
    await relayed.end()


async def _send_body(
    relayed: RelayedRequest,
    status: int,
    head: multidict.CIMultiDict[str],
    body: bytes,
) -> None:
    relayed.first_token_seconds = relayed.elapsed_seconds
    await relayed.on_complete()
    if body:
        head['Content-Length'] = str(len(body))
    await relayed.start(status, head)
    await relayed.write(body)
    await relayed.end()


def _is_stream(answer: calls.Answer) -> bool:
    kind = answer.headers.get('Content-Type', '')
    return kind.partition(';')[0].strip().lower() == _SSE


def _backend_request(relayed: RelayedRequest) -> calls.Call:
    http_exchange = relayed.http_exchange
    path = http_exchange.req.rel_url.raw_path_qs
    if relayed.admitted.kind == _ENGINE:
        head = headers.to_engine(
            http_exchange.req.headers,
            http_exchange.request_id,
            http_exchange.traceparent,
        )
    else:
        head = headers.to_service(
            http_exchange.req.headers,
            relayed.admitted.slot_request.customer,
            http_exchange.request_id,
            http_exchange.traceparent,
        )
    if path.startswith(admission.SERVICES):
        path = '/{0}'.format(path.split('/', 3)[3])
    return calls.Call(http_exchange.req.method, path, head, http_exchange.body)
