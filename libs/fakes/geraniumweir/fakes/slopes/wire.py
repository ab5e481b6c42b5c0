"""What the peer layer and a remote ask cost, over loopback.

Both ends run in this process, so each figure is the sum of both. A cycle is
an ask, one message of progress and a release, with the leader's decision.
"""

import asyncio
import contextlib
import functools
import time
import tracemalloc
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.fakes import countingpeers
from geraniumweir.fakes.slopes import counting, remote, results
from geraniumweir.wire import tcp
from geraniumweir.wire.gen.scheduling import ttypes

_ANY = ids.Address('127.0.0.1', 0)
_CALLERS = (1, 8, 64, 256)
_BURSTS = (1, 4, 16, 64)
_CONNECTIONS = (4, 8, 16, 32)
_CYCLES = 4096
_SETTLE_SECONDS = 0.2
_REQUEST_ID = '0123456789abcdef0123456789abcdef'


def main() -> None:
    """Measure and print."""
    cycles = [(size, asyncio.run(_cycle(size))) for size in _CALLERS]
    sends = [(size, asyncio.run(_send(size))) for size in _BURSTS]
    memory = [(size, asyncio.run(_memory(size))) for size in _CONNECTIONS]
    counts = {size: virtual.run(_counts(size)) for size in _CALLERS}
    units = {
        'owner_messages': 'messages a cycle',
        'owner_bytes': 'B a cycle',
        'leader_messages': 'messages a cycle',
        'leader_bytes': 'B a cycle',
        'progress_bytes': 'B of a message of progress',
    }
    callers = 'asks at a time'
    processor = 's of processor, both ends'
    results.write(
        [
            results.slope('wire.cycle', processor, callers, cycles),
            results.slope('wire.send', processor, 'sent at once', sends),
            results.slope('wire.connection', 'B an end', 'peers', memory),
            *results.columns('wire.cycle', callers, units, counts),
        ],
    )


@contextlib.asynccontextmanager
async def _peers(count: int) -> typing.AsyncIterator[list[tcp.TcpPeers]]:
    """Start hosts of which the others know the first."""
    names = [remote.LEADER, remote.OWNER]
    names += [ids.HostId(f'host-{number}') for number in range(2, count)]
    started = [tcp.TcpPeers(name, _ANY) for name in names]
    for one in started:
        await one.start()
        one.learn(remote.LEADER, started[0].address)
    started[0].learn(remote.OWNER, started[1].address)
    try:
        yield started
    finally:
        for stopped in started:
            await stopped.close()


async def _cycle(callers: int) -> float:
    async with _peers(2) as (leading, owner):
        pair = remote.Pair(owner, leading)
        await pair.cycles(callers, callers)
        start = time.process_time()
        await pair.cycles(_CYCLES, callers)
        used = time.process_time() - start
        pair.close()
    return used / _CYCLES


async def _send(burst: int) -> float:
    """Send messages without answers and wait until all have arrived."""
    async with _peers(2) as (leading, owner):
        arrived: asyncio.Queue[None] = asyncio.Queue()
        leading.handle(ttypes.Progress, functools.partial(_take, arrived))
        message = _progress()
        # The first one connects.
        owner.send(remote.LEADER, message)
        await arrived.get()
        start = time.process_time()
        for _ in range(_CYCLES // burst):
            for _ in range(burst):
                owner.send(remote.LEADER, message)
            for _ in range(burst):
                await arrived.get()
        return (time.process_time() - start) / _CYCLES


def _progress() -> ttypes.Progress:
    return ttypes.Progress('lm-advisori', _REQUEST_ID, float(1), 10)


async def _take(
    arrived: asyncio.Queue[None],
    _sender: ids.HostId,
    _message: typing.Any,
) -> None:
    arrived.put_nowait(None)


async def _memory(count: int) -> float:
    """Connect hosts to one; what the sockets take in the kernel is left out."""
    async with _peers(count + 1) as (leading, *others):
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for one in others:
            await one.introduce(leading.address)
        await asyncio.sleep(_SETTLE_SECONDS)
        kept = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
    return kept / 2 / count


async def _counts(callers: int) -> dict[str, float]:
    network = counting.CountingNetwork()
    leading, owner = (
        network.join(host_id, ids.Address('127.0.0.1', number))
        for number, host_id in enumerate((remote.LEADER, remote.OWNER), 1)
    )
    pair = remote.Pair(owner, leading)
    await pair.cycles(_CYCLES, callers)
    pair.close()
    progress = countingpeers.framed_size(_progress())
    found = {
        'progress_bytes': float(
            progress + countingpeers.PACKET_HEADER_BYTES,
        ),
    }
    for host_id in (remote.OWNER, remote.LEADER):
        found[f'{host_id}_messages'] = network.packets[host_id] / _CYCLES
        found[f'{host_id}_bytes'] = network.octets[host_id] / _CYCLES
    return found


if __name__ == '__main__':
    main()
