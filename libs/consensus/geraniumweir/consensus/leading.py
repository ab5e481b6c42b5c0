"""What a leader does: take proposals, count copies, know its majority.

References
==========
.. [1] D. Ongaro, J. Ousterhout, USENIX ATC 2014, sections 5.3 and 5.4.2:
   only entries of the leader's own term are committed by counting.
.. [2] D. Ongaro, PhD thesis, section 6.4, "Processing read-only queries
   more efficiently", and section 10.2.1, writing in parallel.
"""

import asyncio

from geraniumweir.consensus import (
    core,
    errors,
    logevents,
    machines,
    leadership,
    replication,
)
from geraniumweir.store import entries


def begin(this: core.Core, term: int) -> None:
    """Lead in a term that this recorder was elected in."""
    if this.role is not core.Role.candidate or this.term != term:
        return
    start = this.folder.log.last.index + 1
    this.role = core.Role.leader
    this.leader = this.identity
    this.leader_state = leadership.LeaderState(term, start)
    this.env.report(logevents.LEADS, term=term, index=start)
    append(this, this.leader_state, machines.Kind.term_start, b'')
    follow_members(this, this.leader_state)
    this.leader_state.keep(this.spawn(_sync_appended(this, this.leader_state)))
    this.leader_state.keep(this.spawn(_watch_majority(this, this.leader_state)))


def current(this: core.Core) -> leadership.LeaderState:
    """Give the reign of this recorder.

    :raises errors.NotLeaderError: when another one leads.
    :raises errors.NoQuorumError: when nobody is known to lead.
    :raises errors.RecorderFailedError: when this one stopped for good.
    """
    this.check_sound()
    if this.leader_state is not None and not this.leader_state.closing:
        return this.leader_state
    leader = this.history.current.find(this.leader)
    if leader is None or leader.identity == this.identity:
        raise errors.NoQuorumError('no recorder is known to lead')
    raise errors.NotLeaderError(
        f'{leader.host_id} leads',
        leader.host_id,
        leader.address,
    )


def append(
    this: core.Core,
    led: leadership.LeaderState,
    kind: machines.Kind,
    payload: bytes,
) -> int:
    """Add an entry of the leader's own and have it sent.

    :returns: its index.
    """
    index = this.folder.log.last.index + 1
    this.append([entries.Entry(index, led.term, kind, payload)])
    if kind is machines.Kind.members:
        follow_members(this, led)
    led.appended.set()
    for progress in led.progress.values():
        progress.wake.set()
    return index


async def propose(
    this: core.Core,
    command: bytes,
    timeout: float,
    kind: machines.Kind = machines.Kind.command,
) -> bytes:
    """Add a command and wait for the state machine's answer.

    :param timeout: in seconds.
    :raises errors.UncertainError: when no answer came; it may have been
        taken.
    """
    led = current(this)
    index = append(this, led, kind, command)
    fut = asyncio.get_running_loop().create_future()
    led.waiters[index] = fut
    try:
        async with asyncio.timeout(timeout):
            return await fut
    except TimeoutError as exc:
        raise errors.UncertainError('not committed in time') from exc
    finally:
        led.waiters.pop(index, None)


async def confirm(this: core.Core, timeout: float) -> int:
    """Make sure that this recorder still leads.

    :param timeout: in seconds.
    :returns: an index; whatever was committed before this call is at it or
        before it.
    :raises errors.NoQuorumError: when no majority answered in time.
    """
    led = current(this)
    asked_at = this.timers.now()
    try:
        async with asyncio.timeout(timeout):
            await until_committed(this, led, led.start_index)
            index = this.commit.height
            for progress in led.progress.values():
                progress.nudge()
            while majority_contact(this, led) < asked_at and not led.ended:
                await led.move()
    except TimeoutError as exc:
        raise errors.NoQuorumError('no majority answered') from exc
    if led.ended:
        raise errors.NoQuorumError('leads no more')
    return index


async def until_committed(
    this: core.Core,
    led: leadership.LeaderState,
    index: int,
) -> None:
    while this.commit.height < index and not led.ended:
        await led.move()


def follow_members(this: core.Core, led: leadership.LeaderState) -> None:
    """Send entries to all current recorders, and to no others."""
    recorders = this.history.current.recorders
    wanted = {member.identity: member for member in recorders}
    wanted.pop(this.identity, None)
    for gone in set(led.progress) - set(wanted):
        led.drop(gone)
    for identity in set(wanted) - set(led.progress):
        next_index = this.folder.log.last.index + 1
        progress = leadership.Progress(
            wanted[identity],
            next_index,
            since=this.timers.now(),
        )
        sender = replication.replicate(this, led, progress)
        led.keep_sender(progress, this.spawn(sender))


def majority_contact(this: core.Core, led: leadership.LeaderState) -> float:
    """Tell since when a majority is known to have followed."""
    times = [
        this.timers.now()
        if member.identity == this.identity
        else led.progress[member.identity].contact
        for member in this.history.current.voters
    ]
    times.sort(reverse=True)
    return times[this.history.current.majority - 1]


async def _sync_appended(this: core.Core, led: leadership.LeaderState) -> None:
    """Make the leader's own copy durable; many proposals share an fsync."""
    while True:
        await led.appended.wait()
        led.appended.clear()
        await this.folder.log.sync()
        replication.count_copies(this, led)


async def _watch_majority(this: core.Core, led: leadership.LeaderState) -> None:
    """Step down when no majority is heard within an election timeout."""
    cfg = this.env.cfg
    began = this.timers.now()
    while not led.ended:
        await asyncio.sleep(cfg.heartbeat)
        heard = max(majority_contact(this, led), began)
        if this.timers.now() - heard > cfg.election_max:
            this.follow('no majority was heard')
