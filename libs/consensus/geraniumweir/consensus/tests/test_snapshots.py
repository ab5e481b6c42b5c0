"""Snapshots, log compaction and followers that need compacted entries."""

import asyncio
import contextlib

import pytest
from geraniumweir.common import ids
from geraniumweir.consensus import errors
from geraniumweir.consensus.tests import cluster as clusters

_COW = clusters.HOSTS[2]
_BIG = b'd' * 1000
_MANY = 1000
# Snapshot and trailing bytes of the test, and the entries that arrive while a
# snapshot is written.
_MAX_HELD_BYTES = 8000 + 3000 + 4 * 1004


def test_late_follower_catches_up_by_snapshot() -> None:
    """A follower gets the snapshot in chunks, then the entries after it."""

    async def scenario() -> None:
        cluster = await clusters.started(
            snapshot_entries=50,
            trailing_entries=10,
            piece_bytes=100,
        )
        leading = await cluster.leader()
        late = next(name for name in clusters.HOSTS if name != leading)
        cluster.crash(late)
        commands = [
            *await clusters.fill(cluster, 120),
            *await clusters.fill(cluster, 120, 'y'),
        ]
        await asyncio.sleep(1)
        with pytest.raises(errors.CompactedError):
            cluster.nodes[leading].recorder.read_entries(0, 10)
        cluster.network.loss = 0.05
        await cluster.boot(late)
        for applied in await cluster.wait_until_applied():
            assert applied == commands
        assert cluster.nodes[late].recorder.snapshot().index > 0

    clusters.run(scenario())


def test_log_of_big_commands_stays_small() -> None:
    """The log is compacted by bytes long before the limit of entries."""

    async def scenario() -> None:
        cluster = await clusters.started(
            snapshot_bytes=8000, trailing_bytes=3000
        )
        leading = await cluster.leader()
        late = next(name for name in clusters.HOSTS if name != leading)
        cluster.crash(late)
        commands = []
        for number in range(40):
            commands.append(b'%d:' % number + _BIG)
            await cluster.nodes[leading].recorder.propose(commands[-1])
            assert _held(cluster, leading) < _MAX_HELD_BYTES
        with pytest.raises(errors.CompactedError):
            cluster.nodes[leading].recorder.read_entries(0, 10)
        await cluster.boot(late)
        for applied in await cluster.wait_until_applied():
            assert applied == commands
        assert cluster.nodes[late].recorder.snapshot().index > 0
        # The recorder that installed the snapshot compacts its own log, too.
        for number in range(40, 60):
            commands.append(b'%d:' % number + _BIG)
            await cluster.nodes[leading].recorder.propose(commands[-1])
        for applied in await cluster.wait_until_applied():
            assert applied == commands
        await asyncio.sleep(1)
        for host_id in clusters.HOSTS:
            assert 0 < _held(cluster, host_id) < _MAX_HELD_BYTES

    clusters.run(scenario())


def test_retained_entries_fit_their_bytes_or_none_are_retained() -> None:
    """A single entry above the limit isn't retained, and none is lost."""

    async def scenario() -> None:
        cluster = await clusters.started(
            snapshot_bytes=8000, trailing_bytes=999
        )
        commands = [b'%d:' % number + _BIG for number in range(20)]
        leading = cluster.nodes[await cluster.leader()].recorder
        for command in commands:
            await leading.propose(command)
        await cluster.wait_until_applied()
        index = await leading.take_snapshot()
        assert not leading.read_entries(index, 10)
        with pytest.raises(errors.CompactedError):
            leading.read_entries(index - 1, 10)
        for host_id in clusters.HOSTS:
            cluster.crash(host_id)
        await cluster.start()
        for applied in await cluster.wait_until_applied():
            assert applied == commands

    clusters.run(scenario())


def _held(cluster: clusters.Cluster, host_id: ids.HostId) -> int:
    """Return the bytes of the entries that a recorder has in its log."""
    asked = cluster.nodes[host_id].recorder
    after = asked.status().applied
    held = 0
    with contextlib.suppress(errors.CompactedError):
        while after:
            held = sum(
                len(entry.payload)
                for entry in asked.read_entries(after - 1, _MANY)
            )
            after -= 1
    return held


def test_client_reads_snapshot_and_entries() -> None:
    """A host without a disk can read the complete log from any recorder."""

    async def scenario() -> None:
        cluster = await clusters.started(piece_bytes=7)
        before = await clusters.fill(cluster, 10)
        await cluster.wait_until_applied()
        index = await cluster.nodes[_COW].recorder.take_snapshot()
        after = await clusters.fill(cluster, 3, 'y')
        await cluster.wait_until_applied()
        reader = cluster.client()
        covered, state = await reader.fetch_snapshot(_COW)
        assert covered == index
        assert state.split(b'\n') == before
        answer = await reader.read_entries(_COW, index, 100)
        assert [entry.payload for entry in answer.entries] == after
        assert await reader.read_barrier() >= index + 3

    clusters.run(scenario())


def test_answered_commands_survive_a_restart_of_all() -> None:
    """After a power failure of all hosts no answered command is lost."""

    async def scenario() -> None:
        cluster = await clusters.started(
            snapshot_entries=20, trailing_entries=5
        )
        commands = await clusters.fill(cluster, 50)
        for host_id in clusters.HOSTS:
            cluster.crash(host_id)
        await cluster.start()
        for applied in await cluster.wait_until_applied():
            assert applied == commands

    clusters.run(scenario())


def test_snapshot_of_a_leader_without_answers_makes_no_one_current() -> None:
    """It is sent repeatedly, and is older than the commit index."""

    async def scenario() -> None:
        cluster = await clusters.started(
            snapshot_entries=50,
            trailing_entries=10,
        )
        leading = await cluster.leader()
        await clusters.fill(cluster, 20)
        muted = next(name for name in clusters.HOSTS if name != leading)
        for name in clusters.HOSTS:
            cluster.network.cut(muted, name)
        await clusters.fill(cluster, 120, 'y')
        await asyncio.sleep(2)
        await clusters.fill(cluster, 20, 'z')
        await asyncio.sleep(2)
        committed = cluster.nodes[leading].recorder.status().commit
        follower = cluster.nodes[muted].recorder
        assert follower.status().applied < committed
        assert not follower.is_current()

    clusters.run(scenario())
