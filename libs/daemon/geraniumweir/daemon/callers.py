"""The callers' HTTP face: takes calls and gives each one answer."""

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

MAX_BODY = 4 * 1024 * 1024
MAX_HEADERS = 16384
_LONGEST_BODY_SECONDS = 30.0
_ANY = '*'


def make_app(host: entry_host.EntryHost) -> web.Application:
    """Build the callers' application.

    :param host: the entry host it serves.
    """
    front = _Front(host)
    app = web.Application(client_max_size=MAX_BODY)
    app.router.add_post('/v1/chat/completions', front.call)
    app.router.add_post('/v1/completions', front.call)
    app.router.add_route(_ANY, '/services/{pool}/{path:.*}', front.call)
    app.router.add_get('/healthz', front.healthz)
    app.router.add_get('/readyz', front.readyz)
    app.router.add_route(_ANY, '/{path:.*}', front.no_such_path)
    return app


class _Front:
    """Handlers of one entry host."""

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
            # A host that started cut off serves by what it found last.
            'unsure': not self._host.sure,
        }
        return web.json_response(detail, status=status)

    async def no_such_path(self, req: web.Request) -> web.StreamResponse:
        refused = refusals.refuse(
            catalogue.NO_SUCH_PATH,
            f'{req.method} {req.path} is not served here',
        )
        return await _new_exchange(req).refuse(refused.refusal)

    async def call(self, req: web.Request) -> web.StreamResponse:
        talk = _new_exchange(req)
        path = self._host.path
        if self._host.draining:
            resp = await self._refuse(talk, refusals.draining().refusal)
            resp.force_close()
            return resp
        with path.in_flight.flight(talk.request_id) as flight:
            talk.traceparent = (
                path.tracer.begin(
                    talk.request_id,
                    talk.traceparent,
                )
                or talk.traceparent
            )
            with path.tracer.span(talk.request_id, traces.Hop.caller):
                return await self._answer(talk, flight)

    async def _answer(
        self,
        talk: exchange.Exchange,
        flight: inflight.Flight,
    ) -> web.StreamResponse:
        try:
            await self._serve(talk, flight)
        except errors.Refused as exc:
            return await self._refuse(talk, exc.refusal)
        except ConnectionError:
            self._host.path.meter.gone(talk.head.get('X-Tier', ''))
            return _gone(talk)
        except Exception as exc:
            return await self._refuse(talk, _internal(exc, flight))
        return talk.resp or _gone(talk)

    async def _refuse(
        self,
        talk: exchange.Exchange,
        refusal: errors.Refusal,
    ) -> web.StreamResponse:
        tier = talk.head.get('X-Tier', '')
        self._host.path.meter.refused(refusal, tier)
        return await talk.refuse(refusal)

    async def _serve(
        self,
        talk: exchange.Exchange,
        flight: inflight.Flight,
    ) -> None:
        host = self._host
        in_force = host.in_force
        talk.head['X-Config-Version'] = str(in_force.version)
        _check_headers(talk.req)
        customer = admission.find_customer(host, talk.req)
        talk.body = await _read_body(talk)
        with host.path.tracer.span(talk.request_id, traces.Hop.rule):
            admitted = admission.admit(host, talk, customer)
        flight.idempotent = admitted.ask.idempotent
        await dispatching.serve(
            dispatching.Job(host, talk, admitted, flight),
        )


def _new_exchange(req: web.Request) -> exchange.Exchange:
    request_id = ids.RequestId(identity.REQUEST_PREFIX + uuid.uuid4().hex)
    return exchange.Exchange(
        req=req,
        request_id=request_id,
        arrival=asyncio.get_running_loop().time(),
        traceparent=req.headers.get('traceparent'),
        head=exchange.new_head(request_id),
    )


def _check_headers(req: web.Request) -> None:
    size = sum(len(name) + len(text) for name, text in req.raw_headers)
    if size > MAX_HEADERS:
        raise refusals.refuse(
            catalogue.HEADERS_TOO_LARGE,
            f'headers of {size} bytes; at most {MAX_HEADERS} are taken',
        )


async def _read_body(talk: exchange.Exchange) -> bytes:
    wait = admission.read_wait(talk.req) or _LONGEST_BODY_SECONDS
    due = talk.arrival + min(wait, _LONGEST_BODY_SECONDS)
    if (talk.req.content_length or 0) > MAX_BODY:
        raise _too_large()
    try:
        async with asyncio.timeout_at(due):
            return await talk.req.read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise _too_large() from exc
    except TimeoutError as exc:
        message = 'the body did not come in time'
        raise refusals.refuse(catalogue.BODY_LATE, message) from exc


def _too_large() -> errors.Refused:
    return refusals.refuse(
        catalogue.BODY_TOO_LARGE,
        f'a body may have at most {MAX_BODY} bytes',
    )


def _internal(exc: Exception, flight: inflight.Flight) -> errors.Refusal:
    """Own a fault of this program; the loop's handler logs it."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'a call met a fault of the program', 'exception': exc},
    )
    ran = ids.Ran.unknown if flight.sent else ids.Ran.no
    message = 'a fault of the entry host; its log says more'
    return refusals.refuse(catalogue.INTERNAL, message, ran).refusal


def _gone(talk: exchange.Exchange) -> web.StreamResponse:
    """End the exchange with a caller that isn't there."""
    transport = talk.req.transport
    if transport is not None:
        transport.abort()
    return talk.resp or web.Response(status=http.HTTPStatus.BAD_GATEWAY)
