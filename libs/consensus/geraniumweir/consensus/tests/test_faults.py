"""Random crashes, partitions, loss, duplicates and reordering combined."""

import asyncio
import random

import hypothesis
import pytest
from geraniumweir.common import virtual
from geraniumweir.consensus import core, errors
from geraniumweir.consensus.tests import cluster as clusters
from geraniumweir.consensus.tests import histories
from hypothesis import stateful
from hypothesis import strategies as st

_HOST = st.sampled_from(clusters.HOSTS)
_SMALL = {
    'snapshot_entries': 15,
    'trailing_entries': 4,
    'batch_entries': 3,
    'piece_bytes': 40,
}


async def _finish(
    cluster: clusters.Cluster,
    history: histories.History,
) -> None:
    """Repair all faults and check the history."""
    cluster.network.heal()
    cluster.network.loss = 0
    for host_id in clusters.HOSTS:
        # A host whose disk is set to fail is crashed, to get a working disk.
        if cluster.disks[host_id].operations_left is not None:
            cluster.crash(host_id)
        if host_id not in cluster.nodes:
            await cluster.boot(host_id)
    last = await history.append(cluster.client(), 30)
    assert last.place is not None
    lists = await cluster.wait_until_applied()
    assert not cluster.violations
    assert all(applied == lists[0] for applied in lists)
    history.check(lists[0])


class FaultMachine(stateful.RuleBasedStateMachine):
    """Random sequences of faults, after which the history is checked."""

    @stateful.initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Start three recorders over a bad network."""
        self.loop = asyncio.Runner(loop_factory=virtual.VirtualTimeLoop)
        self.history = histories.History()
        self.tasks: list[asyncio.Task[histories.Append]] = []
        self.cluster = clusters.Cluster(seed, **_SMALL)
        self.cluster.network.jitter = 0.01
        self.cluster.network.repeats = 0.1
        self.cluster.fsync_seconds = (0, 0.03)
        self.loop.run(self._start())

    @stateful.rule(seconds=st.sampled_from((0.003, 0.05, 0.6, 2)))
    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.loop.run(asyncio.sleep(seconds))

    @stateful.rule(count=st.integers(1, 8))
    def append(self, count: int) -> None:
        """Propose commands concurrently by a client."""
        self.loop.run(self._append(count))

    @stateful.rule(host_id=_HOST)
    def read(self, host_id: str) -> None:
        """Read the state of a recorder."""
        node = self.cluster.nodes.get(host_id)
        if node is not None:
            self.loop.run(self.history.read(node))

    @stateful.rule(host_id=_HOST)
    def crash(self, host_id: str) -> None:
        """Simulate a power failure of a host."""
        self.loop.run(self._crash(host_id))

    @stateful.rule(host_id=_HOST, operations=st.integers(0, 6))
    def fail_disk(self, host_id: str, operations: int) -> None:
        """Make a disk fail during one of its next operations."""
        node = self.cluster.nodes.get(host_id)
        if node is not None:
            node.disk.operations_left = operations

    @stateful.rule(host_id=_HOST)
    def boot(self, host_id: str) -> None:
        """Start a host that is down."""
        if host_id not in self.cluster.nodes:
            self.loop.run(self.cluster.boot(host_id))

    @stateful.rule(sender=_HOST, receiver=_HOST)
    def cut(self, sender: str, receiver: str) -> None:
        """Discard all messages in one direction."""
        self.cluster.network.cut(sender, receiver)

    @stateful.rule(loss=st.sampled_from((0, 0.1, 0.4)))
    def heal(self, loss: float) -> None:
        """End all partitions, and set the message loss."""
        self.cluster.network.heal()
        self.cluster.network.loss = loss

    @stateful.invariant()
    def keeps_election_safety(self) -> None:
        """Check for two leaders in a term or two commands at an index."""
        assert not self.cluster.violations

    def teardown(self) -> None:
        """Repair all faults and check the history."""
        if hasattr(self, 'loop'):
            self.loop.run(
                asyncio.wait_for(_finish(self.cluster, self.history), 600),
            )
            self.loop.close()

    async def _start(self) -> None:
        await self.cluster.start()
        self.client = self.cluster.client()
        await self.cluster.leader()

    async def _append(self, count: int) -> None:
        for _ in range(count):
            work = self.history.append(self.client, 2)
            self.tasks.append(asyncio.create_task(work))

    async def _crash(self, host_id: str) -> None:
        self.cluster.crash(host_id)


TestFaultMachine = FaultMachine.TestCase
TestFaultMachine.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


async def _propose_repeatedly(
    cluster: clusters.Cluster,
    history: histories.History,
    name: str,
    until: float,
) -> None:
    caller = cluster.client(name)
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        await history.append(caller, 2)
        await asyncio.sleep(cluster.rng.random() * 0.05)


async def _inject_fault(cluster: clusters.Cluster, rng: random.Random) -> None:
    host_id = rng.choice(clusters.HOSTS)
    other = rng.choice(clusters.HOSTS)
    match rng.randrange(10):
        case 0:
            cluster.crash(host_id)
        case 1 if host_id in cluster.nodes:
            cluster.nodes[host_id].disk.operations_left = rng.randrange(10)
        case 2:
            cluster.partition(host_id)
        case 3:
            cluster.network.cut(host_id, other)
        case _:
            cluster.network.heal()
    for name, node in list(cluster.nodes.items()):
        # An operator would take a recorder with a failed disk down; with two
        # such recorders no progress is possible.
        if node.recorder.status().role is core.Role.failed:
            cluster.crash(name)
    for name in clusters.HOSTS:
        if name not in cluster.nodes and rng.randrange(2):
            await cluster.boot(name)


@pytest.mark.parametrize('seed', range(10))
def test_a_minute_of_faults(seed: int) -> None:
    """Concurrent callers, reads and faults for a minute."""

    async def scenario() -> None:
        rng = random.Random(seed)
        cluster = clusters.Cluster(seed, **_SMALL)
        history = histories.History()
        await cluster.start()
        cluster.network.loss = 0.03
        cluster.network.repeats = 0.05
        cluster.network.jitter = 0.02
        cluster.fsync_seconds = (0, 0.03)
        callers = [
            asyncio.create_task(_propose_repeatedly(cluster, history, name, 60))
            for name in ('eel', 'fox', 'gnu')
        ]
        while asyncio.get_running_loop().time() < 60:
            await asyncio.sleep(rng.random())
            await _inject_fault(cluster, rng)
            for node in list(cluster.nodes.values()):
                callers.append(asyncio.create_task(history.read(node)))
        await asyncio.gather(*callers)
        await _finish(cluster, history)
        answered = [one for one in history.appends if one.place is not None]
        assert len(answered) > 50
        assert history.reads

    clusters.run(scenario())


async def _replace(cluster: clusters.Cluster, host_id: str) -> None:
    """Erase a data folder and add the new recorder, with retries."""
    cluster.crash(host_id)
    cluster.empty(host_id)
    await cluster.boot(host_id)
    operator = cluster.client('owl')
    while True:
        try:
            return await operator.add_recorder(host_id, timeout=3)
        except errors.ConsensusError:
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('seed', range(5))
def test_folders_replaced_under_load(seed: int) -> None:
    """Another recorder crashes each time as soon as the new one is a voter."""

    async def scenario() -> None:
        rng = random.Random(seed)
        cluster = clusters.Cluster(seed, **_SMALL)
        history = histories.History()
        await cluster.start()
        cluster.network.loss = 0.03
        cluster.network.jitter = 0.02
        cluster.fsync_seconds = (0, 0.03)
        callers = [
            asyncio.create_task(_propose_repeatedly(cluster, history, name, 60))
            for name in ('eel', 'fox')
        ]
        for _ in range(6):
            replaced, lost = rng.sample(clusters.HOSTS, 2)
            await _replace(cluster, replaced)
            cluster.crash(lost)
            after = await history.append(cluster.client('elk'), 10)
            assert after.place is not None
            await cluster.boot(lost)
        await asyncio.gather(*callers)
        await _finish(cluster, history)

    clusters.run(scenario())
