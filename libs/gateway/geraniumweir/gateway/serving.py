"""HTTP server for callers: accepts requests and sends their responses."""

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
    context,
    errors,
    forwarding,
    logevents,
    overload,
    refusals,
    request_bodies,
    request_record,
    response_writer,
)
from geraniumweir.observe import metricnames, metrics
from geraniumweir.routing import tables
from geraniumweir.scheduling import stream_origins

_BAD_REQUEST = 400
_HEADERS_TOO_LARGE = 431
# After a start of all hosts the first document arrives within this time.
_FIRST_DOCUMENT_SECONDS = 1.0
# Interval of the checks for the first document.
_POLL_SECONDS = 0.02
# Limit of the HTTP parser; the limits of a document are checked afterwards.
_DEFAULT_MAX_HEADER_BYTES = 65536
# As many as fit into them.
_MAX_HEADERS = _DEFAULT_MAX_HEADER_BYTES // 4
# Limit of the HTTP library for bodies: 64 MiB.
_DEFAULT_MAX_BODY_BYTES = 67108864

DocumentStateSource = typing.Callable[[], admission.DocumentState]


@dataclasses.dataclass(frozen=True, slots=True)
class HostLocation:
    """This host and its failure domain."""

    host_id: ids.HostId
    failure_domain: ids.FailureDomain


@dataclasses.dataclass(slots=True)
class Traffic:
    """Open requests of this host.

    :ivar open: number of requests without a complete response.
    :ivar closing: whether connections close after their next response.
    """

    open: int = 0
    closing: bool = False


class CallerServer:
    """Server of callers' requests.

    :ivar bodies: of all requests.
    """

    def __init__(
        self,
        location: HostLocation,
        get_document_state: DocumentStateSource,
        shared: context.SharedResources,
        meter: metrics.Metrics,
        memory_bytes: int | None = None,
    ) -> None:
        """Initialize with the source of the document state.

        :param memory_bytes: memory of this host, None if it isn't known.
        """
        self.traffic = Traffic()
        self._location = location
        self._get_document_state = get_document_state
        self._shared = shared
        self._meter = meter
        self.bodies = request_bodies.make_bodies(meter, memory_bytes)
        self._rng = random.Random()
        self._request_numbers = itertools.count(1)
        self._server: overload.CallerSideServer | None = None

    def server(self, protection: overload.Overload | None = None) -> web.Server:
        """Return the HTTP server; one handler serves all requests.

        :param protection: refuses connections while this host is overloaded.
        """
        self._server = make_server(self.handle)
        self._server.overload = protection
        self._server.get_limits = lambda: self._get_document_state().limits
        return self._server

    def close_idle(self) -> None:
        """Close the connections on which no request is open.

        The others close after their current response. The library's method to
        close an idle connection ends the task that reads it but leaves the
        connection open, so that a request on it would never be answered.
        """
        if self._server is None:
            return
        for conn in self._server.connections:
            if not conn.is_busy:
                conn.force_close()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""
        self.traffic.open += 1
        req.protocol.begin_request()
        record = request_record.RequestRecord('', response_writer.now())
        caller_writer = response_writer.ResponseWriter(
            req, self.traffic.closing, self._shared.buffers, record
        )
        status = 0
        try:
            resp = await self._respond(req, caller_writer, record)
            status = resp.status
            return resp
        except (asyncio.CancelledError, ConnectionError):
            record.log(logevents.CALLER_GONE, response_writer.now())
            raise
        finally:
            caller_writer.close()
            self.traffic.open -= 1
            req.protocol.end_request()
            self._count(record, status)

    def _count(self, record: request_record.RequestRecord, status: int) -> None:
        tier = str(record.tier)
        self._meter.count(metricnames.REQUESTS, tier, _result_label(status))
        if record.granted is not None:
            self._meter.observe(
                metricnames.QUEUE_SECONDS,
                record.granted,
                record.pool,
                tier,
            )
        if record.first is not None:
            self._meter.observe(
                metricnames.FIRST_TOKEN_SECONDS,
                record.first,
                record.pool,
                tier,
            )

    async def _respond(
        self,
        req: web.BaseRequest,
        caller_writer: response_writer.ResponseWriter,
        record: request_record.RequestRecord,
    ) -> web.StreamResponse:
        try:
            resp = await self._serve(req, caller_writer, record)
        except common_errors.Refused as exc:
            return self._refuse(caller_writer, record, exc.refusal)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as exc:
            # An internal error: the request may have run, so the caller gets no
            # guarantee. The exception is logged.
            record.log(
                logevents.INTERNAL_ERROR,
                response_writer.now(),
                reason=repr(exc),
            )
            if caller_writer.resp is not None:
                return caller_writer.abort()
            refused = refusals.may_have_run('internal', 'a fault of the host')
            return self._refuse(caller_writer, record, refused.refusal)
        if self.traffic.closing:
            resp.force_close()
        await caller_writer.send(resp)
        if not caller_writer.aborted:
            record.log(
                logevents.ENDED, response_writer.now(), status=resp.status
            )
        return resp

    def _refuse(
        self,
        caller_writer: response_writer.ResponseWriter,
        record: request_record.RequestRecord,
        refusal: common_errors.Refusal,
    ) -> web.Response:
        record.log(
            logevents.REFUSED,
            response_writer.now(),
            status=refusal.status,
            reason=refusal.kind,
            retry_after_ms=refusal.retry_after_ms,
        )
        self._meter.count(
            metricnames.REFUSALS,
            refusal.kind,
            refusal.ran.value,
        )
        resp = self._shared.codec.refusal(record.request, refusal)
        if self.traffic.closing:
            caller_writer.request_close()
        return caller_writer.finish(resp)

    async def _serve(
        self,
        req: web.BaseRequest,
        caller_writer: response_writer.ResponseWriter,
        record: request_record.RequestRecord,
    ) -> web.StreamResponse:
        caller_request = self._read_request(req)
        document_state = await self._wait_for_document()
        record.request = caller_request.request_id
        limits = document_state.limits
        if document_state.index is not None:
            record.version = document_state.index.version
        _check_headers(req, limits)
        with self.bodies.open() as held:
            body = await held.read(req, limits.body_bytes)
            return await self._forward(
                document_state, caller_request, body, caller_writer, record
            )

    async def _forward(
        self,
        document_state: admission.DocumentState,
        caller_request: codec.Request,
        body: bytes,
        caller_writer: response_writer.ResponseWriter,
        record: request_record.RequestRecord,
    ) -> web.StreamResponse:
        number = next(self._request_numbers)
        origin = admission.RequestOrigin(
            self._location.host_id,
            self._location.failure_domain,
            ids.RequestId(f'{caller_request.request_id}.{number}'),
            record.arrived,
        )
        began = await self._find_stream(
            document_state, caller_request, body, record
        )
        admitted = admission.admit(
            document_state, caller_request, body, origin, self._rng, began
        )
        _record_admitted(record, admitted)
        return await forwarding.RequestForwarder(
            self._shared,
            admitted,
            caller_writer,
            record,
        ).serve()

    async def _find_stream(
        self,
        document_state: admission.DocumentState,
        caller_request: codec.Request,
        body: bytes,
        record: request_record.RequestRecord,
    ) -> stream_origins.StreamOrigin | None:
        """Return where the stream began that a request takes up.

        :returns: None if it takes up none.
        :raises geraniumweir.common.errors.Refused: if it isn't known.
        """
        record.resumes = caller_request.resumes
        resumed = admission.resumed_stream(
            document_state, caller_request, body, record.arrived
        )
        if resumed is None:
            return None
        began = await self._shared.streams.find(resumed.key, resumed.claim)
        outcome = 'unknown' if began is None else 'known'
        self._meter.count(metricnames.RESUMED_STREAMS, outcome)
        if began is None:
            raise refusals.stream_unknown()
        record.began = began.version
        return began

    async def _wait_for_document(self) -> admission.DocumentState:
        """Return the document state; after a start, wait for a document.

        Callers retry only once. At a start of all hosts the document arrives
        within a second, and callers that were refused would retry too soon.
        """
        give_up_at = response_writer.now() + _FIRST_DOCUMENT_SECONDS
        document_state = self._get_document_state()
        while (
            document_state.index is None and response_writer.now() < give_up_at
        ):
            await asyncio.sleep(_POLL_SECONDS)
            document_state = self._get_document_state()
        return document_state

    def _read_request(self, req: web.BaseRequest) -> codec.Request:
        try:
            return self._shared.codec.read_request(req)
        except errors.BadRequestError as exc:
            raise refusals.permanent(
                _BAD_REQUEST,
                'bad_request',
                exc.message,
            ) from exc


def make_server(
    handler: typing.Callable[
        [web.BaseRequest], typing.Awaitable[web.StreamResponse]
    ],
) -> overload.CallerSideServer:
    """Return an HTTP server; the handler is cancelled when a caller leaves."""
    return overload.CallerSideServer(
        handler,
        request_factory=_make_request,
        handler_cancellation=True,
        auto_decompress=False,
        max_headers=_MAX_HEADERS,
        max_line_size=_DEFAULT_MAX_HEADER_BYTES,
        max_field_size=_DEFAULT_MAX_HEADER_BYTES,
        access_log=None,
    )


def _result_label(status: int) -> str:
    """Return the metric label for a status, 0 if there was no response."""
    if not status:
        return 'cancelled'
    return 'done' if status < _BAD_REQUEST else 'refused'


def _record_admitted(
    record: request_record.RequestRecord, admitted: context.AdmittedRequest
) -> None:
    slot_request = admitted.slot_request
    record.route = slot_request.rule
    record.pool = slot_request.pool
    record.customer = slot_request.customer
    record.tier = int(slot_request.tier)
    record.cost = slot_request.quota_cost
    record.target = admitted.route.target
    record.gap = admitted.route.gap or None
    record.patience = admitted.caller_request.patience
    record.content = slot_request.fingerprint
    record.parts = slot_request.parts


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
        client_max_size=_DEFAULT_MAX_BODY_BYTES,
    )


def _check_headers(req: web.BaseRequest, limits: tables.Limits) -> None:
    size = sum(len(name) + len(text) for name, text in req.raw_headers)
    if size > limits.header_bytes:
        raise refusals.permanent(
            _HEADERS_TOO_LARGE,
            'headers_too_large',
            f'headers of {size} bytes; at most {limits.header_bytes}',
        )
