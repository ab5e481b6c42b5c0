"""Handling of a leader's append entries and snapshot chunks by a follower.

References
==========
.. [1] D. Ongaro, J. Ousterhout, USENIX ATC 2014, section 5.3: an
   entry is appended only where the preceding entries match.
"""

import typing

from geraniumweir.consensus import (
    applying,
    core,
    logevents,
    members,
    snapshot_transfer,
)
from geraniumweir.store import entries, snapshots
from geraniumweir.wire.gen.consensus import ttypes


async def handle_append_entries(
    this: core.Core,
    message: ttypes.AppendEntries,
) -> ttypes.AppendAnswer:
    """Append a leader's entries, and answer once they are durable.

    :raises errors.RecorderFailedError: when this recorder has failed.
    """
    outcome = _accept_leader(this, message)
    if outcome != ttypes.Outcome.done:
        return ttypes.AppendAnswer(this.term, outcome, 0)
    this.leader_contact.committed = max(
        this.leader_contact.committed, message.commit
    )
    this.leader_contact.commit_seen_at = this.leader_contact.last_seen_at
    this.update_caught_up()
    hint = _find_conflict(this, message)
    if hint is not None:
        await this.folder.vote_store.wait_durable()
        conflict = ttypes.Outcome.conflict
        return ttypes.AppendAnswer(message.term, conflict, hint)
    this.append(_new_entries(this, message))
    match = message.previous_index + len(message.entries)
    await this.folder.vote_store.wait_durable()
    await this.folder.log.sync()
    this.check_not_failed()
    if this.term != message.term:
        stale = ttypes.Outcome.stale_term
        return ttypes.AppendAnswer(this.term, stale, 0)
    this.commit.raise_to(min(message.commit, match))
    return ttypes.AppendAnswer(message.term, ttypes.Outcome.done, match)


async def handle_snapshot_piece(
    this: core.Core,
    piece: ttypes.SnapshotPiece,
) -> ttypes.PieceAnswer:
    """Store a chunk of a snapshot, and install it after the last one.

    :raises errors.RecorderFailedError: when this recorder has failed.
    """
    async with this.incoming.lock:
        return await _handle_piece(this, piece, this.incoming)


async def _handle_piece(
    this: core.Core,
    piece: ttypes.SnapshotPiece,
    incoming: core.IncomingSnapshot,
) -> ttypes.PieceAnswer:
    outcome = _accept_leader(this, piece)
    if outcome != ttypes.Outcome.done:
        return ttypes.PieceAnswer(this.term, outcome, 0, installed=False)
    # commit_seen_at stays: more may be committed by now than when the snapshot
    # was taken.
    this.leader_contact.committed = max(
        this.leader_contact.committed, piece.index
    )
    await this.folder.vote_store.wait_durable()
    if this.commit.height < piece.index:
        _store_piece(incoming, piece)
        if len(incoming.content) == piece.total:
            await _install(this, piece, incoming)
    return ttypes.PieceAnswer(
        piece.term,
        outcome,
        len(incoming.content),
        installed=this.commit.height >= piece.index,
    )


def _accept_leader(this: core.Core, message: typing.Any) -> int:
    """Follow the sender if it is a legitimate leader; return the outcome."""
    this.check_not_failed()
    accepted = this.history.current.accepts(message.cluster)
    if message.to != this.identity or not accepted:
        return ttypes.Outcome.wrong_recorder
    if message.term < this.term:
        return ttypes.Outcome.stale_term
    this.enter_term(message.term, 'another recorder leads')
    if this.role is core.Role.candidate:
        this.become_follower('another recorder leads')
    if this.leader != message.leader:
        this.leader = members.RecorderId(message.leader)
        this.env.report(
            logevents.FOLLOWS_LEADER,
            leader=message.leader,
            term=message.term,
        )
    this.election_timer_reset_at = this.timers.now()
    this.leader_contact.last_seen_at = this.election_timer_reset_at
    return ttypes.Outcome.done


def _find_conflict(
    this: core.Core,
    message: ttypes.AppendEntries,
) -> int | None:
    """Return the index to continue at, or None when the logs match."""
    log = this.folder.log
    if message.previous_index < log.base.index:
        # Compacted entries are committed and thus the same at every leader.
        return None
    found = log.term_at(message.previous_index)
    if found is None:
        return log.last.index + 1
    if found == message.previous_term:
        return None
    # Skip all entries of the conflicting term at once, but no committed ones.
    index = message.previous_index
    while index > this.commit.height + 1 and log.term_at(index - 1) == found:
        index -= 1
    return index


def _new_entries(
    this: core.Core,
    message: ttypes.AppendEntries,
) -> list[entries.Entry]:
    """Return the entries that are not in the log yet.

    A late message must not truncate newer entries that match it.
    """
    log = this.folder.log
    for place, entry in enumerate(message.entries):
        if entry.index <= log.base.index:
            continue
        if log.term_at(entry.index) != entry.term:
            return [_from_wire(new) for new in message.entries[place:]]
    return []


def _from_wire(entry: ttypes.LogEntry) -> entries.Entry:
    return entries.Entry(entry.index, entry.term, entry.kind, entry.payload)


def _store_piece(
    incoming: core.IncomingSnapshot, piece: ttypes.SnapshotPiece
) -> None:
    if (incoming.leader, incoming.index) != (piece.leader, piece.index):
        incoming.leader = piece.leader
        incoming.index = piece.index
        incoming.content = bytearray()
    if piece.offset == len(incoming.content):
        incoming.content += piece.content


async def _install(
    this: core.Core,
    piece: ttypes.SnapshotPiece,
    incoming: core.IncomingSnapshot,
) -> None:
    state = bytes(incoming.content)
    incoming.content = bytearray()
    if snapshot_transfer.checksum(state) != piece.checksum:
        return
    snapshot = snapshots.Snapshot(
        piece.index,
        piece.index_term,
        piece.members,
        state,
    )
    await this.folder.snapshots.save(snapshot)
    await applying.install_snapshot(this, snapshot)
