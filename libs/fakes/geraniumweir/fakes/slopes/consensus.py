"""What the replicated log costs, in virtual time over memory.

All recorders run in this process: processor times are those of all together,
so for one of them they are bounds from above. Disks are counted, not timed.
"""

import asyncio
import random
import time

from geraniumweir.common import ids, virtual
from geraniumweir.configuration import commands, state
from geraniumweir.consensus import core, errors, recorder, settings
from geraniumweir.fakes.slopes import configuring, counting, results
from geraniumweir.store import folder, guard, memory_disk

_RECORDERS = (1, 3, 5, 7)
_USUAL = 5
_BATCHES = (1, 8, 64, 512)
_PROPOSALS = 64
_CHANGES = 20
_KEPT_VERSIONS = 100
_IDLE_SECONDS = 30
_SYNC_SECONDS = 0.002
_PAUSE = 0.05


def main() -> None:
    """Measure and print."""
    batches = {size: virtual.run(_batches(_USUAL, size)) for size in _BATCHES}
    groups = {size: virtual.run(_batches(size, 1)) for size in _RECORDERS}
    idle = {size: virtual.run(_idle(size)) for size in _RECORDERS}
    documents = {
        size: virtual.run(_changes(size)) for size in configuring.CUSTOMERS
    }
    by_batch = 'claims a proposal'
    results.write(
        results.columns('consensus.batch', by_batch, _PROPOSED, batches)
        + results.columns('consensus.group', 'recorders', _PROPOSED, groups)
        + results.columns('consensus.idle', 'recorders', _IDLE, idle)
        + results.columns('consensus.change', 'customers', _CHANGE, documents),
    )


_PROPOSED = {
    'processor': 's a proposal, all recorders',
    'leader_messages': 'messages a proposal, sent by the leader',
    'leader_bytes': 'B a proposal, sent by the leader',
    'disk_bytes': 'B a proposal on one disk',
}
_IDLE = {
    'processor': 's/s, all recorders',
    'leader_messages': 'messages/s sent',
    'leader_bytes': 'B/s sent',
    'follower_messages': 'messages/s sent',
    'follower_bytes': 'B/s sent',
}
_CHANGE = {
    'leader_bytes': 'B a change, sent by the leader',
    'disk_bytes': 'B a change on one disk',
    'snapshot': 'B with 100 versions',
    'snapshot_processor': 's to write it',
    'apply': 's of processor to apply a change',
}


class _CountedDisk(memory_disk.MemoryDisk):
    """A disk in memory.

    :ivar written: bytes appended so far.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.written = 0

    def append(self, name: str, content: bytes) -> None:
        self.written += len(content)
        super().append(name, content)


class _Group:
    """Recorders over memory, none of which fails."""

    def __init__(self) -> None:
        self.network = counting.CountingNetwork()
        self.disks: list[_CountedDisk] = []
        self.recorders: dict[ids.HostId, recorder.Recorder] = {}
        self.leader = ids.HostId('')

    async def start(self, count: int) -> None:
        names = [ids.HostId(f'host-{number}') for number in range(count)]
        first = {
            name: ids.Address('127.0.0.1', number)
            for number, name in enumerate(names, 1)
        }
        for host_id in names:
            await self._boot(host_id, first)
        self.leader = await self._find_leader()
        await asyncio.sleep(1)
        self.network.reset()

    async def propose(self, command: bytes) -> bytes:
        return await self.recorders[self.leader].propose(command)

    def written(self) -> int:
        return self.disks[0].written

    def sent(self) -> tuple[int, int]:
        return (
            self.network.packets[self.leader],
            self.network.octets[self.leader],
        )

    def stop(self) -> None:
        for one in self.recorders.values():
            one.kill()

    async def _boot(
        self,
        host_id: ids.HostId,
        first: dict[ids.HostId, ids.Address],
    ) -> None:
        seed = first[host_id].port
        disk = _CountedDisk(seed)
        self.disks.append(disk)
        way = self.network.join(host_id, first[host_id])
        delay = guard.VirtualDelay(_SYNC_SECONDS)
        opened = await folder.open_folder(disk, delay)
        env = core.Surroundings(
            settings.Settings(host_id),
            way,
            state.SystemState(),
            random.Random(seed),  # noqa: S311
        )
        self.recorders[host_id] = recorder.Recorder(env, opened, first)
        self.recorders[host_id].start()

    async def _find_leader(self) -> ids.HostId:
        while True:
            for host_id, one in self.recorders.items():
                if one.status().role is core.Role.leader:
                    await _try_barrier(one)
                    return host_id
            await asyncio.sleep(_PAUSE)


async def _try_barrier(one: recorder.Recorder) -> None:
    try:
        await one.read_barrier(1)
    except errors.ConsensusError:
        return


async def _batches(count: int, batch: int) -> dict[str, float]:
    group = _Group()
    await group.start(count)
    made = [
        configuring.claim_command(number * batch, batch)
        for number in range(_PROPOSALS)
    ]
    written = group.written()
    messages, octets = group.sent()
    start = time.process_time()
    for command in made:
        await group.propose(command)
    used = time.process_time() - start
    now_messages, now_octets = group.sent()
    group.stop()
    return {
        'processor': used / _PROPOSALS,
        'leader_messages': (now_messages - messages) / _PROPOSALS,
        'leader_bytes': (now_octets - octets) / _PROPOSALS,
        'disk_bytes': (group.written() - written) / _PROPOSALS,
    }


async def _idle(count: int) -> dict[str, float]:
    group = _Group()
    await group.start(count)
    start = time.process_time()
    await asyncio.sleep(_IDLE_SECONDS)
    used = time.process_time() - start
    others = max(count - 1, 1)
    packets, octets = group.network.packets, group.network.octets
    leader = group.leader
    group.stop()
    return {
        'processor': used / _IDLE_SECONDS,
        'leader_messages': packets[leader] / _IDLE_SECONDS,
        'leader_bytes': octets[leader] / _IDLE_SECONDS,
        'follower_messages': (packets.total() - packets[leader])
        / others
        / _IDLE_SECONDS,
        'follower_bytes': (octets.total() - octets[leader])
        / others
        / _IDLE_SECONDS,
    }


async def _changes(customers: int) -> dict[str, float]:
    group = _Group()
    await group.start(_USUAL)
    written = group.written()
    _, octets = group.sent()
    for version in range(_CHANGES):
        await group.propose(_change(customers, version))
    _, now_octets = group.sent()
    now_written = group.written()
    group.stop()
    machine = state.SystemState()
    made = [_change(customers, base) for base in range(_KEPT_VERSIONS)]
    applied, _ = results.processor(
        lambda: [machine.apply(*entry) for entry in enumerate(made, 1)],
    )
    wrote, snapshot = results.processor(machine.snapshot)
    return {
        'leader_bytes': (now_octets - octets) / _CHANGES,
        'disk_bytes': (now_written - written) / _CHANGES,
        'snapshot': len(snapshot),
        'snapshot_processor': wrote,
        'apply': applied / _KEPT_VERSIONS,
    }


def _change(customers: int, base: int) -> bytes:
    return commands.change(
        ids.ChangeId(f'change-{base}'),
        ids.Version(base),
        configuring.text_of(customers, base),
        base,
    )


if __name__ == '__main__':
    main()
