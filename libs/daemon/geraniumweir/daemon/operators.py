"""The operators' HTTP face: the configuration."""

import http
import json

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.configuration import document, errors, reading
from geraniumweir.daemon import host as entry_host


def make_app(host: entry_host.EntryHost) -> web.Application:
    """Build the operators' application.

    :param host: the entry host it serves.
    """
    front = _Front(host)
    app = web.Application()
    app.router.add_put('/v1/config', front.put_config)
    app.router.add_get('/v1/config', front.get_config)
    return app


class _Front:
    """Handlers of one entry host."""

    def __init__(self, host: entry_host.EntryHost) -> None:
        self._host = host

    async def get_config(self, _req: web.Request) -> web.Response:
        in_force = self._host.in_force
        return web.json_response(
            {'version': in_force.version, 'document': in_force.text},
        )

    async def put_config(self, req: web.Request) -> web.Response:
        try:
            version = self._accept(json.loads(await req.read()))
        except errors.ConflictError as exc:
            return _error(http.HTTPStatus.CONFLICT, exc.code, exc.message)
        except errors.DocumentError as exc:
            status = http.HTTPStatus.UNPROCESSABLE_ENTITY
            return _error(status, exc.code, exc.message)
        except (ValueError, KeyError, TypeError) as exc:
            message = f'not a change: {exc!r}'
            return _error(http.HTTPStatus.BAD_REQUEST, 'GW-1203', message)
        return web.json_response({'version': version})

    def _accept(self, change: dict[str, str]) -> ids.Version:
        text = change['document']
        doc = reading.read(text)
        before = self._host.in_force.version
        if change['base'] != before:
            raise errors.ConflictError(f'version {before} is in force')
        version = ids.Version(before + 1)
        self._host.in_force = document.InForce(version, doc, text)
        return version


def _error(status: int, code: str, message: str) -> web.Response:
    body = {'error': {'code': code, 'message': message, 'ran': 'no'}}
    return web.json_response(body, status=status)
