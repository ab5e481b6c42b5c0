"""The callers' HTTP face: admits, asks for a grant, dispatches, relays."""

import http

import multidict
from aiohttp import web
from geraniumweir.backends import calls
from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import errors, ids
from geraniumweir.daemon import admission, refusals
from geraniumweir.daemon import host as entry_host
from geraniumweir.scheduling import requests

_MAX_BODY = 4 * 1024 * 1024
_PASSED_ON = ('Content-Type', 'traceparent', 'Accept')


def make_app(host: entry_host.EntryHost) -> web.Application:
    """Build the callers' application.

    :param host: the entry host it serves.
    """
    front = _Front(host)
    app = web.Application(client_max_size=_MAX_BODY)
    app.router.add_post('/v1/chat/completions', front.call)
    app.router.add_post('/v1/completions', front.call)
    app.router.add_route('*', '/services/{pool}/{path:.*}', front.call)
    app.router.add_get('/healthz', front.healthz)
    app.router.add_get('/readyz', front.readyz)
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
        return web.json_response({'ready': ready}, status=status)

    async def call(self, req: web.Request) -> web.StreamResponse:
        try:
            return await self._serve(req)
        except errors.Refused as exc:
            return _answer_refusal(exc.refusal)

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        if self._host.draining:
            raise refusals.draining()
        body = await req.read()
        admitted = admission.admit(self._host, req, body)
        pool_leader = self._host.leader_of(admitted.ask.pool)
        grant = await pool_leader.ask(admitted.ask)
        match grant:
            case requests.Denial():
                raise refusals.denied(grant)
            case requests.Grant():
                return await self._dispatch(req, body, admitted, grant)

    async def _dispatch(
        self,
        req: web.Request,
        body: bytes,
        admitted: admission.Admitted,
        grant: requests.Grant,
    ) -> web.StreamResponse:
        outcome = requests.Outcome.failed
        call = _outgoing(req, body, grant.request_id)
        try:
            async with calls.send(
                self._host.session, grant.address, call
            ) as answer:
                resp = await _relay(req, admitted, answer)
            outcome = requests.Outcome.done
        except backend_errors.NotSentError as exc:
            outcome = requests.Outcome.not_sent
            raise refusals.broken(ids.Ran.no, exc.message) from exc
        except backend_errors.BrokenError as exc:
            raise refusals.broken(ids.Ran.unknown, exc.message) from exc
        finally:
            release = requests.Release(grant.request_id, outcome)
            self._host.leader_of(admitted.ask.pool).release(release)
        return resp


async def _relay(
    req: web.Request,
    admitted: admission.Admitted,
    answer: calls.Answer,
) -> web.StreamResponse:
    resp = web.StreamResponse(status=answer.status)
    resp.headers['X-Request-Id'] = admitted.ask.request_id
    resp.headers['X-Ran'] = ids.Ran.yes.value
    resp.headers['X-Pool'] = admitted.ask.pool
    resp.headers['X-Tier'] = str(int(admitted.ask.tier))
    resp.headers['X-Config-Version'] = str(admitted.version)
    content_type = answer.headers.get('Content-Type')
    if content_type is not None:
        resp.headers['Content-Type'] = content_type
    await resp.prepare(req)
    async for chunk in answer.chunks:
        await resp.write(chunk)
    await resp.write_eof()
    return resp


def _outgoing(
    req: web.Request,
    body: bytes,
    request_id: ids.RequestId,
) -> calls.Call:
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name in _PASSED_ON:
        text = req.headers.get(name)
        if text is not None:
            headers[name] = text
    headers['X-Request-Id'] = request_id
    path = req.raw_path
    if path.startswith('/services/'):
        path = '/{0}'.format(path.split('/', 3)[3])
    return calls.Call(req.method, path, headers, body)


def _answer_refusal(refusal: errors.Refusal) -> web.Response:
    resp = web.json_response(refusal.as_json(), status=refusal.status)
    resp.headers['X-Ran'] = refusal.ran.value
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        resp.headers['Retry-After'] = str(seconds)
    return resp
