"""Tasks of a leader: proposals, the read index and its own majority.

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
    leadership,
    logevents,
    machines,
    proposal_times,
    replication,
)
from geraniumweir.store import entries

# Two syncs and a round trip between failure domains take a tenth of this.
_SLOW_SECONDS = 0.2


def become_leader(this: core.Core, term: int) -> None:
    """Become leader in a term, if still a candidate in that term."""
    if this.role is not core.Role.candidate or this.term != term:
        return
    start = this.folder.log.last.index + 1
    this.role = core.Role.leader
    this.leader = this.identity
    this.leadership = leadership.LeaderState(term, start)
    this.env.report(logevents.BECAME_LEADER, term=term, index=start)
    append(this, this.leadership, machines.Kind.term_start, b'')
    update_senders(this, this.leadership)
    this.leadership.add_task(this.spawn(_sync_appended(this, this.leadership)))
    this.leadership.add_task(this.spawn(_watch_majority(this, this.leadership)))


def current(this: core.Core) -> leadership.LeaderState:
    """Return the leader state of this recorder.

    :raises errors.NotLeaderError: when another recorder is the leader.
    :raises errors.NoQuorumError: when no leader is known.
    :raises errors.RecorderFailedError: when this recorder has failed.
    """
    this.check_not_failed()
    if this.leadership is not None and not this.leadership.transferring:
        return this.leadership
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
    leader_state: leadership.LeaderState,
    kind: machines.Kind,
    payload: bytes,
) -> int:
    """Append an entry of the leader and wake the senders.

    :returns: the index of the entry.
    """
    index = this.folder.log.last.index + 1
    this.append([entries.Entry(index, leader_state.term, kind, payload)])
    if kind is machines.Kind.members:
        update_senders(this, leader_state)
    leader_state.appended.set()
    for progress in leader_state.progress.values():
        progress.wakeup.set()
    return index


async def propose(
    this: core.Core,
    command: bytes,
    timeout: float,
    kind: machines.Kind = machines.Kind.command,
) -> bytes:
    """Append a command and wait for the state machine's answer.

    :param timeout: in seconds.
    :raises errors.TooLargeError: when it could not be replicated.
    :raises errors.UncertainError: when it wasn't applied in time or the
        leader stepped down; it may have been committed.
    """
    errors.check_size(command)
    leader_state = current(this)
    index = append(this, leader_state, kind, command)
    fut = asyncio.get_running_loop().create_future()
    leader_state.waiters[index] = fut
    times = leader_state.proposals.begin(index, this.timers.now())
    try:
        async with asyncio.timeout(timeout):
            return await fut
    except TimeoutError as exc:
        raise errors.UncertainError('not committed in time') from exc
    finally:
        leader_state.waiters.pop(index, None)
        leader_state.proposals.end(index)
        _report_slow(this, index, len(command), times, fut)


def _report_slow(
    this: core.Core,
    index: int,
    size: int,
    times: proposal_times.ProposalTimes,
    answer: asyncio.Future[bytes],
) -> None:
    """Report the steps of a proposal that was not answered soon."""
    now = this.timers.now()
    if now - times.appended_at < _SLOW_SECONDS:
        return
    answered = answer.done() and not answer.cancelled()
    in_time = answered and answer.exception() is None
    this.env.report(
        logevents.PROPOSAL_SLOW,
        index=index,
        size=size,
        ms=times.since_append(now),
        synced_ms=times.since_append(times.synced_at),
        committed_ms=times.since_append(times.committed_at),
        outcome='in time' if in_time else 'no answer',
    )


async def confirm(this: core.Core, timeout: float) -> int:
    """Confirm leadership with a majority and return a read index.

    :param timeout: in seconds.
    :returns: the read index; all entries committed before this call are at
        or before it.
    :raises errors.NoQuorumError: when no majority answered in time.
    """
    leader_state = current(this)
    asked_at = this.timers.now()
    try:
        async with asyncio.timeout(timeout):
            await until_committed(this, leader_state, leader_state.start_index)
            index = this.commit.height
            for progress in leader_state.progress.values():
                progress.request_send()
            while (
                majority_contact(this, leader_state) < asked_at
                and not leader_state.ended
            ):
                await leader_state.wait_for_change()
    except TimeoutError as exc:
        raise errors.NoQuorumError('no majority answered') from exc
    if leader_state.ended:
        raise errors.NoQuorumError('leads no more')
    return index


async def until_committed(
    this: core.Core,
    leader_state: leadership.LeaderState,
    index: int,
) -> None:
    while this.commit.height < index and not leader_state.ended:
        await leader_state.wait_for_change()


def update_senders(
    this: core.Core, leader_state: leadership.LeaderState
) -> None:
    """Start and stop senders to match the current membership."""
    recorders = this.history.current.recorders
    wanted = {member.identity: member for member in recorders}
    wanted.pop(this.identity, None)
    for gone in set(leader_state.progress) - set(wanted):
        leader_state.remove_sender(gone)
    for identity in set(wanted) - set(leader_state.progress):
        next_index = this.folder.log.last.index + 1
        progress = leadership.Progress(
            wanted[identity],
            next_index,
            started_at=this.timers.now(),
        )
        sender = replication.replicate(this, leader_state, progress)
        leader_state.add_sender(progress, this.spawn(sender))


def majority_contact(
    this: core.Core, leader_state: leadership.LeaderState
) -> float:
    """Return the time up to which a majority is known to have followed.

    :returns: when the messages that a majority answered were sent, in loop
        time; that of the slowest recorder of the fastest majority.
    """
    return leader_state.majority_contact(
        this.history.current, this.identity, this.timers.now()
    )


async def _sync_appended(
    this: core.Core, leader_state: leadership.LeaderState
) -> None:
    """Sync the leader's own log; concurrent proposals share an fsync."""
    while True:
        await leader_state.appended.wait()
        leader_state.appended.clear()
        await this.folder.log.sync()
        leader_state.proposals.synced(
            this.folder.log.synced_index, this.timers.now()
        )
        replication.advance_commit_index(this, leader_state)


async def _watch_majority(
    this: core.Core, leader_state: leadership.LeaderState
) -> None:
    """Step down after an election timeout without contact to a majority."""
    cfg = this.env.cfg
    started_watching_at = this.timers.now()
    while not leader_state.ended:
        await asyncio.sleep(cfg.heartbeat)
        majority_seen_at = max(
            majority_contact(this, leader_state), started_watching_at
        )
        if this.timers.now() - majority_seen_at > cfg.election_max:
            this.become_follower('no majority was heard')
