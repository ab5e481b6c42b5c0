"""HTTP application for callers: serves each request or refuses it."""

import asyncio
import http
import uuid

from aiohttp import web
from geraniumweir.backends import identity
from geraniumweir.common import errors, ids
from geraniumweir.daemon import (
    admission,
    catalogue,
    dispatching,
    exchange,
    inflight,
    refusals,
)
from geraniumweir.daemon import host as entry_host
from geraniumweir.observe import traces

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 16384
_MAX_BODY_SECONDS = 30.0
_ANY = '*'


def make_app(host: entry_host.EntryHost) -> web.Application:
    """Return the HTTP application for callers.

    :param host: the entry host whose requests it serves.
    """
    handlers = _Handlers(host)
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_post('/v1/chat/completions', handlers.handle_request)
    app.router.add_post('/v1/completions', handlers.handle_request)
    app.router.add_route(
        _ANY, '/services/{pool}/{path:.*}', handlers.handle_request
    )
    app.router.add_get('/healthz', handlers.healthz)
    app.router.add_get('/readyz', handlers.readyz)
    app.router.add_route(_ANY, '/{path:.*}', handlers.no_such_path)
    return app


class _Handlers:
    """HTTP handlers for callers."""

    def __init__(self, host: entry_host.EntryHost) -> None:
        self._host = host

    async def healthz(self, _req: web.Request) -> web.Response:
        return web.json_response({'alive': True})

    async def readyz(self, _req: web.Request) -> web.Response:
        ready = not self._host.draining
        status = http.HTTPStatus.OK
        if not ready:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        detail = {
            'ready': ready,
            'draining': self._host.draining,
            'version': self._host.in_force.version,
            # A host that started without a majority serves by the version it
            # stored last.
            'unsure': not self._host.sure,
        }
        return web.json_response(detail, status=status)

    async def no_such_path(self, req: web.Request) -> web.StreamResponse:
        refused = refusals.refuse(
            catalogue.NO_SUCH_PATH,
            f'{req.method} {req.path} is not served here',
        )
        return await _new_exchange(req).refuse(refused.refusal)

    async def handle_request(self, req: web.Request) -> web.StreamResponse:
        http_exchange = _new_exchange(req)
        path = self._host.path
        if self._host.draining:
            resp = await self._refuse(
                http_exchange, refusals.draining().refusal
            )
            resp.force_close()
            return resp
        with path.in_flight.track(
            http_exchange.request_id
        ) as in_flight_request:
            http_exchange.traceparent = (
                path.tracer.begin(
                    http_exchange.request_id,
                    http_exchange.traceparent,
                )
                or http_exchange.traceparent
            )
            with path.tracer.span(http_exchange.request_id, traces.Hop.caller):
                return await self._answer(http_exchange, in_flight_request)

    async def _answer(
        self,
        http_exchange: exchange.Exchange,
        in_flight_request: inflight.InFlightRequest,
    ) -> web.StreamResponse:
        try:
            await self._serve(http_exchange, in_flight_request)
        except errors.Refused as exc:
            return await self._refuse(http_exchange, exc.refusal)
        except ConnectionError:
            self._host.path.meter.record_disconnect(
                http_exchange.head.get('X-Tier', '')
            )
            return _abort_connection(http_exchange)
        except Exception as exc:
            return await self._refuse(
                http_exchange, _internal(exc, in_flight_request)
            )
        return http_exchange.resp or _abort_connection(http_exchange)

    async def _refuse(
        self,
        http_exchange: exchange.Exchange,
        refusal: errors.Refusal,
    ) -> web.StreamResponse:
        tier = http_exchange.head.get('X-Tier', '')
        self._host.path.meter.record_refusal(refusal, tier)
        return await http_exchange.refuse(refusal)

    async def _serve(
        self,
        http_exchange: exchange.Exchange,
        in_flight_request: inflight.InFlightRequest,
    ) -> None:
        host = self._host
        in_force = host.in_force
        http_exchange.head['X-Config-Version'] = str(in_force.version)
        _check_headers(http_exchange.req)
        customer = admission.find_customer(host, http_exchange.req)
        http_exchange.body = await _read_body(http_exchange)
        with host.path.tracer.span(http_exchange.request_id, traces.Hop.rule):
            admitted = admission.admit(host, http_exchange, customer)
        in_flight_request.idempotent = admitted.slot_request.idempotent
        await dispatching.serve(
            dispatching.Job(host, http_exchange, admitted, in_flight_request),
        )


def _new_exchange(req: web.Request) -> exchange.Exchange:
    request_id = ids.RequestId(identity.REQUEST_PREFIX + uuid.uuid4().hex)
    return exchange.Exchange(
        req=req,
        request_id=request_id,
        arrival=asyncio.get_running_loop().time(),
        traceparent=req.headers.get('traceparent'),
        head=exchange.initial_headers(request_id),
    )


def _check_headers(req: web.Request) -> None:
    size = sum(len(name) + len(text) for name, text in req.raw_headers)
    if size > MAX_HEADER_BYTES:
        raise refusals.refuse(
            catalogue.HEADERS_TOO_LARGE,
            f'headers of {size} bytes; at most {MAX_HEADER_BYTES} are taken',
        )


async def _read_body(http_exchange: exchange.Exchange) -> bytes:
    deadline_seconds = (
        admission.read_deadline_seconds(http_exchange.req) or _MAX_BODY_SECONDS
    )
    due_at = http_exchange.arrival + min(deadline_seconds, _MAX_BODY_SECONDS)
    if (http_exchange.req.content_length or 0) > MAX_BODY_BYTES:
        raise _too_large()
    try:
        async with asyncio.timeout_at(due_at):
            return await http_exchange.req.read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise _too_large() from exc
    except TimeoutError as exc:
        message = 'the body did not come in time'
        raise refusals.refuse(catalogue.BODY_LATE, message) from exc


def _too_large() -> errors.Refused:
    return refusals.refuse(
        catalogue.BODY_TOO_LARGE,
        f'a body may have at most {MAX_BODY_BYTES} bytes',
    )


def _internal(
    exc: Exception, in_flight_request: inflight.InFlightRequest
) -> errors.Refusal:
    """Log an internal error by the loop's handler; return its refusal."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'a call met a fault of the program', 'exception': exc},
    )
    ran = ids.Ran.unknown if in_flight_request.sent else ids.Ran.no
    message = 'a fault of the entry host; its log says more'
    return refusals.refuse(catalogue.INTERNAL, message, ran).refusal


def _abort_connection(http_exchange: exchange.Exchange) -> web.StreamResponse:
    """Abort the connection of a caller that has disconnected."""
    transport = http_exchange.req.transport
    if transport is not None:
        transport.abort()
    return http_exchange.resp or web.Response(
        status=http.HTTPStatus.BAD_GATEWAY
    )
