"""An entry host that leaves cuts off nothing."""

import asyncio

from geraniumweir.daemon import draining
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
