"""Cluster of recorders in virtual time, on an in-memory network and disks."""

import asyncio
import dataclasses
import random
import struct
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.consensus import (
    client,
    core,
    errors,
    logevents,
    machines,
    recorder,
    settings,
)
from geraniumweir.store import folder, guard, memory_disk
from geraniumweir.wire import memory

HOSTS = tuple(ids.HostId(name) for name in ('ant', 'bee', 'cow'))
_MAX_SECONDS = 600
_Done = typing.TypeVar('_Done')
_NUMBER = struct.Struct('<Q')


def run(scenario: typing.Coroutine[typing.Any, typing.Any, _Done]) -> _Done:
    """Run a scenario in virtual time; it fails when it doesn't end in time."""
    return virtual.run(asyncio.wait_for(scenario, _MAX_SECONDS))


class ListMachine:
    """State machine that lists the commands; repeated ones count once."""

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
    """Return a command's place in the list, as its answer gives it."""
    return int(_NUMBER.unpack(answer)[0])


@dataclasses.dataclass(slots=True)
class Node:
    """One running recorder."""

    recorder: recorder.Recorder
    machine: ListMachine
    disk: memory_disk.MemoryDisk
    identity: str


class Cluster:
    """Recorders that can crash, be partitioned and lose their folders."""

    def __init__(self, seed: int = 0, **sizes: int) -> None:
        self.rng = random.Random(seed)
        self.network = memory.MemoryNetwork(seed)
        self.sizes = sizes
        # Bounds of the duration of each disk operation, in seconds.
        self.fsync_seconds = (0.001, 0.002)
        self.nodes: dict[ids.HostId, Node] = {}
        self.disks: dict[ids.HostId, memory_disk.MemoryDisk] = {}
        # Identity of the leader by term, and command applied by index.
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, bytes] = {}
        self.violations: list[str] = []

    async def start(self, hosts: tuple[ids.HostId, ...] = HOSTS) -> None:
        for host_id in hosts:
            await self.boot(host_id)

    async def boot(self, host_id: ids.HostId) -> Node:
        """Start a recorder on the content of its disk."""
        seed = self.rng.getrandbits(32)
        disk = self.disks.setdefault(host_id, memory_disk.MemoryDisk(seed))
        peer_layer = self.network.join(host_id, address(host_id))
        opened = await folder.open_folder(
            disk,
            self._disk_runner(),
            4096,
            lambda: f'{host_id}-{seed}',
        )
        machine = ListMachine()
        environment = core.Environment(
            settings.Settings(host_id, **self.sizes),
            peer_layer,
            machine,
            random.Random(seed),
            self._report_of(opened.identity),
        )
        first = {name: address(name) for name in HOSTS}
        started = recorder.Recorder(environment, opened, first)
        started.changes.subscribe(self._record_change)
        started.start()
        node = Node(started, machine, disk, opened.identity)
        self.nodes[host_id] = node
        return node

    def crash(self, host_id: ids.HostId) -> None:
        """Simulate a power failure of a host; do nothing when it is down."""
        if host_id not in self.nodes:
            return
        node = self.nodes.pop(host_id)
        self.network.leave(host_id)
        self.disks[host_id] = node.disk.crash()
        node.recorder.kill()

    def empty(self, host_id: ids.HostId) -> None:
        """Remove the data folder of a host that is down."""
        self.disks.pop(host_id)

    def partition(self, host_id: ids.HostId) -> None:
        """Discard all messages from and to a host."""
        for other in list(self.disks):
            if other != host_id:
                self.network.cut(host_id, other)
                self.network.cut(other, host_id)

    def client(self, name: str = 'eel') -> client.LogClient:
        """Return a client on a host without a disk."""
        host_id = ids.HostId(name)
        peer_layer = self.network.join(host_id, address(host_id))
        return client.LogClient(peer_layer, HOSTS)

    async def leader(self) -> ids.HostId:
        """Wait for a leader that a majority confirms, and return its host."""
        while True:
            for host_id, node in list(self.nodes.items()):
                if await _is_confirmed_leader(node.recorder):
                    return host_id
            await asyncio.sleep(0.05)

    async def wait_until_applied(self) -> list[list[bytes]]:
        """Wait until all running recorders have applied what is committed.

        :returns: the commands applied by each of them.
        """
        while True:
            leading = await self.leader()
            goal = self.nodes[leading].recorder.status().commit
            views = [node.recorder.status() for node in self.nodes.values()]
            if all(view.applied >= goal for view in views):
                return [node.machine.commands for node in self.nodes.values()]
            await asyncio.sleep(0.05)

    def _disk_runner(self) -> guard.Runner:
        async def run(action: guard.Action[_Done]) -> _Done:
            await asyncio.sleep(self.rng.uniform(*self.fsync_seconds))
            return action()

        return run

    def _report_of(self, identity: str) -> core.Report:
        def report(event: object, **fields: object) -> None:
            if event is not logevents.BECAME_LEADER:
                return
            known = self.leaders.setdefault(fields['term'], identity)
            if known != identity:
                self.violations.append(f'two leaders in term {fields}')

        return report

    def _record_change(self, change: machines.Change) -> None:
        if not isinstance(change, machines.Applied):
            return
        known = self.applied.setdefault(change.index, change.command)
        if known != change.command:
            self.violations.append(f'two commands at {change.index}')


async def _is_confirmed_leader(queried: recorder.Recorder) -> bool:
    if queried.status().role is not core.Role.leader:
        return False
    try:
        await queried.read_barrier(1)
    except errors.ConsensusError:
        return False
    return True


def address(host_id: ids.HostId) -> ids.Address:
    """Return the address of a host in the tests."""
    return ids.Address('127.0.0.1', sum(host_id.encode()))


async def started(seed: int = 0, **sizes: int) -> Cluster:
    """Start a cluster; ``sizes`` are settings of the log."""
    cluster = Cluster(seed, **sizes)
    await cluster.start()
    return cluster


async def fill(
    cluster: Cluster,
    count: int,
    prefix: str = 'x',
) -> list[bytes]:
    """Propose commands concurrently and return them."""
    leading = cluster.nodes[await cluster.leader()].recorder
    commands = [f'{prefix}{number}'.encode() for number in range(count)]
    await asyncio.gather(*(leading.propose(command) for command in commands))
    return commands
