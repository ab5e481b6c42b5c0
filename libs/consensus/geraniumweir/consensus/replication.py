"""One task for each other recorder, which sends it the log.

Entries go in batches, several of them under way at once. After a refusal or a
loss the task probes with empty messages until it knows where to go on.
"""

import asyncio
import contextlib

from geraniumweir.consensus import (
    core,
    logevents,
    leadership,
    snapshot_transfer,
)
from geraniumweir.store import entries
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes


async def replicate(
    this: core.Core,
    led: leadership.LeaderState,
    progress: leadership.Progress,
) -> None:
    """Keep one recorder up to date for as long as the reign lasts."""
    while not led.ended:
        before = progress.next_index - 1
        if this.folder.log.term_at(before) is None:
            await snapshot_transfer.ship_snapshot(this, led, progress)
        else:
            _send(this, led, progress)
        await _wait_for_work(this, progress)


def count_copies(this: core.Core, led: leadership.LeaderState) -> None:
    """Commit what a majority holds."""
    if led.ended:
        return
    index = _majority_match(this, led)
    if index < led.start_index or index <= this.commit.height:
        return
    this.commit.raise_to(index)
    led.notify()
    for progress in led.progress.values():
        if progress.under_way == 0:
            progress.nudge()


def to_wire(entry: entries.Entry) -> ttypes.LogEntry:
    """Make the struct of an entry."""
    return ttypes.LogEntry(
        entry.index,
        entry.term,
        int(entry.kind),
        entry.payload,
    )


def _majority_match(this: core.Core, led: leadership.LeaderState) -> int:
    copies = [
        this.folder.log.synced_index
        if member.identity == this.identity
        else led.progress[member.identity].match
        for member in this.history.current.voters
    ]
    copies.sort(reverse=True)
    return copies[this.history.current.majority - 1]


def _send(
    this: core.Core,
    led: leadership.LeaderState,
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
        term=led.term,
        previous_index=before,
        previous_term=log.term_at(before),
        entries=[to_wire(entry) for entry in batch],
        commit=this.commit.height,
    )
    progress.next_index += len(batch)
    progress.nudged = False
    progress.under_way += 1
    led.keep_message(this.spawn(_exchange(this, led, progress, message)))


async def _wait_for_work(
    this: core.Core, progress: leadership.Progress
) -> None:
    """Return when there is something to send, at the latest at a heartbeat."""
    cfg = this.env.cfg
    due = this.timers.now() + cfg.heartbeat
    while True:
        late = this.timers.now() >= due
        if progress.under_way < cfg.window and (
            late or _has_work(this, progress)
        ):
            return
        progress.wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(None if late else due):
                await progress.wake.wait()


def _has_work(this: core.Core, progress: leadership.Progress) -> bool:
    if progress.nudged:
        return True
    more = progress.next_index <= this.folder.log.last.index
    return more and not progress.probing


async def _exchange(
    this: core.Core,
    led: leadership.LeaderState,
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
    except wire_errors.PeerError:
        progress.back_up()
        return
    finally:
        progress.under_way -= 1
        progress.wake.set()
    if not led.ended:
        _take_answer(this, led, progress, answer, sent_at)


def _take_answer(
    this: core.Core,
    led: leadership.LeaderState,
    progress: leadership.Progress,
    answer: ttypes.AppendAnswer,
    sent_at: float,
) -> None:
    match answer.outcome:
        case ttypes.Outcome.done:
            led.contacted(progress, sent_at)
            _note_match(progress, answer.index)
            count_copies(this, led)
        case ttypes.Outcome.conflict:
            led.contacted(progress, sent_at)
            _go_back(progress, answer.index)
        case ttypes.Outcome.wrong_recorder:
            note_replaced(this, progress)
        case _:
            this.enter_term(answer.term, 'a newer term was met')


def _note_match(progress: leadership.Progress, index: int) -> None:
    progress.match = max(progress.match, index)
    progress.next_index = max(progress.next_index, progress.match + 1)
    progress.probing = False
    progress.replaced = False


def _go_back(progress: leadership.Progress, index: int) -> None:
    wanted = min(progress.next_index, index)
    progress.next_index = max(wanted, progress.match + 1)
    progress.probing = True
    # Look again at once, but never in a closed circle with a late answer.
    if progress.under_way == 0:
        progress.nudge()


def note_replaced(this: core.Core, progress: leadership.Progress) -> None:
    """Note that a host's data folder is not the one that was added."""
    progress.back_up()
    if progress.replaced:
        return
    progress.replaced = True
    this.env.report(
        logevents.WRONG_RECORDER,
        host=progress.member.host_id,
        identity=progress.member.identity,
    )
