"""Membership changes: recorders added, removed and replaced.

A recorder whose data folder was emptied must not vote or bootstrap a log.
"""

import asyncio

import pytest
from geraniumweir.common import ids
from geraniumweir.consensus import errors
from geraniumweir.consensus.tests import cluster as clusters

_COW = clusters.HOSTS[2]
_DOG = ids.HostId('dog')


def test_emptied_folder_never_votes() -> None:
    """With one recorder down and one folder emptied there is no majority."""

    async def scenario() -> None:
        cluster = await clusters.started()
        await clusters.fill(cluster, 5)
        first, second, third = clusters.HOSTS
        cluster.crash(first)
        cluster.crash(second)
        cluster.empty(second)
        terms = set(cluster.leaders)
        await cluster.boot(second)
        await asyncio.sleep(60)
        assert set(cluster.leaders) == terms
        for node in cluster.nodes.values():
            assert not node.recorder.status().leader
        assert cluster.nodes[second].machine.commands == []
        await cluster.boot(first)
        await cluster.leader()
        assert cluster.nodes[third].recorder.status().commit > 0

    clusters.run(scenario())


def test_emptied_recorder_bootstraps_no_second_log() -> None:
    """The lowest host, its folder emptied, must wait to be added."""

    async def scenario() -> None:
        cluster = await clusters.started()
        commands = await clusters.fill(cluster, 5)
        lowest = clusters.HOSTS[0]
        cluster.crash(lowest)
        cluster.empty(lowest)
        node = await cluster.boot(lowest)
        await asyncio.sleep(30)
        assert node.recorder.status().last_index == 0
        await cluster.client().add_recorder(lowest)
        for applied in await cluster.wait_until_applied():
            assert applied == commands

    clusters.run(scenario())


def test_second_recorder_lost_right_after_a_replacement() -> None:
    """Another recorder may crash as soon as a replacement is complete."""

    async def scenario() -> None:
        cluster = await clusters.started()
        commands = await clusters.fill(cluster, 20)
        await cluster.wait_until_applied()
        cluster.crash(_COW)
        await cluster.boot(_DOG)
        operator = cluster.client()
        await operator.remove_recorder(_COW)
        await operator.add_recorder(_DOG, str(clusters.address(_DOG)))
        cluster.crash(await cluster.leader())
        commands += await clusters.fill(cluster, 5, 'y')
        for applied in await cluster.wait_until_applied():
            assert applied == commands
        assert len(cluster.nodes) == 2

    clusters.run(scenario())


def test_replacing_an_emptied_folder_keeps_three_voters() -> None:
    """The old identity is removed before the new one becomes a voter."""

    async def scenario() -> None:
        cluster = await clusters.started()
        await clusters.fill(cluster, 5)
        cluster.crash(_COW)
        cluster.empty(_COW)
        await cluster.boot(_COW)
        await cluster.client().add_recorder(_COW)
        leading = cluster.nodes[await cluster.leader()].recorder
        rows = leading.status().recorders
        assert len(rows) == 3
        assert all(row.member.voter for row in rows)
        identities = {row.member.identity for row in rows}
        assert cluster.nodes[_COW].identity in identities

    clusters.run(scenario())


def test_removal_that_would_cost_the_majority_is_refused() -> None:
    """With one of three down, a running one can't be removed."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = await cluster.leader()
        others = [name for name in clusters.HOSTS if name != leading]
        cluster.crash(others[0])
        await asyncio.sleep(2)
        with pytest.raises(errors.RefusedError, match='only 1 answer'):
            await cluster.nodes[leading].recorder.remove_recorder(others[1])

    clusters.run(scenario())


def test_leader_removed_by_a_client_transfers_leadership_first() -> None:
    """The client follows the hint, and the new leader removes the old one."""

    async def scenario() -> None:
        cluster = await clusters.started()
        old = await cluster.leader()
        await cluster.client().remove_recorder(old, 5)
        new = await cluster.leader()
        assert new != old
        rows = cluster.nodes[new].recorder.status().recorders
        assert old not in {row.member.host_id for row in rows}
        await clusters.fill(cluster, 3)

    clusters.run(scenario())


def test_two_changes_at_once_are_refused() -> None:
    """The second change is rejected while the first is in progress."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = cluster.nodes[await cluster.leader()].recorder
        await cluster.boot(_DOG)
        answers = await asyncio.gather(
            leading.add_recorder(_DOG),
            leading.remove_recorder(_DOG),
            return_exceptions=True,
        )
        assert [type(answer) for answer in answers] == [
            type(None),
            errors.RefusedError,
        ]

    clusters.run(scenario())
