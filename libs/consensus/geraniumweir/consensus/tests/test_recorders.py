"""What the recorders do about each single failure."""

import asyncio
import contextlib
import errno

import pytest
from geraniumweir.common import ids
from geraniumweir.consensus import core, errors
from geraniumweir.consensus.tests import cluster as clusters

_COW = clusters.HOSTS[2]
_DOG = ids.HostId('dog')
_SHORTEST_TIMEOUT = 0.5
_BIG = b'd' * 1000
_MANY = 1000
# The bounds of the test, and what comes in while a snapshot is written.
_MOST_HELD = 8000 + 3000 + 4 * 1004


async def _started(seed: int = 0, **sizes: int) -> clusters.Cluster:
    cluster = clusters.Cluster(seed, **sizes)
    await cluster.start()
    return cluster


async def _fill(
    cluster: clusters.Cluster,
    count: int,
    prefix: str = 'x',
) -> list[bytes]:
    leading = cluster.nodes[await cluster.leader()].recorder
    commands = [f'{prefix}{number}'.encode() for number in range(count)]
    await asyncio.gather(*(leading.propose(command) for command in commands))
    return commands


def test_commands_are_applied_by_all_in_one_order() -> None:
    """Proposals made at once come out the same everywhere."""

    async def scenario() -> None:
        cluster = await _started()
        commands = await _fill(cluster, 200)
        for applied in await cluster.settled():
            assert applied == commands

    clusters.run(scenario())


def test_proposals_share_syncs() -> None:
    """A hundred proposals at once cost a recorder a few fsyncs."""

    async def scenario() -> int:
        cluster = await _started()
        leading = await cluster.leader()
        before = cluster.nodes[leading].disk.syncs
        await _fill(cluster, 100)
        return cluster.nodes[leading].disk.syncs - before

    assert clusters.run(scenario()) <= 3


def test_silently_cut_leader_says_so_within_two_seconds() -> None:
    """It takes nothing, says so, and what it answered before stays true."""

    async def scenario() -> None:
        cluster = await _started()
        before = await _fill(cluster, 5)
        cut = await cluster.leader()
        node = cluster.nodes[cut]
        cluster.cut_off(cut)
        loop = asyncio.get_running_loop()
        cut_at = loop.time()
        with pytest.raises(errors.UncertainError):
            await node.recorder.propose(b'into the void', 5)
        assert loop.time() - cut_at < 2
        with pytest.raises(errors.NoQuorumError):
            await node.recorder.propose(b'refused')
        with pytest.raises(errors.NoQuorumError):
            await node.recorder.read_barrier()
        assert not node.recorder.status().leader
        lost = cluster.nodes.pop(cut)
        after = await _fill(cluster, 5, 'y')
        cluster.network.heal()
        cluster.nodes[cut] = lost
        for applied in await cluster.settled():
            assert applied == before + after

    clusters.run(scenario())


def test_cut_leader_answers_no_barrier() -> None:
    """Right after the cut, before it stepped down, it confirms no read."""

    async def scenario() -> None:
        cluster = await _started()
        cut = await cluster.leader()
        cluster.cut_off(cut)
        with pytest.raises(errors.NoQuorumError):
            await cluster.nodes[cut].recorder.read_barrier(5)

    clusters.run(scenario())


def test_returning_recorder_disturbs_nobody() -> None:
    """One that was cut off for long raises no term and ends no reign."""

    async def scenario() -> tuple[int, int]:
        cluster = await _started()
        leading = await cluster.leader()
        follower = next(name for name in clusters.HOSTS if name != leading)
        term = cluster.nodes[leading].recorder.status().term
        cluster.cut_off(follower)
        await asyncio.sleep(30)
        cluster.network.heal()
        await asyncio.sleep(5)
        return term, cluster.nodes[leading].recorder.status().term

    before, after = clusters.run(scenario())
    assert before == after


def test_follower_that_is_not_heard_disturbs_nobody() -> None:
    """One-way loss towards a follower doesn't end the reign."""

    async def scenario() -> tuple[int, int]:
        cluster = await _started()
        leading = await cluster.leader()
        follower = next(name for name in clusters.HOSTS if name != leading)
        term = cluster.nodes[leading].recorder.status().term
        cluster.network.cut(leading, follower)
        await asyncio.sleep(30)
        return term, cluster.nodes[leading].recorder.status().term

    before, after = clusters.run(scenario())
    assert before == after


def test_emptied_folder_never_votes() -> None:
    """With one recorder down and one emptied there is no majority."""

    async def scenario() -> None:
        cluster = await _started()
        await _fill(cluster, 5)
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


def test_emptied_founder_founds_no_second_log() -> None:
    """The lowest host id, emptied, waits to be added."""

    async def scenario() -> None:
        cluster = await _started()
        commands = await _fill(cluster, 5)
        founder = clusters.HOSTS[0]
        cluster.crash(founder)
        cluster.empty(founder)
        node = await cluster.boot(founder)
        await asyncio.sleep(30)
        assert node.recorder.status().last_index == 0
        await cluster.client().add_recorder(founder)
        for applied in await cluster.settled():
            assert applied == commands

    clusters.run(scenario())


def test_second_recorder_lost_right_after_a_replacement() -> None:
    """As soon as the replacement is done, another one can go."""

    async def scenario() -> None:
        cluster = await _started()
        commands = await _fill(cluster, 20)
        await cluster.settled()
        cluster.crash(_COW)
        await cluster.boot(_DOG)
        operator = cluster.client()
        await operator.remove_recorder(_COW)
        await operator.add_recorder(_DOG, str(clusters.address(_DOG)))
        cluster.crash(await cluster.leader())
        commands += await _fill(cluster, 5, 'y')
        for applied in await cluster.settled():
            assert applied == commands
        assert len(cluster.nodes) == 2

    clusters.run(scenario())


def test_replacing_an_emptied_folder_keeps_three_voters() -> None:
    """The old identity goes as the new one becomes a voter."""

    async def scenario() -> None:
        cluster = await _started()
        await _fill(cluster, 5)
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
    """With one of three down, a live one can't be removed."""

    async def scenario() -> None:
        cluster = await _started()
        leading = await cluster.leader()
        others = [name for name in clusters.HOSTS if name != leading]
        cluster.crash(others[0])
        await asyncio.sleep(2)
        with pytest.raises(errors.RefusedError, match='only 1 answer'):
            await cluster.nodes[leading].recorder.remove_recorder(others[1])

    clusters.run(scenario())


def test_leader_removed_by_a_client_hands_on_first() -> None:
    """The client follows the hint and the new leader removes the old."""

    async def scenario() -> None:
        cluster = await _started()
        old = await cluster.leader()
        await cluster.client().remove_recorder(old, 5)
        new = await cluster.leader()
        assert new != old
        rows = cluster.nodes[new].recorder.status().recorders
        assert old not in {row.member.host_id for row in rows}
        await _fill(cluster, 3)

    clusters.run(scenario())


def test_two_changes_at_once_are_refused() -> None:
    """The second one is told so."""

    async def scenario() -> None:
        cluster = await _started()
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


@pytest.mark.parametrize('failure', [errno.EIO, errno.ENOSPC])
def test_leader_with_a_failing_disk_steps_down(failure: int) -> None:
    """It answers nothing, leads no more and votes no more."""

    async def scenario() -> None:
        cluster = await _started()
        before = await _fill(cluster, 3)
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
        after = await _fill(cluster, 3, 'y')
        for applied in await cluster.settled():
            assert applied[:3] == before
            assert applied[-3:] == after
        # Of three, one failed and one is down: its vote must not help.
        cluster.crash(await cluster.leader())
        await asyncio.sleep(30)
        left = next(iter(cluster.nodes.values()))
        assert not left.recorder.status().leader

    clusters.run(scenario())


def test_late_follower_catches_up_by_snapshot() -> None:
    """Pieces, a compacted log, and entries behind the snapshot."""

    async def scenario() -> None:
        cluster = await _started(
            snapshot_entries=50,
            trailing_entries=10,
            piece_bytes=100,
        )
        leading = await cluster.leader()
        late = next(name for name in clusters.HOSTS if name != leading)
        cluster.crash(late)
        commands = [*await _fill(cluster, 120), *await _fill(cluster, 120, 'y')]
        await asyncio.sleep(1)
        with pytest.raises(errors.CompactedError):
            cluster.nodes[leading].recorder.read_entries(0, 10)
        cluster.network.loss = 0.05
        await cluster.boot(late)
        for applied in await cluster.settled():
            assert applied == commands
        assert cluster.nodes[late].recorder.snapshot().index > 0

    clusters.run(scenario())


def test_log_of_big_commands_stays_small() -> None:
    """Cut by bytes long before the number of entries would cut it."""

    async def scenario() -> None:
        cluster = await _started(snapshot_bytes=8000, trailing_bytes=3000)
        leading = await cluster.leader()
        late = next(name for name in clusters.HOSTS if name != leading)
        cluster.crash(late)
        commands = []
        for number in range(40):
            commands.append(b'%d:' % number + _BIG)
            await cluster.nodes[leading].recorder.propose(commands[-1])
            assert _held(cluster, leading) < _MOST_HELD
        with pytest.raises(errors.CompactedError):
            cluster.nodes[leading].recorder.read_entries(0, 10)
        await cluster.boot(late)
        for applied in await cluster.settled():
            assert applied == commands
        assert cluster.nodes[late].recorder.snapshot().index > 0
        # The one that took the snapshot in cuts its log by itself, too.
        for number in range(40, 60):
            commands.append(b'%d:' % number + _BIG)
            await cluster.nodes[leading].recorder.propose(commands[-1])
        for applied in await cluster.settled():
            assert applied == commands
        await asyncio.sleep(1)
        for host_id in clusters.HOSTS:
            assert 0 < _held(cluster, host_id) < _MOST_HELD

    clusters.run(scenario())


def test_tail_fits_its_bytes_or_is_empty() -> None:
    """A single entry above the bound isn't kept, and nothing is lost."""

    async def scenario() -> None:
        cluster = await _started(snapshot_bytes=8000, trailing_bytes=999)
        commands = [b'%d:' % number + _BIG for number in range(20)]
        leading = cluster.nodes[await cluster.leader()].recorder
        for command in commands:
            await leading.propose(command)
        await cluster.settled()
        index = await leading.take_snapshot()
        assert not leading.read_entries(index, 10)
        with pytest.raises(errors.CompactedError):
            leading.read_entries(index - 1, 10)
        for host_id in clusters.HOSTS:
            cluster.crash(host_id)
        await cluster.start()
        for applied in await cluster.settled():
            assert applied == commands

    clusters.run(scenario())


def _held(cluster: clusters.Cluster, host_id: ids.HostId) -> int:
    """Give the bytes of the entries that a recorder still has in its log."""
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
    """A host without a disk gets everything from any recorder."""

    async def scenario() -> None:
        cluster = await _started(piece_bytes=7)
        before = await _fill(cluster, 10)
        await cluster.settled()
        index = await cluster.nodes[_COW].recorder.take_snapshot()
        after = await _fill(cluster, 3, 'y')
        await cluster.settled()
        reader = cluster.client()
        covered, state = await reader.fetch_snapshot(_COW)
        assert covered == index
        assert state.split(b'\n') == before
        answer = await reader.read_entries(_COW, index, 100)
        assert [entry.payload for entry in answer.entries] == after
        assert await reader.read_barrier() >= index + 3

    clusters.run(scenario())


def test_graceful_stop_costs_no_election_timeout() -> None:
    """Another one leads before the shortest election timeout is over."""

    async def scenario() -> float:
        cluster = await _started()
        await _fill(cluster, 5)
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
        cluster = await _started()
        leading = await cluster.leader()
        others = [name for name in clusters.HOSTS if name != leading]
        await cluster.nodes[others[0]].recorder.stop()
        cluster.crash(leading)
        await asyncio.sleep(30)
        assert not cluster.nodes[others[1]].recorder.status().leader

    clusters.run(scenario())


def test_all_restart_with_everything() -> None:
    """After a power cut of all, all that was answered is there."""

    async def scenario() -> None:
        cluster = await _started(snapshot_entries=20, trailing_entries=5)
        commands = await _fill(cluster, 50)
        for host_id in clusters.HOSTS:
            cluster.crash(host_id)
        await cluster.start()
        for applied in await cluster.settled():
            assert applied == commands

    clusters.run(scenario())
