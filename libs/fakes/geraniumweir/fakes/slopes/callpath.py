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

_CALLERS = (1, 8, 32, 64)
_CALLS = 1500
_STREAMS = (25, 50, 100, 200)
_TOKENS = 150
_TOKEN_SECONDS = 0.02
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
        memory = await _memory(stand)
    async with bench_path.stand(_TOKEN_SECONDS) as slow:
        tokens = [(size, await _token(slow, size)) for size in _STREAMS]
    resident = [(size, await _resident(size)) for size in _CUSTOMERS]
    processor = 's of processor'
    return [
        results.slope('callpath.call', processor, 'callers', calls),
        results.slope('callpath.token', processor, 'open streams', tokens),
        results.slope('callpath.stream', 'B', 'open streams', memory),
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


async def _token(stand: bench_path.Stand, streams: int) -> float:
    """Give the cost of a token, its share of the call's left in."""
    payload = bench_path.body(_TOKENS)
    before = stand.cpu()
    await asyncio.gather(
        *(
            bench_path.whole(stand, stand.through, payload)
            for _ in range(streams)
        ),
    )
    return (stand.cpu() - before) / streams / _TOKENS


async def _memory(stand: bench_path.Stand) -> list[tuple[int, float]]:
    found = []
    before = stand.resident()
    async with contextlib.AsyncExitStack() as stack:
        opened = 0
        for count in _OPEN:
            for _ in range(count - opened):
                await stack.enter_async_context(bench_path.standing(stand))
            opened = count
            await asyncio.sleep(_SETTLE_SECONDS)
            grown = stand.resident() - before
            found.append((count, grown * _KIB / count))
    return found


async def _resident(customers: int) -> float:
    """Give the memory of an idle host that has a document in force."""
    host = await processes.start('slopes', ids.FailureDomain('milano-a'))
    try:
        async with aiohttp.ClientSession() as session:
            await processes.until_ready(session, [host])
        await processes.apply_rules(host, configuring.text_of(customers))
        return float(processes.resident_kb(host.process.pid) * _KIB)
    finally:
        host.kill()


if __name__ == '__main__':
    main()
