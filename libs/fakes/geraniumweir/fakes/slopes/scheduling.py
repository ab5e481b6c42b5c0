"""What the pool leader's decisions cost, and its memory.

A cycle is an ask that waits and a release that grants another one, with all
servers busy. Memory is what Python allocates, with the ask itself.
"""

import asyncio
import random
import time
import typing

from geraniumweir.common import ids
from geraniumweir.fakes import bench_decisions
from geraniumweir.fakes.slopes import results
from geraniumweir.scheduling import prefix

_WAITING = (10, 100, 1000, 10000)
_SERVERS = (10, 50, 200, 700, 1400)
_SOME_WAITING = 1000
_SOME_SERVERS = 100
_ROUNDS = 2000
_KEPT = (500, 1000, 2000, 4000)
_SLOTS = 8
_IDLE_SECONDS = 3
_BLOCK_STEP = 0x9E3779B97F4A7C15
_MASK = 0xFFFFFFFFFFFFFFFF


def main() -> None:
    """Measure and print."""
    found = [
        results.slope(
            'scheduling.cycle_by_waiting',
            's of processor',
            'waiting requests',
            [(size, _run(_cycle(size, _SOME_SERVERS))) for size in _WAITING],
        ),
        results.slope(
            'scheduling.cycle_by_servers',
            's of processor',
            'servers',
            [(size, _run(_cycle(_SOME_WAITING, size))) for size in _SERVERS],
        ),
        results.slope(
            'scheduling.idle',
            's/s of processor',
            'servers',
            [(size, _run(_idle(size))) for size in _SERVERS],
        ),
    ]
    results.write(found + _memory())


def _memory() -> list[results.Slope]:
    ways = {
        'waiting': _waiting,
        'grant': _grants,
        'server': _known_servers,
        'block': _blocks,
    }
    return [
        results.slope(
            f'scheduling.memory_{name}',
            'B',
            f'{name}s kept',
            [(size, _run(way(size)) / size) for size in _KEPT],
        )
        for name, way in ways.items()
    ]


def _run(measured: typing.Coroutine[typing.Any, typing.Any, float]) -> float:
    return asyncio.run(measured)


async def _cycle(waiting: int, servers: int) -> float:
    leader = bench_decisions.make_leader(waiting, servers)
    asks = _asks(waiting)
    _, granted = bench_decisions.fill_servers(leader, asks, servers * _SLOTS)
    held = [bench_decisions.begin(leader, next(asks)) for _ in range(waiting)]
    coming = list(zip(granted[:_ROUNDS], asks))
    used, (more, _) = results.processor(
        lambda: bench_decisions.rounds(leader, coming)
    )
    for coro, _, _ in held + more:
        coro.close()
    return used / len(coming)


async def _idle(servers: int) -> float:
    leader = bench_decisions.make_leader(1, servers)
    bench_decisions.fill_servers(leader, _asks(1), 1)
    start = time.process_time()
    await asyncio.sleep(_IDLE_SECONDS)
    return (time.process_time() - start) / _IDLE_SECONDS


async def _waiting(size: int) -> float:
    leader = bench_decisions.make_leader(size, 1)
    bench_decisions.fill_servers(leader, _asks(1), _SLOTS)
    asks = _asks(2)
    kept, held = results.memory(
        lambda: [
            bench_decisions.begin(leader, next(asks)) for _ in range(size)
        ],
    )
    for coro, _, _ in held:
        coro.close()
    return kept


async def _grants(size: int) -> float:
    leader = _leader_of(size)
    kept, _ = results.memory(
        lambda: bench_decisions.fill_servers(leader, _asks(1), size)[1],
    )
    return kept


async def _known_servers(size: int) -> float:
    return results.memory(lambda: _leader_of(size))[0]


def _leader_of(servers: int) -> typing.Any:
    leader = bench_decisions.make_leader(1, servers)
    leader.summary()
    return leader


async def _blocks(size: int) -> float:
    server_id = ids.ServerId('server')
    index = prefix.PrefixIndex()
    index.start(server_id, ids.Incarnation(1))
    return results.memory(lambda: _hold(index, server_id, size))[0]


def _hold(
    index: prefix.PrefixIndex, server_id: ids.ServerId, size: int
) -> None:
    # Hashes of prompts are large numbers, each an object of its own.
    for number in range(size):
        block = ids.BlockHash((number + 1) * _BLOCK_STEP & _MASK)
        index.record_grant(server_id, (block,))


def _asks(seed: int) -> typing.Any:
    now = asyncio.get_running_loop().time()
    dice = random.Random(seed)  # noqa: S311
    return bench_decisions.make_asks(dice, now)


if __name__ == '__main__':
    main()
