"""Behaviour of the recorders at single failures."""

import asyncio
import errno

import pytest
from geraniumweir.consensus import core, errors
from geraniumweir.consensus.tests import cluster as clusters

_SHORTEST_TIMEOUT = 0.5


def test_commands_are_applied_by_all_in_one_order() -> None:
    """Concurrent proposals are applied in the same order everywhere."""

    async def scenario() -> None:
        cluster = await clusters.started()
        commands = await clusters.fill(cluster, 200)
        for applied in await cluster.wait_until_applied():
            assert applied == commands

    clusters.run(scenario())


def test_proposals_share_syncs() -> None:
    """A hundred concurrent proposals cost a recorder only a few fsyncs."""

    async def scenario() -> int:
        cluster = await clusters.started()
        leading = await cluster.leader()
        before = cluster.nodes[leading].disk.syncs
        await clusters.fill(cluster, 100)
        return cluster.nodes[leading].disk.syncs - before

    assert clusters.run(scenario()) <= 3


def test_partitioned_leader_steps_down_within_two_seconds() -> None:
    """It rejects proposals and reads; what it answered before is kept."""

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


def test_partitioned_leader_answers_no_barrier() -> None:
    """It confirms no read, even before it has stepped down."""

    async def scenario() -> None:
        cluster = await clusters.started()
        partitioned = await cluster.leader()
        cluster.partition(partitioned)
        with pytest.raises(errors.NoQuorumError):
            await cluster.nodes[partitioned].recorder.read_barrier(5)

    clusters.run(scenario())


def test_returning_recorder_disturbs_nobody() -> None:
    """A recorder that was partitioned for long deposes no leader."""

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


def test_one_way_loss_to_a_follower_raises_no_term() -> None:
    """A follower that receives nothing of the leader doesn't depose it."""

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
    """It answers nothing, is no longer leader and votes no more."""

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
        # Of three, one failed and one is down: the failed one must not vote.
        cluster.crash(await cluster.leader())
        await asyncio.sleep(30)
        left = next(iter(cluster.nodes.values()))
        assert not left.recorder.status().leader

    clusters.run(scenario())


def test_graceful_stop_costs_no_election_timeout() -> None:
    """Another leader is elected within the minimum election timeout."""

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
    """It neither votes nor accepts entries, though its host is reachable."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = await cluster.leader()
        others = [name for name in clusters.HOSTS if name != leading]
        await cluster.nodes[others[0]].recorder.stop()
        cluster.crash(leading)
        await asyncio.sleep(30)
        assert not cluster.nodes[others[1]].recorder.status().leader

    clusters.run(scenario())
