"""What the recorders do about each single failure."""

import asyncio
import errno

import pytest
from geraniumweir.consensus import core, errors
from geraniumweir.consensus.tests import cluster as clusters

_SHORTEST_TIMEOUT = 0.5


def test_commands_are_applied_by_all_in_one_order() -> None:
    """Proposals made at once come out the same everywhere."""

    async def scenario() -> None:
        cluster = await clusters.started()
        commands = await clusters.fill(cluster, 200)
        for applied in await cluster.wait_until_applied():
            assert applied == commands

    clusters.run(scenario())


def test_proposals_share_syncs() -> None:
    """A hundred proposals at once cost a recorder a few fsyncs."""

    async def scenario() -> int:
        cluster = await clusters.started()
        leading = await cluster.leader()
        before = cluster.nodes[leading].disk.syncs
        await clusters.fill(cluster, 100)
        return cluster.nodes[leading].disk.syncs - before

    assert clusters.run(scenario()) <= 3


def test_silently_cut_leader_says_so_within_two_seconds() -> None:
    """It takes nothing, says so, and what it answered before stays true."""

    async def scenario() -> None:
        cluster = await clusters.started()
        before = await clusters.fill(cluster, 5)
        partitioned = await cluster.leader()
        node = cluster.nodes[partitioned]
        cluster.partition(partitioned)
        loop = asyncio.get_running_loop()
        partitioned_at = loop.time()
        with pytest.raises(errors.UncertainError):
            await node.recorder.propose(b'into the void', 5)
        assert loop.time() - partitioned_at < 2
        with pytest.raises(errors.NoQuorumError):
            await node.recorder.propose(b'refused')
        with pytest.raises(errors.NoQuorumError):
            await node.recorder.read_barrier()
        assert not node.recorder.status().leader
        lost = cluster.nodes.pop(partitioned)
        after = await clusters.fill(cluster, 5, 'y')
        cluster.network.heal()
        cluster.nodes[partitioned] = lost
        for applied in await cluster.wait_until_applied():
            assert applied == before + after

    clusters.run(scenario())


def test_cut_leader_answers_no_barrier() -> None:
    """Right after the cut, before it stepped down, it confirms no read."""

    async def scenario() -> None:
        cluster = await clusters.started()
        partitioned = await cluster.leader()
        cluster.partition(partitioned)
        with pytest.raises(errors.NoQuorumError):
            await cluster.nodes[partitioned].recorder.read_barrier(5)

    clusters.run(scenario())


def test_returning_recorder_disturbs_nobody() -> None:
    """One that was cut off for long raises no term and ends no reign."""

    async def scenario() -> tuple[int, int]:
        cluster = await clusters.started()
        leading = await cluster.leader()
        follower = next(name for name in clusters.HOSTS if name != leading)
        term = cluster.nodes[leading].recorder.status().term
        cluster.partition(follower)
        await asyncio.sleep(30)
        cluster.network.heal()
        await asyncio.sleep(5)
        return term, cluster.nodes[leading].recorder.status().term

    before, after = clusters.run(scenario())
    assert before == after


def test_follower_that_is_not_heard_disturbs_nobody() -> None:
    """One-way loss towards a follower doesn't end the reign."""

    async def scenario() -> tuple[int, int]:
        cluster = await clusters.started()
        leading = await cluster.leader()
        follower = next(name for name in clusters.HOSTS if name != leading)
        term = cluster.nodes[leading].recorder.status().term
        cluster.network.cut(leading, follower)
        await asyncio.sleep(30)
        return term, cluster.nodes[leading].recorder.status().term

    before, after = clusters.run(scenario())
    assert before == after


@pytest.mark.parametrize('failure', [errno.EIO, errno.ENOSPC])
def test_leader_with_a_failing_disk_steps_down(failure: int) -> None:
    """It answers nothing, leads no more and votes no more."""

    async def scenario() -> None:
        cluster = await clusters.started()
        before = await clusters.fill(cluster, 3)
        failed = await cluster.leader()
        node = cluster.nodes[failed]
        node.disk.failing = failure
        with pytest.raises(errors.UncertainError):
            await node.recorder.propose(b'lost?')
        node.disk.failing = 0
        with pytest.raises(errors.RecorderFailedError):
            await node.recorder.propose(b'never')
        assert node.recorder.status().role is core.Role.failed
        assert node.recorder.status().failure
        cluster.nodes.pop(failed)
        after = await clusters.fill(cluster, 3, 'y')
        for applied in await cluster.wait_until_applied():
            assert applied[:3] == before
            assert applied[-3:] == after
        # Of three, one failed and one is down: its vote must not help.
        cluster.crash(await cluster.leader())
        await asyncio.sleep(30)
        left = next(iter(cluster.nodes.values()))
        assert not left.recorder.status().leader

    clusters.run(scenario())


def test_graceful_stop_costs_no_election_timeout() -> None:
    """Another one leads before the shortest election timeout is over."""

    async def scenario() -> float:
        cluster = await clusters.started()
        await clusters.fill(cluster, 5)
        leading = await cluster.leader()
        loop = asyncio.get_running_loop()
        began = loop.time()
        await cluster.nodes.pop(leading).recorder.stop()
        cluster.network.leave(leading)
        await cluster.leader()
        return loop.time() - began

    assert clusters.run(scenario()) < _SHORTEST_TIMEOUT


def test_stopped_recorder_answers_nothing() -> None:
    """It neither votes nor takes entries, though the host is still there."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = await cluster.leader()
        others = [name for name in clusters.HOSTS if name != leading]
        await cluster.nodes[others[0]].recorder.stop()
        cluster.crash(leading)
        await asyncio.sleep(30)
        assert not cluster.nodes[others[1]].recorder.status().leader

    clusters.run(scenario())
