"""Recorders in virtual time over an in-memory network and disks."""

import asyncio
import dataclasses
import random
import struct

from geraniumweir.common import ids
from geraniumweir.consensus import client, core, errors, recorder, settings
from geraniumweir.store import folder, guard, memory_disk
from geraniumweir.wire import memory

HOSTS = tuple(ids.HostId(name) for name in ('ant', 'bee', 'cow'))
_FSYNC_SECONDS = 0.002
_NUMBER = struct.Struct('<Q')


class ListMachine:
    """Keeps the commands in a list; a command counts once only."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []
        self.known: set[bytes] = set()

    def apply(self, index: int, command: bytes) -> bytes:
        if command not in self.known:
            self.known.add(command)
            self.commands.append(command)
        return _NUMBER.pack(self.commands.index(command))

    def snapshot(self) -> bytes:
        return b'\n'.join(self.commands)

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b'\n') if state else []
        self.known = set(self.commands)


def place(answer: bytes) -> int:
    """Read the place that a command got."""
    return int(_NUMBER.unpack(answer)[0])


@dataclasses.dataclass(slots=True)
class Node:
    """One running recorder."""

    recorder: recorder.Recorder
    machine: ListMachine
    disk: memory_disk.MemoryDisk
    identity: str


class Cluster:
    """Recorders that can crash, be cut off and lose their folders."""

    def __init__(self, seed: int = 0, **sizes: int) -> None:
        self.rng = random.Random(seed)
        self.network = memory.MemoryNetwork(seed)
        self.sizes = sizes
        self.nodes: dict[ids.HostId, Node] = {}
        self.disks: dict[ids.HostId, memory_disk.MemoryDisk] = {}
        # Who led in which term, for election safety.
        self.leaders: dict[int, str] = {}
        self.events: list[tuple[int, dict[str, object]]] = []

    async def start(self, hosts: tuple[ids.HostId, ...] = HOSTS) -> None:
        for host_id in hosts:
            await self.boot(host_id)

    async def boot(self, host_id: ids.HostId) -> Node:
        """Start a recorder on what its disk holds."""
        seed = self.rng.getrandbits(32)
        disk = self.disks.setdefault(host_id, memory_disk.MemoryDisk(seed))
        way = self.network.join(host_id, address(host_id))
        opened = await folder.open_folder(
            disk,
            guard.VirtualDelay(_FSYNC_SECONDS),
            4096,
            lambda: f'{host_id}-{seed}',
        )
        machine = ListMachine()
        surroundings = core.Surroundings(
            settings.Settings(host_id, **self.sizes),
            way,
            machine,
            random.Random(seed),
            self._report_of(opened.identity),
        )
        first = {name: address(name) for name in HOSTS}
        started = recorder.Recorder(surroundings, opened, first)
        started.start()
        node = Node(started, machine, disk, opened.identity)
        self.nodes[host_id] = node
        return node

    def crash(self, host_id: ids.HostId) -> None:
        """Cut a host's power."""
        node = self.nodes.pop(host_id)
        self.network.leave(host_id)
        self.disks[host_id] = node.disk.crash()
        node.recorder.kill()

    def empty(self, host_id: ids.HostId) -> None:
        """Lose the folder of a host that is down."""
        self.disks.pop(host_id)

    def cut_off(self, host_id: ids.HostId) -> None:
        """Lose everything from and to a host."""
        for other in list(self.disks):
            if other != host_id:
                self.network.cut(host_id, other)
                self.network.cut(other, host_id)

    def client(self, name: str = 'eel') -> client.LogClient:
        """Give a client on a host without a disk."""
        host_id = ids.HostId(name)
        way = self.network.join(host_id, address(host_id))
        return client.LogClient(way, HOSTS)

    async def leader(self) -> ids.HostId:
        """Wait until one recorder leads and a majority knows it."""
        while True:
            for host_id, node in self.nodes.items():
                if node.recorder.status().role is not core.Role.leader:
                    continue
                try:
                    await node.recorder.read_barrier(1)
                except errors.ConsensusError:
                    continue
                return host_id
            await asyncio.sleep(0.05)

    async def settled(self) -> list[list[bytes]]:
        """Wait until all live recorders have applied the same, give it."""
        while True:
            leading = await self.leader()
            goal = self.nodes[leading].recorder.status().commit
            views = [node.recorder.status() for node in self.nodes.values()]
            if all(view.applied >= goal for view in views):
                return [node.machine.commands for node in self.nodes.values()]
            await asyncio.sleep(0.05)

    def _report_of(self, identity: str) -> core.Report:
        def report(event: object, **fields: object) -> None:
            number = event.number
            self.events.append((number, {'identity': identity, **fields}))
            if number == 520:
                known = self.leaders.setdefault(fields['term'], identity)
                assert known == identity, 'two leaders in a term'

        return report


def address(host_id: ids.HostId) -> ids.Address:
    """Give the address of a host in the tests."""
    return ids.Address('127.0.0.1', sum(host_id.encode()))
