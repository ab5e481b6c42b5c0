"""A bed for tests of the path of a call: one host, engines, a caller."""

import asyncio
import contextlib
import dataclasses
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import engine, generation, inprocess, service

Scenario = typing.Callable[['Bed'], typing.Awaitable[None]]
_PATIENCE_SECONDS = 30
QUICK = generation.Speed(0, 1e9)
SLOW = generation.Speed(0.005, 1e9)


@dataclasses.dataclass(slots=True)
class Bed:
    """What a scenario works with."""

    entry: inprocess.Running
    session: aiohttp.ClientSession
    stack: contextlib.AsyncExitStack

    async def engine(
        self,
        name: str = 'advisor-1',
        **fields: typing.Any,
    ) -> engine.FakeEngine:
        """Start an engine and let it announce itself."""
        fields.setdefault('speed', QUICK)
        cfg = engine.EngineSettings(
            ids.ServerId(name),
            ids.PoolName('lm-advisori'),
            ids.FailureDomain('milano-a'),
            (self.entry.host.cfg.backend_address,),
            **fields,
        )
        fake = engine.FakeEngine(cfg)
        return await self.stack.enter_async_context(fake.running())

    async def service(self) -> service.FakeService:
        """Start a plain service and let it announce itself."""
        cfg = service.ServiceSettings(
            ids.ServerId('app-1'),
            ids.PoolName('sportello-app'),
            ids.FailureDomain('milano-a'),
            (self.entry.host.cfg.backend_address,),
        )
        fake = service.FakeService(cfg)
        return await self.stack.enter_async_context(fake.running())

    async def announce(self, payload: typing.Mapping[str, object]) -> None:
        """Announce a server, and let the pool leader follow.

        A leader looks at the servers four times a second at least.
        """
        url = f'http://{self.entry.host.cfg.backend_address}/v1/announce'
        async with self.session.post(url, json=payload) as resp:
            assert resp.status == 200
        await asyncio.sleep(0.3)

    def post(
        self,
        payload: typing.Mapping[str, typing.Any],
        **headers: str,
    ) -> typing.Any:
        """Call an engine."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        return self.session.post(
            self.entry.url('/v1/chat/completions'),
            json=payload,
            headers={'X-Customer': 'liceo-volta', **named},
        )

    def order(
        self, key: str | None, body: str = 'van', **more: str
    ) -> typing.Any:
        """Call the service with an act that must not happen twice."""
        headers = {'X-Customer': 'liceo-volta', 'X-Idempotent': 'false'}
        if key is not None:
            headers['Idempotency-Key'] = key
        for name, text in more.items():
            headers[name.replace('_', '-')] = text
        url = self.entry.url('/services/sportello-app/orders')
        return self.session.post(url, data=body, headers=headers)


def run(scenario: Scenario, rules: str = inprocess.RULES) -> None:
    """Run a scenario over real loopback sockets."""
    asyncio.run(_run(scenario, rules))


async def _run(scenario: Scenario, rules: str) -> None:
    async with contextlib.AsyncExitStack() as stack:
        entry = await stack.enter_async_context(
            inprocess.entry_host_with(rules),
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        async with asyncio.timeout(_PATIENCE_SECONDS):
            await scenario(Bed(entry, session, stack))


def stream(tokens: int = 8, **more: typing.Any) -> dict[str, typing.Any]:
    """Make the body of a streamed call."""
    prompt = [{'role': 'user', 'content': 'where is my file'}]
    return {
        'model': 'advisor',
        'messages': prompt,
        'stream': True,
        'max_tokens': tokens,
        **more,
    }


def plain(tokens: int = 8, **more: typing.Any) -> dict[str, typing.Any]:
    """Make the body of a call that isn't streamed."""
    return stream(tokens, **more) | {'stream': False}
