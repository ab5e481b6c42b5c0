"""The callers' HTTP face: takes requests and gives each one answer."""

import asyncio
import dataclasses
import itertools
import random
import typing

from aiohttp import web
from geraniumweir.common import errors as common_errors
from geraniumweir.common import ids
from geraniumweir.gateway import (
    admission,
    codec,
    errors,
    forwarding,
    logevents,
    refusals,
    story,
    talk,
)
from geraniumweir.observe import metricnames, metrics
from geraniumweir.routing import tables

_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_BODY_LATE = 408
# A body of the usual size is there in milliseconds; a caller on a slow line
# gets so many seconds for it.
_LONGEST_BODY_SECONDS = 30.0
# After a start the first document comes within this, in seconds.
_FIRST_DOCUMENT_SECONDS = 1.0
# Until then it is looked for this often, in seconds.
_LOOK_SECONDS = 0.02
# Callers may send this many header bytes before a document says otherwise.
_HEADER_BYTES = 65536
# The same of the body: 64 MiB.
_BODY_BYTES = 67108864

Know = typing.Callable[[], admission.Knowledge]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where requests are taken: this host and its failure domain."""

    host_id: ids.HostId
    failure_domain: ids.FailureDomain


@dataclasses.dataclass(slots=True)
class Traffic:
    """What is open at this host.

    :ivar open: requests that have no whole answer yet.
    :ivar closing: connections end with their next answer.
    """

    open: int = 0
    closing: bool = False


class Front:
    """Takes callers' requests."""

    def __init__(
        self,
        place: Place,
        know: Know,
        means: forwarding.Means,
        meter: metrics.Metrics,
    ) -> None:
        """Serve by what is known at the time of each request."""
        self.traffic = Traffic()
        self._place = place
        self._know = know
        self._means = means
        self._meter = meter
        self._chance = random.Random()
        self._numbers = itertools.count(1)
        self._server: web.Server | None = None
        self._busy: set[typing.Any] = set()

    def server(self) -> web.Server:
        """Make the HTTP server; one handler for all requests."""
        self._server = web.Server(
            self.handle,
            request_factory=_make_request,
            handler_cancellation=True,
            max_line_size=_HEADER_BYTES,
            max_field_size=_HEADER_BYTES,
            access_log=None,
        )
        return self._server

    def close_idle(self) -> None:
        """End the connections on which no request is open.

        The others end with the answer under way. The library's own way to
        close an idle connection ends the task that reads it and leaves the
        connection open, so that a request on it would never be answered.
        """
        if self._server is None:
            return
        for conn in self._server.connections:
            if conn not in self._busy:
                conn.force_close()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.traffic.open += 1
        self._busy.add(req.protocol)
        caller = talk.Talk(req, self.traffic.closing)
        told = story.Story('', talk.now())
        status = 0
        try:
            resp = await self._answer(req, caller, told)
            status = resp.status
            return resp
        except (asyncio.CancelledError, ConnectionError):
            told.tell(logevents.CALLER_GONE, talk.now())
            raise
        finally:
            self.traffic.open -= 1
            self._busy.discard(req.protocol)
            self._count(told, status)

    def _count(self, told: story.Story, status: int) -> None:
        tier = str(told.tier)
        self._meter.count(metricnames.REQUESTS, tier, _named(status))
        if told.granted is not None:
            self._meter.observe(
                metricnames.QUEUE_SECONDS,
                told.granted,
                told.pool,
                tier,
            )
        if told.first is not None:
            self._meter.observe(
                metricnames.FIRST_TOKEN_SECONDS,
                told.first,
                told.pool,
                tier,
            )

    async def _answer(
        self,
        req: web.BaseRequest,
        caller: talk.Talk,
        told: story.Story,
    ) -> web.StreamResponse:
        try:
            resp = await self._serve(req, caller, told)
        except common_errors.Refused as exc:
            return self._refuse(caller, told, exc.refusal)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as exc:
            # A fault of the program: the caller is told nothing that it may
            # rely on, the log says where it was.
            told.tell(logevents.FAULT, talk.now(), reason=repr(exc))
            if caller.resp is not None:
                return caller.break_off()
            refused = refusals.may_have_run('internal', 'a fault of the host')
            return self._refuse(caller, told, refused.refusal)
        if self.traffic.closing:
            resp.force_close()
        if not caller.broken:
            told.tell(logevents.ENDED, talk.now(), status=resp.status)
        return resp

    def _refuse(
        self,
        caller: talk.Talk,
        told: story.Story,
        refusal: common_errors.Refusal,
    ) -> web.Response:
        told.tell(
            logevents.REFUSED,
            talk.now(),
            status=refusal.status,
            reason=refusal.kind,
            retry_after_ms=refusal.retry_after_ms,
        )
        self._meter.count(
            metricnames.REFUSALS,
            refusal.kind,
            refusal.ran.value,
        )
        resp = self._means.codec.refusal(told.request, refusal)
        if self.traffic.closing:
            caller.close_after()
        return caller.finish(resp)

    async def _serve(
        self,
        req: web.BaseRequest,
        caller: talk.Talk,
        told: story.Story,
    ) -> web.StreamResponse:
        call = self._read_call(req)
        known = await self._known()
        told.request = call.request_id
        limits = tables.Limits()
        if known.index is not None:
            limits = known.index.document.limits
            told.version = known.index.version
        _check_headers(req, limits)
        body = await _read_body(req, limits)
        number = next(self._numbers)
        asker = admission.Asker(
            self._place.host_id,
            self._place.failure_domain,
            ids.RequestId(f'{call.request_id}.{number}'),
            told.arrived,
        )
        admitted = admission.admit(known, call, body, asker, self._chance)
        _tell_admitted(told, admitted)
        return await forwarding.Forwarding(
            self._means,
            admitted,
            caller,
            told,
        ).serve()

    async def _known(self) -> admission.Knowledge:
        """Give what is known, waiting for the first document after a start.

        Callers come back once only; at a start of all hosts the document is
        there within a second, and a refusal would bring them back too soon.
        """
        until = talk.now() + _FIRST_DOCUMENT_SECONDS
        known = self._know()
        while known.index is None and talk.now() < until:
            await asyncio.sleep(_LOOK_SECONDS)
            known = self._know()
        return known

    def _read_call(self, req: web.BaseRequest) -> codec.Request:
        try:
            return self._means.codec.read_request(req)
        except errors.BadRequestError as exc:
            raise refusals.never(
                _BAD_REQUEST,
                'bad_request',
                exc.message,
            ) from exc


def _named(status: int) -> str:
    """Give the word for how a request ended."""
    if not status:
        return 'cancelled'
    return 'done' if status < _BAD_REQUEST else 'refused'


def _tell_admitted(told: story.Story, admitted: forwarding.Admitted) -> None:
    ask = admitted.ask
    told.route = ask.rule
    told.pool = ask.pool
    told.customer = ask.customer
    told.tier = int(ask.tier)
    told.cost = ask.quota_cost
    told.target = admitted.route.target
    told.gap = admitted.route.gap or None
    told.patience = admitted.call.patience
    told.content = ask.fingerprint


def _make_request(
    message: typing.Any,
    payload: typing.Any,
    protocol: typing.Any,
    writer: typing.Any,
    task: typing.Any,
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=_BODY_BYTES,
    )


def _check_headers(req: web.BaseRequest, limits: tables.Limits) -> None:
    size = sum(len(name) + len(text) for name, text in req.raw_headers)
    if size > limits.header_bytes:
        raise refusals.never(
            _HEADERS_TOO_LARGE,
            'headers_too_large',
            f'headers of {size} bytes; at most {limits.header_bytes}',
        )


async def _read_body(req: web.BaseRequest, limits: tables.Limits) -> bytes:
    if not req.can_read_body:
        return b''
    if (req.content_length or 0) > limits.body_bytes:
        raise _too_large(limits)
    try:
        async with asyncio.timeout(_LONGEST_BODY_SECONDS):
            body = await req.read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise _too_large(limits) from exc
    except TimeoutError as exc:
        raise refusals.never(
            _BODY_LATE,
            'body_late',
            'the body did not come in time',
        ) from exc
    if len(body) > limits.body_bytes:
        raise _too_large(limits)
    return body


def _too_large(limits: tables.Limits) -> common_errors.Refused:
    return refusals.never(
        _BODY_TOO_LARGE,
        'body_too_large',
        f'a body may have at most {limits.body_bytes} bytes',
    )
