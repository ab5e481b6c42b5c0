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
        env = core.Environment(
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
    made = [
        configuring.claim_command(number * batch, batch)
        for number in range(_PROPOSALS)
    ]
    return await _proposed(count, made)


async def _proposed(count: int, made: list[bytes]) -> dict[str, float]:
    """Give what proposals cost, one after the other, each of them."""
    group = _Group()
    await group.start(count)
    written = group.written()
    used = time.process_time()
    for command in made:
        await group.propose(command)
    used = time.process_time() - used
    messages, octets = group.sent()
    written = group.written() - written
    group.stop()
    return {
        'processor': used / len(made),
        'leader_messages': messages / len(made),
        'leader_bytes': octets / len(made),
        'disk_bytes': written / len(made),
    }


async def _idle(count: int) -> dict[str, float]:
    group = _Group()
    await group.start(count)
    used = time.process_time()
    await asyncio.sleep(_IDLE_SECONDS)
    used = time.process_time() - used
    messages, octets = group.sent()
    group.stop()
    network = group.network
    followed = max(count - 1, 1) * _IDLE_SECONDS
    return {
        'processor': used / _IDLE_SECONDS,
        'leader_messages': messages / _IDLE_SECONDS,
        'leader_bytes': octets / _IDLE_SECONDS,
        'follower_messages': (network.packets.total() - messages) / followed,
        'follower_bytes': (network.octets.total() - octets) / followed,
    }


async def _changes(customers: int) -> dict[str, float]:
    made = [_change(customers, base) for base in range(_KEPT_VERSIONS)]
    proposed = await _proposed(_USUAL, made[:_CHANGES])
    machine = state.SystemState()
    applied, _ = results.processor(
        lambda: [machine.apply(*entry) for entry in enumerate(made, 1)],
    )
    wrote, snapshot = results.processor(machine.snapshot)
    return {
        'leader_bytes': proposed['leader_bytes'],
        'disk_bytes': proposed['disk_bytes'],
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
