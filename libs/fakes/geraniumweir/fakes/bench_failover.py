"""How long no proposal is answered after the leader is lost.

In virtual time, with half a millisecond one way and two for a sync, so the
figures are the same on every run: a leader that vanishes, one that is cut off
silently, and one that stops gracefully; and what an idle log costs.
"""

import asyncio
import enum
import statistics
import sys
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.consensus import client, recorder
from geraniumweir.fakes import logcluster
from geraniumweir.store import guard, memory_disk
from geraniumweir.wire import memory

_RUNS = 100
_SYNC_SECONDS = 0.002
_IDLE_SECONDS = 10
_TIMEOUT = 30.0
_CALLER = ids.HostId('caller')
_Recorders = typing.Mapping[ids.HostId, recorder.Recorder]


class Loss(enum.Enum):
    """How a leader is lost."""

    vanished = 'vanished'
    cut_off = 'cut off silently'
    stopped = 'stopped gracefully'


def main() -> None:
    """Print the seconds without an answer, and the idle messages."""
    for loss in Loss:
        gaps = [virtual.run(_gap(loss, seed)) for seed in range(_RUNS)]
        sys.stdout.write(
            f'{loss.value:20} median {statistics.median(gaps):.2f} s'
            f'  worst {max(gaps):.2f} s  ({_RUNS} runs)\n',
        )
    idle = virtual.run(_idle_messages())
    sys.stdout.write(f'idle log             {idle:.0f} messages/s\n')


async def _start(
    network: memory.MemoryNetwork,
    seed: int,
) -> dict[ids.HostId, recorder.Recorder]:
    return {
        host_id: await logcluster.start_recorder(
            network,
            host_id,
            memory_disk.MemoryDisk(seed),
            guard.VirtualDelay(_SYNC_SECONDS),
            seed,
        )
        for host_id in logcluster.HOSTS
    }


async def _gap(loss: Loss, seed: int) -> float:
    network = memory.MemoryNetwork(seed)
    started = await _start(network, seed)
    await logcluster.find_leader(started.values())
    way = network.join(_CALLER, ids.Address('127.0.0.1', 1))
    caller = client.LogClient(way, logcluster.HOSTS)
    await caller.propose(b'before')
    # Lost anywhere between two heartbeats.
    await asyncio.sleep(1 + seed / _RUNS)
    loop = asyncio.get_running_loop()
    lost_at = loop.time()
    await _lose(network, started, loss)
    await caller.propose(b'after', _TIMEOUT)
    return loop.time() - lost_at


async def _lose(
    network: memory.MemoryNetwork,
    started: _Recorders,
    loss: Loss,
) -> None:
    leader = next(iter(started.values())).status().leader
    match loss:
        case Loss.vanished:
            network.leave(leader)
            started[leader].kill()
        case Loss.cut_off:
            for other in (*logcluster.HOSTS, _CALLER):
                network.cut(leader, other)
                network.cut(other, leader)
        case Loss.stopped:
            await started[leader].stop()
            network.leave(leader)


async def _idle_messages() -> float:
    network = memory.MemoryNetwork()
    started = await _start(network, 0)
    await logcluster.find_leader(started.values())
    before = sum(network.sent.values())
    await asyncio.sleep(_IDLE_SECONDS)
    return (sum(network.sent.values()) - before) / _IDLE_SECONDS


if __name__ == '__main__':
    main()
