"""Application of committed entries, snapshots and log compaction."""

import asyncio

from geraniumweir.consensus import core, logevents, machines, members
from geraniumweir.store import entries, log, snapshots

_BATCH = 256


def restore(this: core.Core) -> None:
    """Restore the state machine from the newest durable snapshot."""
    newest = this.folder.snapshots.newest
    if newest.index:
        this.env.machine.restore(newest.state)
    if this.folder.torn_bytes:
        this.env.report(
            logevents.TORN_WRITE_REMOVED, lost=this.folder.torn_bytes
        )


async def apply_committed(this: core.Core) -> None:
    """Apply entries as they are committed, until the recorder stops."""
    while True:
        await this.commit.reach(this.applied.height + 1)
        _apply_batch(this)
        if _is_snapshot_due(this):
            start_snapshot(this)
        # A long catch-up must not delay heartbeats.
        await asyncio.sleep(0)


async def install_snapshot(
    this: core.Core, snapshot: snapshots.Snapshot
) -> None:
    """Install a durable snapshot of the leader, unless it is outdated."""
    if snapshot.index <= this.applied.height:
        return
    last = this.folder.log.term_at(snapshot.index)
    if last != snapshot.term:
        this.history = members.History(
            snapshot.index,
            members.decode(snapshot.members),
        )
    log.match_snapshot(this.folder.log, snapshot)
    this.env.machine.restore(snapshot.state)
    this.applied.raise_to(snapshot.index)
    this.commit.raise_to(snapshot.index)
    this.update_caught_up()
    this.changes.on_next(machines.Restored(snapshot.index))
    this.env.report(logevents.SNAPSHOT_INSTALLED, index=snapshot.index)
    await this.folder.log.sync()


def _apply_batch(this: core.Core) -> None:
    left = this.commit.height - this.applied.height
    batch = this.folder.log.read(
        this.applied.height,
        min(left, _BATCH),
        this.env.cfg.batch_bytes,
    )
    for entry in batch:
        answer = _apply(this, entry)
        this.applied.raise_to(entry.index)
        this.snapshot_progress.unsaved_bytes += len(entry.payload)
        _answer_waiter(this, entry.index, answer)
    this.update_caught_up()


def _apply(this: core.Core, entry: entries.Entry) -> bytes:
    if entry.kind != machines.Kind.command:
        return b''
    answer = this.env.machine.apply(entry.index, entry.payload)
    change = machines.Applied(entry.index, entry.payload, answer)
    this.changes.on_next(change)
    return answer


def _answer_waiter(this: core.Core, index: int, answer: bytes) -> None:
    if this.leadership is None:
        return
    fut = this.leadership.waiters.pop(index, None)
    if fut is not None and not fut.done():
        fut.set_result(answer)


def start_snapshot(this: core.Core) -> None:
    """Take a snapshot, unless one is being taken."""
    if not this.snapshot_progress.in_progress:
        this.snapshot_progress.in_progress = True
        this.spawn(_take_snapshot(this))


def _is_snapshot_due(this: core.Core) -> bool:
    cfg = this.env.cfg
    late = this.applied.height - this.folder.snapshots.newest.index
    if late >= cfg.snapshot_entries:
        return True
    return this.snapshot_progress.unsaved_bytes >= cfg.snapshot_bytes


async def _take_snapshot(this: core.Core) -> None:
    try:
        await take_snapshot(this)
    finally:
        this.snapshot_progress.in_progress = False


async def take_snapshot(this: core.Core) -> int:
    """Save a snapshot of the current state and compact the log.

    :returns: the index of the last entry that the snapshot covers.
    """
    index = this.applied.height
    this.snapshot_progress.unsaved_bytes = 0
    snapshot = snapshots.Snapshot(
        index,
        this.folder.log.term_at(index) or 0,
        members.encode(this.history.at(index)),
        this.env.machine.snapshot(),
    )
    await this.folder.snapshots.save(snapshot)
    this.env.report(
        logevents.SNAPSHOT_TAKEN,
        size=len(snapshot.state),
        index=index,
    )
    this.history.discard_before(index)
    compact_index = this.folder.log.retained_start(
        index,
        this.env.cfg.trailing_entries,
        this.env.cfg.trailing_bytes,
    )
    await this.folder.log.compact_to(compact_index)
    return index
