"""HTTP application for operators, over :class:`operations.Operations`.

Every response but that of ``/metrics`` is JSON. An error is ``{"error":
{"code", "message", "ran"}}``; a conflict adds ``version``, the one in force,
and an invalid document adds ``faults``, each with its position.
"""

import dataclasses
import difflib
import http
import typing
import uuid

from aiohttp import web
from geraniumweir.common import errors, ids
from geraniumweir.configuration import errors as config_errors
from geraniumweir.configuration import explain
from geraniumweir.daemon import (
    logevents,
    operations,
    operatorjson,
    overrides,
)
from geraniumweir.observe import logs, metrics

_MAX_BODY_BYTES = 16777216  # 16 MiB

_STATUSES: typing.Final = {
    operations.MalformedError: http.HTTPStatus.BAD_REQUEST,
    operations.TooLargeError: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    operations.UnknownError: http.HTTPStatus.NOT_FOUND,
    operations.NotNowError: http.HTTPStatus.CONFLICT,
    operations.UnavailableError: http.HTTPStatus.SERVICE_UNAVAILABLE,
    operations.NoMajorityError: http.HTTPStatus.SERVICE_UNAVAILABLE,
    config_errors.RequestError: http.HTTPStatus.BAD_REQUEST,
    config_errors.ConflictError: http.HTTPStatus.CONFLICT,
    config_errors.DocumentError: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}


def make_app(ops: operations.Operations) -> web.Application:
    """Return the HTTP application for operators.

    :param ops: the operations of the host.
    """
    app = web.Application(
        client_max_size=_MAX_BODY_BYTES,
        middlewares=[_ErrorMiddleware(ops).answer_errors],
    )
    config = _ConfigHandlers(ops)
    app.add_routes(
        (
            web.get('/v1/config', config.show),
            web.put('/v1/config', config.change),
            web.get('/v1/history', config.history),
            web.get('/v1/diff', config.diff),
            web.post('/v1/explain', config.explain),
            web.post('/v1/servers/{server}/drain', config.drain),
        ),
    )
    system = _SystemHandlers(ops)
    app.add_routes(
        (
            web.get('/v1/hosts', system.hosts),
            web.get('/v1/servers', system.servers),
            web.get('/v1/pools', system.pools),
            web.get('/v1/status', system.status),
            web.get('/v1/trace/{wanted}', system.trace),
            web.post('/v1/orders', system.order),
            web.get('/v1/recorders', system.recorders),
            web.post('/v1/recorders', system.add_recorder),
            web.delete('/v1/recorders/{host}', system.remove_recorder),
            web.post('/v1/snapshot', system.snapshot),
            web.get('/metrics', system.metrics),
        ),
    )
    return app


class _ConfigHandlers:
    """HTTP handlers for the configuration."""

    def __init__(self, ops: operations.Operations) -> None:
        self._ops = ops

    async def show(self, req: web.Request) -> web.Response:
        in_force = await self._ops.config(_version(req, 'version'))
        return web.json_response(
            {'version': in_force.version, 'document': in_force.text}
        )

    async def change(self, req: web.Request) -> web.Response:
        change = operatorjson.change(await req.read())
        return await self._accept(change)

    async def history(self, _req: web.Request) -> web.Response:
        return _rows('history', await self._ops.history())

    async def diff(self, req: web.Request) -> web.Response:
        older = await self._ops.config(_wanted_version(req, 'from'))
        newer = await self._ops.config(_wanted_version(req, 'to'))
        lines = difflib.unified_diff(
            older.text.splitlines(),
            newer.text.splitlines(),
            f'version {older.version}',
            f'version {newer.version}',
            lineterm='',
        )
        return web.json_response(
            {'from': older.version, 'to': newer.version, 'lines': list(lines)}
        )

    async def explain(self, req: web.Request) -> web.Response:
        status = await self._ops.status()
        request = operatorjson.read_json(await req.read())
        facts = explain.facts_from_json(request, status.failure_domain)
        in_force = await self._ops.config(_version(req, 'version'))
        explained = explain.explain(in_force, facts)
        return web.json_response(operatorjson.plain(explained.as_json()))

    async def drain(self, req: web.Request) -> web.Response:
        drain = operatorjson.drain(await req.read())
        in_force = await self._ops.config(None)
        server_id = ids.ServerId(req.match_info['server'])
        text = overrides.with_drain(in_force.text, server_id, drain)
        if text == in_force.text:
            accepted = operations.Accepted(in_force.version, repeated=True)
            return web.json_response(operatorjson.plain(accepted))
        change_id = ids.ChangeId(f'drain-{uuid.uuid4().hex}')
        change = operations.Change(in_force.version, change_id, text)
        known = {row.server_id for row in await self._ops.servers()}
        if not drain or server_id in known:
            return await self._accept(change)
        return await self._accept(
            change,
            f'no backend server {server_id!r} announces itself in the '
            'failure domain of this host; if one does, it gets no work',
        )

    async def _accept(
        self,
        change: operations.Change,
        *warnings: str,
    ) -> web.Response:
        accepted = await self._ops.change(change)
        accepted = dataclasses.replace(
            accepted,
            warnings=(*accepted.warnings, *warnings),
        )
        logs.log(
            logevents.OPERATOR_CHANGE,
            version=accepted.version,
            change_id=change.change_id,
        )
        return web.json_response(operatorjson.plain(accepted))


class _SystemHandlers:
    """HTTP handlers for hosts, backend servers, pools and recorders."""

    def __init__(self, ops: operations.Operations) -> None:
        self._ops = ops

    async def hosts(self, _req: web.Request) -> web.Response:
        return _rows('hosts', await self._ops.hosts())

    async def servers(self, _req: web.Request) -> web.Response:
        return _rows('servers', await self._ops.servers())

    async def pools(self, _req: web.Request) -> web.Response:
        return _rows('pools', await self._ops.pools())

    async def status(self, _req: web.Request) -> web.Response:
        return web.json_response(operatorjson.plain(await self._ops.status()))

    async def trace(self, req: web.Request) -> web.Response:
        wanted = req.match_info['wanted']
        spans = await self._ops.trace(wanted)
        if not spans:
            raise operations.UnknownError(f'no span of {wanted!r} on this host')
        return _rows('spans', spans)

    async def order(self, req: web.Request) -> web.Response:
        accepted_order = await self._ops.order(
            operatorjson.order(await req.read())
        )
        return web.json_response(operatorjson.plain(accepted_order))

    async def recorders(self, _req: web.Request) -> web.Response:
        return _rows('recorders', await self._ops.recorders())

    async def add_recorder(self, req: web.Request) -> web.Response:
        host_id, address = operatorjson.recorder(await req.read())
        await self._ops.add_recorder(host_id, address)
        return _rows('recorders', await self._ops.recorders())

    async def remove_recorder(self, req: web.Request) -> web.Response:
        await self._ops.remove_recorder(ids.HostId(req.match_info['host']))
        return _rows('recorders', await self._ops.recorders())

    async def snapshot(self, _req: web.Request) -> web.Response:
        written = await self._ops.snapshot()
        return web.json_response(operatorjson.plain(written))

    async def metrics(self, _req: web.Request) -> web.Response:
        return web.Response(
            body=self._ops.metrics().encode(),
            headers={'Content-Type': metrics.CONTENT_TYPE},
        )


class _ErrorMiddleware:
    """Middleware that converts every error to a JSON response."""

    def __init__(self, ops: operations.Operations) -> None:
        self._ops = ops

    @web.middleware
    async def answer_errors(
        self,
        req: web.Request,
        handler: typing.Any,
    ) -> web.StreamResponse:
        try:
            return await handler(req)
        except errors.GeraniumweirError as exc:
            return await _refuse(self._ops, exc)
        except web.HTTPException as exc:
            if exc.status < http.HTTPStatus.BAD_REQUEST:
                raise
            return _error(exc.status, 'GW-1406', exc.reason or '')
        except Exception as exc:
            return _fault(req, exc)


def _fault(req: web.Request, exc: Exception) -> web.Response:
    logs.log(logevents.OPERATOR_FAILED, path=req.path, reason=repr(exc))
    status = http.HTTPStatus.INTERNAL_SERVER_ERROR
    return _error(
        status,
        'GW-1407',
        'a fault of this host',
        ids.Ran.unknown,
    )


async def _refuse(
    ops: operations.Operations,
    exc: errors.GeraniumweirError,
) -> web.Response:
    logs.log(logevents.OPERATOR_REFUSED, code=exc.code, message=exc.message)
    status = http.HTTPStatus.INTERNAL_SERVER_ERROR
    for kind, known in _STATUSES.items():
        if isinstance(exc, kind):
            status = known
    match exc:
        case config_errors.ConflictError():
            version = (await ops.config(None)).version
            return _error(status, exc.code, exc.message, version=version)
        case config_errors.DocumentError(faults=faults):
            return _error(
                status,
                exc.code,
                exc.message,
                faults=operatorjson.plain(faults),
            )
        case operations.NoMajorityError(ran=ran):
            return _error(status, exc.code, exc.message, ran)
        case _:
            return _error(status, exc.code, exc.message)


def _error(
    status: int,
    code: str,
    message: str,
    ran: ids.Ran = ids.Ran.no,
    **more: typing.Any,
) -> web.Response:
    body = {'code': code, 'message': message, 'ran': ran.value, **more}
    return web.json_response({'error': body}, status=status)


def _rows(name: str, rows: typing.Iterable[typing.Any]) -> web.Response:
    return web.json_response({name: [operatorjson.plain(row) for row in rows]})


def _wanted_version(req: web.Request, key: str) -> ids.Version:
    version = _version(req, key)
    if version is None:
        raise operations.MalformedError(f'{key}: missing in the query')
    return version


def _version(req: web.Request, key: str) -> ids.Version | None:
    text = req.query.get(key)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise operations.MalformedError(
            f'{key}: {text!r} is not a whole number from 0 up',
        )
    return ids.Version(int(text))
