"""Replication of the log: one sending task for each other recorder.

Entries are sent in batches, several of them in flight. After a conflict or a
lost message the task probes with empty messages until an answer shows where
the logs match.
"""

import asyncio
import contextlib

from geraniumweir.consensus import (
    applying,
    core,
    leadership,
    logevents,
    snapshot_transfer,
)
from geraniumweir.store import entries
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes


async def replicate(
    this: core.Core,
    leader_state: leadership.LeaderState,
    progress: leadership.Progress,
) -> None:
    """Send entries or a snapshot to one recorder until leadership ends."""
    while not leader_state.ended:
        before = progress.next_index - 1
        if this.folder.log.term_at(before) is None:
            await snapshot_transfer.send_snapshot(this, leader_state, progress)
        else:
            _send(this, leader_state, progress)
        await _wait_for_work(this, progress)


def advance_commit_index(
    this: core.Core, leader_state: leadership.LeaderState
) -> None:
    """Raise the commit index to what is durable on a majority."""
    if leader_state.ended:
        return
    index = _majority_match(this, leader_state)
    if index < leader_state.start_index or index <= this.commit.height:
        return
    this.commit.raise_to(index)
    leader_state.proposals.committed(index, this.timers.now())
    leader_state.notify()
    for progress in leader_state.progress.values():
        if progress.in_flight == 0:
            progress.request_send()


def to_wire(entry: entries.Entry) -> ttypes.LogEntry:
    """Return the thrift struct of an entry."""
    return ttypes.LogEntry(
        entry.index,
        entry.term,
        int(entry.kind),
        entry.payload,
    )


def _majority_match(
    this: core.Core, leader_state: leadership.LeaderState
) -> int:
    copies = [
        this.folder.log.synced_index
        if member.identity == this.identity
        else leader_state.progress[member.identity].match
        for member in this.history.current.voters
    ]
    copies.sort(reverse=True)
    return copies[this.history.current.majority - 1]


def _send(
    this: core.Core,
    leader_state: leadership.LeaderState,
    progress: leadership.Progress,
) -> None:
    cfg = this.env.cfg
    log = this.folder.log
    before = progress.next_index - 1
    batch: list[entries.Entry] = []
    if not progress.probing:
        batch = log.read(before, cfg.batch_entries, cfg.batch_bytes)
    message = ttypes.AppendEntries(
        cluster=this.history.current.cluster,
        to=progress.member.identity,
        leader=this.identity,
        term=leader_state.term,
        previous_index=before,
        previous_term=log.term_at(before),
        entries=[to_wire(entry) for entry in batch],
        commit=this.commit.height,
    )
    progress.next_index += len(batch)
    progress.send_due = False
    progress.in_flight += 1
    leader_state.add_message_task(
        this.spawn(_exchange(this, leader_state, progress, message))
    )


async def _wait_for_work(
    this: core.Core, progress: leadership.Progress
) -> None:
    """Wait until a message is due: new entries, a request or a heartbeat."""
    cfg = this.env.cfg
    due = this.timers.now() + cfg.heartbeat
    while True:
        late = this.timers.now() >= due
        if progress.in_flight < cfg.window and (
            late or _has_work(this, progress)
        ):
            return
        progress.wakeup.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(None if late else due):
                await progress.wakeup.wait()


def _has_work(this: core.Core, progress: leadership.Progress) -> bool:
    if progress.send_due:
        return True
    more = progress.next_index <= this.folder.log.last.index
    return more and not progress.probing


async def _exchange(
    this: core.Core,
    leader_state: leadership.LeaderState,
    progress: leadership.Progress,
    message: ttypes.AppendEntries,
) -> None:
    sent_at = this.timers.now()
    try:
        answer = await this.env.peers.call(
            progress.member.host_id,
            message,
            this.env.cfg.election_min,
        )
    except wire_errors.OversizeError:
        progress.reset_next_index()
        _handle_oversize(this, progress, message)
        return
    except wire_errors.PeerError:
        progress.reset_next_index()
        return
    finally:
        progress.in_flight -= 1
        progress.wakeup.set()
    if not leader_state.ended:
        _handle_answer(this, leader_state, progress, answer, sent_at)


def _handle_oversize(
    this: core.Core,
    progress: leadership.Progress,
    message: ttypes.AppendEntries,
) -> None:
    """Find another way for an entry that no message can carry.

    Such an entry was appended by a build that accepted commands of any size.
    """
    entry = message.entries[0]
    if entry.index != progress.oversize_index:
        progress.oversize_index = entry.index
        this.env.report(
            logevents.ENTRY_TOO_LARGE,
            index=entry.index,
            size=len(entry.payload),
            host=progress.member.host_id,
        )
    if entry.index <= this.applied.height:
        # Committed while the log had one recorder; a snapshot covers it.
        applying.start_snapshot(this)
    elif entry.index > this.commit.height:
        # No other recorder has it: one of those can lead and replace it.
        this.become_follower(f'entry {entry.index} cannot be replicated')


def _handle_answer(
    this: core.Core,
    leader_state: leadership.LeaderState,
    progress: leadership.Progress,
    answer: ttypes.AppendAnswer,
    sent_at: float,
) -> None:
    match answer.outcome:
        case ttypes.Outcome.done:
            leader_state.record_contact(progress, sent_at)
            _record_match(progress, answer.index)
            advance_commit_index(this, leader_state)
        case ttypes.Outcome.conflict:
            leader_state.record_contact(progress, sent_at)
            _handle_conflict(progress, answer.index)
        case ttypes.Outcome.wrong_recorder:
            record_replaced(this, progress)
        case _:
            this.enter_term(answer.term, 'a newer term was met')


def _record_match(progress: leadership.Progress, index: int) -> None:
    progress.match = max(progress.match, index)
    progress.next_index = max(progress.next_index, progress.match + 1)
    progress.probing = False
    progress.replaced = False


def _handle_conflict(progress: leadership.Progress, index: int) -> None:
    wanted = min(progress.next_index, index)
    progress.next_index = max(wanted, progress.match + 1)
    progress.probing = True
    # Probe again at once, but not while messages are in flight: a late answer
    # would request probes in an endless loop.
    if progress.in_flight == 0:
        progress.request_send()


def record_replaced(this: core.Core, progress: leadership.Progress) -> None:
    """Record that a host has another data folder than the one added."""
    progress.reset_next_index()
    if progress.replaced:
        return
    progress.replaced = True
    this.env.report(
        logevents.WRONG_RECORDER,
        host=progress.member.host_id,
        identity=progress.member.identity,
    )
