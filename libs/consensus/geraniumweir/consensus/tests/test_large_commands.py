"""Commands near and over the size that the log accepts."""

import asyncio

import pytest
from geraniumweir.consensus import errors, machines
from geraniumweir.consensus.tests import cluster as clusters
from geraniumweir.store import entries, log
from geraniumweir.wire import framing

_LARGEST = bytes(framing.MAX_PAYLOAD_BYTES - 1)
_TOO_LARGE = bytes(framing.MAX_FRAME_BYTES)


def _large(number: int) -> bytes:
    return b'%d' % number + _LARGEST


def test_too_large_command_is_refused_and_blocks_no_other() -> None:
    """It would be appended but never replicated, nor would any after it."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = cluster.nodes[await cluster.leader()].recorder
        last = leading.status().last_index
        with pytest.raises(errors.TooLargeError, match='3670016'):
            await leading.propose(_TOO_LARGE)
        assert leading.status().last_index == last
        with pytest.raises(errors.TooLargeError):
            await cluster.client().propose(_TOO_LARGE)
        await leading.propose(b'next')
        for applied in await cluster.wait_until_applied():
            assert applied == [b'next']

    clusters.run(scenario())


def test_largest_commands_are_replicated_in_a_batch() -> None:
    """Several of them are proposed at once, from the leader and elsewhere."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = cluster.nodes[await cluster.leader()].recorder
        client = cluster.client()
        await asyncio.gather(
            *(leading.propose(_large(number)) for number in range(4)),
            client.propose(_large(4)),
            leading.propose(b'small'),
        )
        for applied in await cluster.wait_until_applied():
            assert len(applied) == 6

    clusters.run(scenario())


def test_largest_commands_reach_a_follower_that_was_away() -> None:
    """By entries, and by a snapshot once they are compacted."""

    async def scenario() -> None:
        cluster = await clusters.started()
        leading = await cluster.leader()
        late = next(name for name in clusters.HOSTS if name != leading)
        for compacted in (False, True):
            cluster.crash(late)
            leader = cluster.nodes[leading].recorder
            await leader.propose(_large(2 * compacted))
            await leader.propose(_large(2 * compacted + 1))
            if compacted:
                await leader.take_snapshot()
            await cluster.boot(late)
            expected = 2 * (1 + compacted)
            for applied in await cluster.wait_until_applied():
                assert len(applied) == expected

    clusters.run(scenario())


def _log_of(node: clusters.Node) -> log.Log:
    return node.recorder.core.folder.log


def _append_too_large(node: clusters.Node) -> None:
    """Append an entry as a build without a limit did."""
    core = node.recorder.core
    index = _log_of(node).last.index + 1
    kind = machines.Kind.command
    core.append([entries.Entry(index, core.term, kind, _TOO_LARGE)])


@pytest.mark.parametrize('seed', range(6))
def test_too_large_entry_of_an_earlier_build_blocks_no_log(seed: int) -> None:
    """All recorders restart; only the former leader has the entry."""

    async def scenario() -> None:
        cluster = await clusters.started(seed)
        before = await clusters.fill(cluster, 3)
        leading = await cluster.leader()
        _append_too_large(cluster.nodes[leading])
        await _log_of(cluster.nodes[leading]).sync()
        for host_id in clusters.HOSTS:
            cluster.crash(host_id)
        await cluster.start()
        async with asyncio.timeout(60):
            await cluster.client().propose(b'next', 60)
            for applied in await cluster.wait_until_applied():
                assert applied == [*before, b'next']

    clusters.run(scenario())


def test_too_large_entry_of_a_single_recorder_is_sent_by_snapshot() -> None:
    """It was committed while the log had one recorder."""

    async def scenario() -> None:
        cluster = await clusters.started(snapshot_bytes=2 * len(_TOO_LARGE))
        for host_id in clusters.HOSTS[1:]:
            await cluster.client().remove_recorder(host_id)
        alone = cluster.nodes[clusters.HOSTS[0]]
        _append_too_large(alone)
        await alone.recorder.propose(b'next')
        cluster.crash(clusters.HOSTS[1])
        cluster.empty(clusters.HOSTS[1])
        await cluster.boot(clusters.HOSTS[1])
        await cluster.client().add_recorder(clusters.HOSTS[1], timeout=20)
        added = cluster.nodes[clusters.HOSTS[1]]
        async with asyncio.timeout(60):
            while added.machine.commands != alone.machine.commands:
                await asyncio.sleep(0.1)
        assert _TOO_LARGE in added.machine.commands

    clusters.run(scenario())
