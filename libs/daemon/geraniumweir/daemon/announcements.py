"""HTTP application for backend servers: announcements and reports."""

import http
import json
import typing

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import reports
from geraniumweir.membership import errors, servers


def make_app(host: entry_host.EntryHost) -> web.Application:
    """Return the HTTP application for backend servers.

    :param host: the entry host that receives what they send.
    """
    handlers = _Handlers(host)
    app = web.Application()
    app.router.add_post('/v1/announce', handlers.announce)
    app.router.add_post('/v1/reports', handlers.report)
    return app


def read_announcement(payload: dict[str, typing.Any]) -> servers.Announcement:
    """Convert the JSON of an announcement to its typed value.

    :raises ValueError: when a field is missing or wrong.
    """
    try:
        return servers.Announcement(
            server_id=ids.ServerId(payload['server_id']),
            incarnation=ids.Incarnation(int(payload['incarnation'])),
            address=ids.parse_address(payload['address']),
            kind=payload['kind'],
            pool=ids.PoolName(payload['pool']),
            failure_domain=ids.FailureDomain(payload['failure_domain']),
            models=tuple(payload.get('models', ())),
            adapters=tuple(payload.get('adapters', ())),
            hardware=payload.get('hardware', ''),
            slots=int(payload.get('slots', 1)),
            kv_tokens=int(payload.get('kv_tokens', 0)),
            max_context=int(payload.get('max_context', 0)),
            fences=bool(payload.get('fences', False)),
            can_cancel=bool(payload.get('can_cancel', False)),
            can_resume=bool(payload.get('can_resume', False)),
            state=servers.ServerState(payload.get('state', 'ready')),
        )
    except KeyError as exc:
        raise ValueError(f'the field {exc.args[0]!r} is missing') from exc
    except TypeError as exc:
        raise ValueError(f'a field has the wrong type: {exc}') from exc


class _Handlers:
    """HTTP handlers for backend servers."""

    def __init__(self, host: entry_host.EntryHost) -> None:
        self._host = host
        self._offsets = reports.ClockOffsets()

    async def announce(self, req: web.Request) -> web.Response:
        try:
            announcement = read_announcement(await _payload(req))
            known = self._host.server(announcement.server_id)
            reply = self._host.announce(announcement)
        except ValueError as exc:
            return _fault(exc)
        if known and known.incarnation != announcement.incarnation:
            self._offsets.discard(announcement.server_id)
        return web.json_response(
            {
                'next_ms': reply.next_ms,
                'announce_to': list(map(str, reply.announce_to)),
            }
        )

    async def report(self, req: web.Request) -> web.Response:
        now = self._host.timers.now()
        try:
            payload = await _payload(req)
            load = reports.read_load(payload, self._offsets, now)
            events = reports.read_cache_events(payload)
        except ValueError as exc:
            return _fault(exc)
        server = self._host.server(ids.ServerId(payload.get('server_id', '')))
        if server is not None:
            if load is not None:
                self._host.report_load(server.pool, load)
            if events is not None:
                self._host.report_cache(server.pool, events)
        return web.json_response({'known': server is not None})


async def _payload(req: web.Request) -> dict[str, typing.Any]:
    try:
        payload = json.loads(await req.read())
    except ValueError as exc:
        raise ValueError(f'the body is not JSON: {exc}') from exc
    if not isinstance(payload, dict):
        raise ValueError('the body is not a JSON object')
    return payload


def _fault(exc: ValueError) -> web.Response:
    code = 'GW-6101'
    message = str(exc)
    if isinstance(exc, errors.AnnouncementError):
        code = exc.code
        message = exc.message
    return web.json_response(
        {'error': {'code': code, 'message': message}},
        status=http.HTTPStatus.BAD_REQUEST,
    )
