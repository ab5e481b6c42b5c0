"""An entry host that leaves cuts off nothing."""

import asyncio
import contextlib

import aiohttp
from geraniumweir.common import ids
from geraniumweir.daemon import draining
from geraniumweir.fakes import engine, generation, inprocess, processes
from geraniumweir.fakes.tests import bed


def test_drain_ends_calls_in_flight_whole() -> None:
    """Not ready at once, nothing new, what runs ends whole."""

    async def scenario(field: bed.Bed) -> None:
        service = await field.service()
        service.go_on.clear()
        order = asyncio.create_task(_status(field))
        await service.came.wait()
        drain = asyncio.create_task(draining.drain(field.entry.host))
        await asyncio.sleep(0)
        async with field.session.get(field.entry.url('/readyz')) as resp:
            assert resp.status == 503
        async with field.session.get(field.entry.url('/healthz')) as resp:
            assert resp.status == 200
        async with field.post(bed.stream()) as resp:
            error = (await resp.json())['error']
            assert (resp.status, error['ran']) == (503, 'no')
            assert 'Retry-After' in resp.headers
        assert not drain.done()
        service.go_on.set()
        assert await order == 200
        assert await drain == 0

    bed.run(scenario)


async def _status(field: bed.Bed) -> int:
    async with field.order('k1') as resp:
        await resp.read()
        return int(resp.status)


def test_sigterm_cuts_off_no_stream() -> None:
    """A daemon told to end gives the whole answer and exits 0."""
    body = asyncio.run(_stream_over_sigterm())
    assert body.endswith(b'data: [DONE]\n\n')


async def _stream_over_sigterm() -> bytes:
    domain = ids.FailureDomain('milano-a')
    host = await processes.start(processes.plan_alone('entry-1', domain))
    cfg = engine.EngineSettings(
        ids.ServerId('advisor-1'),
        ids.PoolName('lm-advisori'),
        domain,
        (host.addresses['backend'],),
        speed=generation.Speed(0.01, 1e9),
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(host.kill)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await processes.until_ready(session, [host])
        await processes.apply_rules(host, inprocess.RULES)
        await stack.enter_async_context(engine.FakeEngine(cfg).running())
        async with session.post(
            host.url('/v1/chat/completions'),
            json=bed.stream(60),
            headers={'X-Customer': 'liceo-volta'},
        ) as resp:
            first = await resp.content.readany()
            host.process.terminate()
            body = first + await resp.read()
        assert await host.stop() == 0
    return body
