"""Transfer of snapshots to a recorder that needs compacted entries.

A snapshot is sent in chunks of bounded size. A lost chunk is sent again, and
each answer of the receiver contains the offset to continue at.

References
==========
.. [1] D. Ongaro, PhD thesis, chapter 5, "Log compaction".
"""

import asyncio

import xxhash
from geraniumweir.consensus import core, leadership, logevents
from geraniumweir.store import snapshots
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes

_SIGN_BITS = 1


async def send_snapshot(
    this: core.Core,
    leader_state: leadership.LeaderState,
    progress: leadership.Progress,
) -> None:
    """Send the newest snapshot until it is installed or a call fails."""
    newest = this.folder.snapshots.newest
    offset = 0
    while not leader_state.ended:
        sent_at = this.timers.now()
        piece = _piece(this, leader_state, progress, newest, offset)
        answer = await _call(this, progress, piece)
        if answer is None:
            await asyncio.sleep(this.env.cfg.heartbeat)
            return
        if answer.outcome != ttypes.Outcome.done:
            this.enter_term(answer.term, 'a newer term was met')
            progress.replaced = answer.outcome == ttypes.Outcome.wrong_recorder
            return
        leader_state.record_contact(progress, sent_at)
        offset = answer.offset
        if answer.installed:
            _record_installed(this, progress, newest)
            return


def checksum(state: bytes) -> int:
    """Return a checksum that fits into a signed 64-bit field."""
    return xxhash.xxh3_64_intdigest(state) >> _SIGN_BITS


async def _call(
    this: core.Core,
    progress: leadership.Progress,
    piece: ttypes.SnapshotPiece,
) -> ttypes.PieceAnswer | None:
    try:
        return await this.env.peers.call(
            progress.member.host_id,
            piece,
            this.env.cfg.election_max,
        )
    except wire_errors.PeerError:
        return None


def _piece(
    this: core.Core,
    leader_state: leadership.LeaderState,
    progress: leadership.Progress,
    newest: snapshots.Snapshot,
    offset: int,
) -> ttypes.SnapshotPiece:
    end = offset + this.env.cfg.piece_bytes
    return ttypes.SnapshotPiece(
        cluster=this.history.current.cluster,
        to=progress.member.identity,
        leader=this.identity,
        term=leader_state.term,
        index=newest.index,
        index_term=newest.term,
        members=newest.members,
        total=len(newest.state),
        checksum=checksum(newest.state),
        offset=offset,
        content=newest.state[offset:end],
    )


def _record_installed(
    this: core.Core,
    progress: leadership.Progress,
    newest: snapshots.Snapshot,
) -> None:
    progress.match = max(progress.match, newest.index)
    progress.next_index = progress.match + 1
    progress.probing = False
    progress.send_due = True
    this.env.report(
        logevents.SNAPSHOT_SENT,
        index=newest.index,
        host=progress.member.host_id,
    )
