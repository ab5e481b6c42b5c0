"""Single rules of the consensus algorithm, tested with scripted peers."""

import asyncio
import copy

import pytest
from geraniumweir.common import ids
from geraniumweir.consensus import errors
from geraniumweir.consensus.tests import cluster as clusters
from geraniumweir.store import entries
from geraniumweir.wire import memory
from geraniumweir.wire.gen.consensus import ttypes


class Script:
    """The two other recorders of a cluster, scripted by the test."""

    def __init__(self, cluster: clusters.Cluster, played: ids.HostId) -> None:
        """Replace all recorders but one."""
        self.votes = False
        self.holds = 0
        self.host = played
        self.cluster = cluster
        self.peers: list[memory.MemoryPeers] = []
        self.node = cluster.nodes[played]
        for host_id in clusters.HOSTS:
            if host_id != played:
                cluster.crash(host_id)
                peer_layer = cluster.network.join(
                    host_id, clusters.address(host_id)
                )
                peer_layer.handle(ttypes.AskVote, self._vote)
                peer_layer.handle(ttypes.AppendEntries, self._append)
                self.peers.append(peer_layer)

    def other(self) -> str:
        """Return the identity of the first scripted recorder."""
        host_id = self.peers[0].host_id
        rows = self.node.recorder.status().recorders
        return next(
            row.member.identity for row in rows if row.member.host_id == host_id
        )

    def vote_request(self, last: entries.Position, term: int) -> ttypes.AskVote:
        """Return a vote request of the first scripted recorder."""
        return ttypes.AskVote(
            self.cluster_name(),
            self.node.identity,
            self.other(),
            term,
            last.index,
            last.term,
            trial=False,
            transfer=False,
        )

    def append(
        self,
        before: entries.Position,
        new: list[entries.Entry],
        term: int,
        commit: int = 0,
    ) -> ttypes.AppendEntries:
        """Return an append message of the first scripted recorder."""
        rows = [
            ttypes.LogEntry(one.index, one.term, one.kind, one.payload)
            for one in new
        ]
        return ttypes.AppendEntries(
            self.cluster_name(),
            self.node.identity,
            self.other(),
            term,
            before.index,
            before.term,
            rows,
            commit,
        )

    def cluster_name(self) -> str:
        """Return the identity of the log."""
        core = self.node.recorder.core
        return core.history.current.cluster

    async def _vote(
        self,
        _sender: ids.HostId,
        request: ttypes.AskVote,
    ) -> ttypes.VoteAnswer:
        return ttypes.VoteAnswer(0, self.votes)

    async def _append(
        self,
        _sender: ids.HostId,
        message: ttypes.AppendEntries,
    ) -> ttypes.AppendAnswer:
        match = message.previous_index + len(message.entries)
        if match > self.holds:
            await asyncio.Event().wait()
        done = ttypes.Outcome.done
        return ttypes.AppendAnswer(message.term, done, match)


async def _scripted(**sizes: int) -> Script:
    cluster = clusters.Cluster(**sizes)
    await cluster.start()
    leading = await cluster.leader()
    await cluster.nodes[leading].recorder.propose(b'first')
    await cluster.wait_until_applied()
    return Script(cluster, leading)


def _last(script: Script) -> entries.Position:
    core = script.node.recorder.core
    return core.folder.log.last


def test_old_entries_are_not_committed_by_counting() -> None:
    """Entries of older terms are committed only by one of the own term."""

    async def scenario() -> None:
        script = await _scripted(batch_entries=1)
        recorder = script.node.recorder
        committed = recorder.status().commit
        with pytest.raises(errors.UncertainError):
            await recorder.propose(b'alone', 5)
        old = _last(script)
        script.holds = old.index
        script.votes = True
        await asyncio.sleep(20)
        assert _last(script).index > old.index
        assert recorder.status().commit == committed
        script.holds = old.index + 1000
        await asyncio.sleep(5)
        assert recorder.status().commit > old.index

    clusters.run(scenario())


def test_vote_is_for_an_up_to_date_log_only() -> None:
    """An older last term or a shorter log gets no vote; an equal one does."""

    async def scenario() -> list[bool]:
        script = await _scripted()
        await asyncio.sleep(3)
        last = _last(script)
        asks = [
            (last.index - 1, last.term),
            (last.index + 5, last.term - 1),
            (last.index, last.term),
        ]
        granted = []
        for place, (index, term) in enumerate(asks):
            position = entries.Position(index, term)
            request = script.vote_request(position, last.term + 1 + place)
            answer = await script.peers[0].call(script.host, request, 1)
            granted.append(answer.granted)
        return granted

    assert clusters.run(scenario()) == [False, False, True]


def test_one_vote_in_a_term_also_after_a_crash() -> None:
    """The vote is durable before it is answered."""

    async def scenario() -> list[bool]:
        cluster = clusters.Cluster()
        await cluster.start()
        leading = await cluster.leader()
        script = Script(cluster, leading)
        await asyncio.sleep(3)
        last = _last(script)
        request = script.vote_request(last, last.term + 1)
        first = await script.peers[0].call(leading, request, 1)
        cluster.crash(leading)
        script.node = await cluster.boot(leading)
        request = script.vote_request(last, last.term + 1)
        rival = copy.copy(request)
        rival.candidate = 'another'
        other = await script.peers[1].call(leading, rival, 1)
        again = await script.peers[0].call(leading, request, 1)
        return [first.granted, other.granted, again.granted]

    assert clusters.run(scenario()) == [True, False, True]


def test_entries_of_a_leader_that_was_voted_out_are_not_acknowledged() -> None:
    """A vote in a newer term, given during a sync, makes the append stale."""

    async def scenario() -> int:
        script = await _scripted()
        await asyncio.sleep(3)
        last = _last(script)
        entry = entries.Entry(last.index + 1, last.term + 1, 0, b'late')
        message = script.append(last, [entry], last.term + 1)
        request = script.vote_request(
            entries.Position(last.index + 9, last.term + 2),
            last.term + 2,
        )
        request.transfer = True
        first, second = script.peers
        answer, vote = await asyncio.gather(
            first.call(script.host, message, 1),
            second.call(script.host, request, 1),
        )
        assert vote.granted
        return answer.outcome

    assert clusters.run(scenario()) == ttypes.Outcome.stale_term


def test_late_message_truncates_nothing() -> None:
    """A repeated message with older entries keeps newer ones."""

    async def scenario() -> None:
        script = await _scripted()
        await asyncio.sleep(3)
        last = _last(script)
        term = last.term + 1
        new = [
            entries.Entry(last.index + 1 + place, term, 0, b'%d' % place)
            for place in range(3)
        ]
        peer_layer = script.peers[0]
        await peer_layer.call(script.host, script.append(last, new, term), 1)
        repeat = script.append(last, new[:1], term)
        answer = await peer_layer.call(script.host, repeat, 1)
        assert answer.index == last.index + 1
        assert _last(script).index == last.index + 3

    clusters.run(scenario())


def test_only_what_matches_is_committed() -> None:
    """A commit index beyond the entries that match is not adopted."""

    async def scenario() -> None:
        script = await _scripted()
        await asyncio.sleep(3)
        last = _last(script)
        term = last.term + 1
        stale = entries.Entry(last.index + 1, term, 0, b'stale')
        peer_layer = script.peers[0]
        await peer_layer.call(
            script.host, script.append(last, [stale], term), 1
        )
        beyond = script.append(last, [], term + 1, last.index + 1)
        await peer_layer.call(script.host, beyond, 1)
        assert script.node.recorder.status().commit == last.index
        assert b'stale' not in script.node.machine.commands

    clusters.run(scenario())


def test_leader_counts_its_own_copy_only_once_synced() -> None:
    """With one follower's copy, a commit waits for the leader's fsync."""

    async def scenario() -> tuple[bool, bool]:
        script = await _scripted()
        network = script.cluster.network
        network.cut(script.peers[1].host_id, script.host)
        script.cluster.fsync_seconds = (0.8, 0.8)
        script.holds = 1000
        recorder = script.node.recorder
        waiting = asyncio.create_task(recorder.propose(b'slow', 5))
        await asyncio.sleep(0.7)
        early = waiting.done()
        await asyncio.sleep(0.2)
        return early, waiting.done()

    assert clusters.run(scenario()) == (False, True)
