"""A fake engine: speaks the engines' HTTP and answers with made-up tokens."""

import asyncio
import contextlib
import dataclasses
import json
import typing

import aiohttp
from aiohttp import web
from geraniumweir.common import ids

_ANNOUNCE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """What one fake engine is.

    :ivar token_seconds: time between tokens.
    """

    server_id: ids.ServerId
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    announce_to: ids.Address
    slots: int = 4
    token_seconds: float = 0.002


class FakeEngine:
    """One fake engine on a loopback port of its own choice."""

    def __init__(self, cfg: EngineSettings) -> None:
        """Keep the settings.

        :param cfg: what the engine is.
        """
        self.cfg = cfg
        self.seen: list[str] = []
        self._port = 0

    @contextlib.asynccontextmanager
    async def running(self) -> typing.AsyncIterator['FakeEngine']:
        """Listen and announce until the block ends."""
        app = web.Application()
        app.router.add_post('/v1/chat/completions', self._complete)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self._port = runner.addresses[0][1]
        announcer = asyncio.create_task(self._announce_forever())
        try:
            yield self
        finally:
            announcer.cancel()
            await runner.cleanup()

    async def _announce_forever(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self._announce(session)
                await asyncio.sleep(_ANNOUNCE_SECONDS)

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        payload = {
            'server_id': self.cfg.server_id,
            'incarnation': 1,
            'address': f'127.0.0.1:{self._port}',
            'kind': 'engine',
            'pool': self.cfg.pool,
            'failure_domain': self.cfg.failure_domain,
            'slots': self.cfg.slots,
        }
        url = f'http://{self.cfg.announce_to}/v1/announce'
        async with session.post(url, json=payload) as resp:
            await resp.read()

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        request_id = req.headers['X-Request-Id']
        self.seen.append(request_id)
        payload = await req.json()
        resp = web.StreamResponse()
        resp.headers['Content-Type'] = 'text/event-stream'
        await resp.prepare(req)
        for number in range(int(payload.get('max_tokens', 4))):
            await asyncio.sleep(self.cfg.token_seconds)
            await resp.write(_event(request_id, f'token{number} '))
        await resp.write(b'data: [DONE]\n\n')
        await resp.write_eof()
        return resp


def _event(request_id: str, token: str) -> bytes:
    chunk = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': token}}],
    }
    return f'data: {json.dumps(chunk)}\n\n'.encode()
