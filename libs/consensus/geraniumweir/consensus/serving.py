"""Requests of other hosts: proposals, read barriers, reads and status."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import (
    core,
    errors,
    leading,
    members,
    membership_change,
    replication,
)
from geraniumweir.store import entries
from geraniumweir.wire.gen.consensus import ttypes

_MS_PER_SECOND = 1000
_MAX_ENTRIES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RecorderRow:
    """Status of one member of the log.

    :ivar member: the recorder.
    :ivar match_index: index up to which all entries are known to be durable
        there; 0 for other recorders when this one is not the leader.
    :ivar reachable: whether it answered within the maximum election timeout.
    :ivar silence: time since the newest answered message was sent, but not
        more than since the leader began to send to it, in seconds.
    """

    member: members.Member
    match_index: int
    reachable: bool
    silence: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of the log as seen by one recorder.

    :ivar identity: identity of its data folder.
    :ivar role: its role in the current term.
    :ivar term: the current term.
    :ivar leader: host of the live leader, or empty.
    :ivar commit: commit index.
    :ivar applied: last applied index.
    :ivar last_index: index of the log's last entry.
    :ivar recorders: status of all members.
    :ivar failure: reason why this recorder failed or was stopped, or empty.
    """

    identity: members.RecorderId
    role: core.Role
    term: int
    leader: ids.HostId
    commit: int
    applied: int
    last_index: int
    recorders: tuple[RecorderRow, ...]
    failure: str


def status(this: core.Core) -> Status:
    """Return the status of the log as seen by this recorder."""
    return Status(
        identity=this.identity,
        role=this.role,
        term=this.term,
        leader=current_leader(this),
        commit=this.commit.height,
        applied=this.applied.height,
        last_index=this.folder.log.last.index,
        recorders=rows(this),
        failure=this.failure,
    )


def rows(this: core.Core) -> tuple[RecorderRow, ...]:
    """Return the status of all members as seen by this recorder."""
    return tuple(
        _row(this, member) for member in this.history.current.recorders
    )


def current_leader(this: core.Core) -> ids.HostId:
    """Return the host of the live leader, or empty."""
    leader = this.history.current.find(this.leader)
    if leader is None or not this.has_live_leader():
        return ids.HostId('')
    return leader.host_id


def leads_since(this: core.Core, at: float) -> bool:
    """Return whether a majority is known to have followed since a time.

    :param at: the time, in loop time.
    """
    if this.leadership is None:
        return False
    return leading.majority_contact(this, this.leadership) >= at


async def barrier(this: core.Core, timeout: float) -> int:
    """Confirm leadership and wait until the read index is applied.

    :param timeout: for each of the two steps, in seconds.
    :returns: the read index.
    :raises errors.NoQuorumError: when a step takes too long.
    """
    index = await leading.confirm(this, timeout)
    try:
        async with asyncio.timeout(timeout):
            await this.applied.reach(index)
    except TimeoutError as exc:
        raise errors.NoQuorumError('not applied in time') from exc
    return index


def read_entries(
    this: core.Core,
    after: int,
    limit: int,
) -> list[entries.Entry]:
    """Return committed entries after an index.

    :raises errors.CompactedError: when they were compacted.
    """
    left = max(this.commit.height - after, 0)
    try:
        return this.folder.log.read(
            after,
            min(limit, left),
            this.env.cfg.batch_bytes,
        )
    except LookupError as exc:
        raise errors.CompactedError(str(exc)) from exc


async def answer_propose(
    this: core.Core,
    request: ttypes.Propose,
) -> ttypes.ProposeAnswer:
    """Answer a proposal of another host."""
    work = leading.propose(
        this, request.command, request.timeout_ms / _MS_PER_SECOND
    )
    return await _verdict(work)


async def answer_barrier(
    this: core.Core,
    request: ttypes.AskBarrier,
) -> ttypes.ProposeAnswer:
    """Answer a read barrier of another host with the read index."""
    return await _verdict(barrier(this, request.timeout_ms / _MS_PER_SECOND))


async def answer_change(
    this: core.Core,
    request: ttypes.ChangeRecorders,
) -> ttypes.ProposeAnswer:
    """Answer a membership change requested by another host."""
    timeout = request.timeout_ms / _MS_PER_SECOND
    host_id = ids.HostId(request.host_id)
    if request.kind == ttypes.ChangeKind.add:
        return await _verdict(
            membership_change.add(this, host_id, request.address, timeout),
        )
    return await _verdict(membership_change.remove(this, host_id, timeout))


async def answer_entries(
    this: core.Core,
    request: ttypes.ReadEntries,
) -> ttypes.EntriesAnswer:
    """Answer a request for committed entries."""
    limit = min(request.limit, _MAX_ENTRIES)
    try:
        batch = read_entries(this, request.after_index, limit)
    except errors.CompactedError:
        return ttypes.EntriesAnswer([], this.commit.height, compacted=True)
    found = [replication.to_wire(entry) for entry in batch]
    return ttypes.EntriesAnswer(found, this.commit.height, compacted=False)


async def answer_snapshot(
    this: core.Core,
    request: ttypes.FetchSnapshot,
) -> ttypes.SnapshotContent:
    """Answer a request for a chunk of the newest snapshot.

    When that is another snapshot than requested, its first chunk is returned.
    """
    newest = this.folder.snapshots.newest
    offset = request.offset if request.index == newest.index else 0
    end = offset + this.env.cfg.piece_bytes
    return ttypes.SnapshotContent(
        newest.index,
        len(newest.state),
        offset,
        newest.state[offset:end],
    )


async def answer_status(
    this: core.Core,
    _ask: ttypes.AskStatus,
) -> ttypes.StatusAnswer:
    """Answer a request for this recorder's status."""
    view = status(this)
    wire_rows = [
        ttypes.RecorderStatus(
            members.to_wire(row.member),
            row.match_index,
            row.reachable,
        )
        for row in view.recorders
    ]
    return ttypes.StatusAnswer(
        view.identity,
        view.role.value,
        view.term,
        view.leader,
        view.commit,
        view.applied,
        view.last_index,
        wire_rows,
        view.failure,
    )


async def _verdict(
    work: typing.Awaitable[bytes | int | None],
) -> ttypes.ProposeAnswer:
    try:
        done = await work
    except errors.ConsensusError as exc:
        return _refusal(exc)
    answer = done if isinstance(done, bytes) else b''
    index = done if isinstance(done, int) else 0
    verdict = ttypes.Verdict.done
    return ttypes.ProposeAnswer(verdict, answer, index, '', '', '')


def _refusal(exc: errors.ConsensusError) -> ttypes.ProposeAnswer:
    verdict = ttypes.Verdict.failed
    leader = ''
    address = ''
    match exc:
        case errors.NotLeaderError():
            verdict = ttypes.Verdict.not_leader
            leader = exc.leader
            address = exc.address
        case errors.NoQuorumError():
            verdict = ttypes.Verdict.no_quorum
        case errors.UncertainError():
            verdict = ttypes.Verdict.uncertain
        case errors.RefusedError() | errors.TooLargeError():
            verdict = ttypes.Verdict.refused
    return ttypes.ProposeAnswer(
        verdict,
        b'',
        0,
        leader,
        address,
        exc.message,
    )


def _row(this: core.Core, member: members.Member) -> RecorderRow:
    if member.identity == this.identity:
        return RecorderRow(member, this.folder.log.synced_index, True)
    if this.leadership is None:
        return RecorderRow(member, 0, False)
    progress = this.leadership.progress[member.identity]
    silence = this.timers.now() - progress.last_contact_at
    reachable = silence <= this.env.cfg.election_max
    # A recorder can't have been silent for longer than it has been sent to.
    silence = min(silence, this.timers.now() - progress.started_at)
    return RecorderRow(member, progress.match, reachable, silence)
