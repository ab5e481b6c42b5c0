"""A fake plain service: counts what it ran, by idempotency key.

``POST /orders`` is an act that must not happen twice; everything else may be
repeated.
"""

import asyncio
import collections
import contextlib
import dataclasses
import typing

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.fakes import announcing, faults

_BIG_BYTES = 3 * 1024 * 1024
_ANY = '*'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """What one fake service is.

    :ivar announce_to: backend addresses of entry hosts.
    :ivar seconds: time that a call takes.
    """

    server_id: ids.ServerId
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    announce_to: tuple[ids.Address, ...] = ()
    slots: int = 16
    seconds: float = 0.002


class FakeService:
    """One fake service on a loopback port of its own choice."""

    def __init__(self, cfg: ServiceSettings) -> None:
        """Keep the settings.

        :param cfg: what the service is.
        """
        self.cfg = cfg
        self.standing = announcing.Standing()
        self.seen: list[str] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.ended: collections.Counter[str] = collections.Counter()
        self.next_faults: collections.deque[faults.Fault] = collections.deque()
        self.last_headers: typing.Mapping[str, str] = {}
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.came = asyncio.Event()
        self.port = 0

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator['FakeService']:
        """Listen and announce until the block ends."""
        app = web.Application()
        app.router.add_get('/big', self._big)
        app.router.add_get('/unframed', self._unframed)
        app.router.add_route(_ANY, '/{path:.*}', self._serve)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.port = runner.addresses[0][1]
        announcer = announcing.Announcer(
            self.cfg.announce_to,
            self.announcement,
        )
        try:
            async with announcer.running():
                yield self
        finally:
            await runner.cleanup()

    def announcement(self) -> announcing.Payload:
        """Say what the service is."""
        return {
            'server_id': self.cfg.server_id,
            'incarnation': self.standing.incarnation,
            'address': f'127.0.0.1:{self.port}',
            'kind': 'service',
            'pool': self.cfg.pool,
            'failure_domain': self.cfg.failure_domain,
            'slots': self.cfg.slots,
            'state': self.standing.state,
        }

    async def _serve(self, req: web.Request) -> web.StreamResponse:
        key = req.headers.get('Idempotency-Key', req.headers['X-Request-Id'])
        self.seen.append(req.headers['X-Request-Id'])
        self.last_headers = req.headers.copy()
        self.runs[key] += 1
        body = await req.read()
        self.came.set()
        await asyncio.sleep(self.cfg.seconds)
        await self.go_on.wait()
        self.ended[key] += 1
        if self.next_faults:
            return await _fault(req, self.next_faults.popleft())
        return web.json_response(
            {'path': req.path_qs, 'runs': self.runs[key], 'got': len(body)},
        )

    async def _big(self, _req: web.Request) -> web.Response:
        return web.Response(body=b'x' * _BIG_BYTES)

    async def _unframed(self, req: web.Request) -> web.StreamResponse:
        """Answer so that only the connection's end marks the answer's."""
        if req.transport is not None:
            req.transport.write(b'HTTP/1.1 200 OK\r\n\r\nhalf')
            req.transport.close()
        return web.Response()


async def _fault(
    req: web.Request,
    fault: faults.Fault,
) -> web.StreamResponse:
    resp = web.StreamResponse()
    resp.content_length = 100
    if fault.kind is faults.FaultKind.close_early:
        await resp.prepare(req)
        await resp.write(b'{"half": ')
    if req.transport is not None:
        req.transport.close()
    return resp
