"""What a call and a token cost the entry host, in processes of their own.

Processor time is what the system counts for the host's process, user and
system together; memory is resident memory.
"""

import asyncio
import contextlib
import typing

import aiohttp
from geraniumweir.common import ids
from geraniumweir.fakes import bench_path, processes
from geraniumweir.fakes.slopes import configuring, results

_CALLERS = (1, 4, 8, 32)
_CALLS = 1500
_STREAMS = (25, 50, 100, 200)
_TOKENS = 80
_TOKEN_SECONDS = 0.078
_OPEN = (100, 200, 400, 800)
_CUSTOMERS = (10, 100, 500, 1400)
_SETTLE_SECONDS = 1.0
_KIB = 1024


def main() -> None:
    """Measure and print."""
    results.write(asyncio.run(_measure()))


async def _measure() -> list[results.Slope]:
    async with bench_path.stand(0) as stand:
        calls = [(size, await _call(stand, size)) for size in _CALLERS]
    resident = [(size, await _resident(size)) for size in _CUSTOMERS]
    # Hosts of their own: each learns limits of its servers, and servers
    # whose streams stand still get no more.
    tokens = await asyncio.gather(*(_token(size) for size in _STREAMS))
    memory = [(size, await _memory(size)) for size in _OPEN]
    processor = 's of processor'
    streams = 'open streams'
    return [
        results.slope('callpath.call', processor, 'callers', calls),
        results.slope('callpath.token', processor, streams, tokens),
        results.slope('callpath.stream', 'B', streams, memory),
        results.slope('callpath.resident', 'B', 'customers', resident),
    ]


async def _call(stand: bench_path.Stand, callers: int) -> float:
    numbers = iter(range(_CALLS))
    payload = bench_path.body(1, stream=False)
    before = stand.cpu()
    await asyncio.gather(
        *(_repeat(stand, payload, numbers) for _ in range(callers)),
    )
    return (stand.cpu() - before) / _CALLS


async def _repeat(
    stand: bench_path.Stand,
    payload: bench_path.Json,
    numbers: typing.Iterator[int],
) -> None:
    for _ in numbers:
        await bench_path.whole(stand, stand.through, payload)


async def _token(streams: int) -> tuple[float, float]:
    """Give the cost of a token, its share of the call's left in."""
    payload = bench_path.body(_TOKENS)
    async with bench_path.stand(_TOKEN_SECONDS) as stand:
        before = stand.cpu()
        await asyncio.gather(
            *(
                bench_path.whole(stand, stand.through, payload)
                for _ in range(streams)
            ),
        )
        return streams, (stand.cpu() - before) / streams / _TOKENS


async def _memory(streams: int) -> float:
    """Give the memory of a stream that stands still."""
    async with contextlib.AsyncExitStack() as stack:
        stand = await stack.enter_async_context(bench_path.stand(0))
        before = stand.resident()
        await asyncio.gather(
            *(
                stack.enter_async_context(bench_path.standing(stand))
                for _ in range(streams)
            ),
        )
        await asyncio.sleep(_SETTLE_SECONDS)
        return (stand.resident() - before) * _KIB / streams


async def _resident(customers: int) -> float:
    """Give the memory of an idle host that has a document in force."""
    plan = processes.plan_alone('slopes', ids.FailureDomain('milano-a'))
    host = await processes.start(plan)
    try:
        async with aiohttp.ClientSession() as session:
            await processes.until_ready(session, [host])
        await processes.apply_rules(host, configuring.text_of(customers))
        return float(processes.resident_kb(host.process.pid) * _KIB)
    finally:
        host.kill()


if __name__ == '__main__':
    main()
