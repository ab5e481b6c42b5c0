"""Membership changes, one at a time.

A new recorder is first a learner: it receives entries but has no vote, so a
slow or empty one costs no majority. It becomes a voter once it has caught up.
Where an older recorder of the same host is still a voter (its folder was
emptied), that one is removed just before, so that the membership never
includes an additional voter that can't answer.

References
==========
.. [1] D. Ongaro, PhD thesis, sections 4.1 to 4.2.2.
.. [2] D. Ongaro, "bug in single-server membership changes", raft-dev, 2015:
   a leader first commits an entry of its own term.
"""

import asyncio

from geraniumweir.common import ids
from geraniumweir.consensus import (
    core,
    errors,
    leadership,
    leadership_transfer,
    leading,
    machines,
    members,
)
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes


async def add(
    this: core.Core,
    host_id: ids.HostId,
    address: str,
    timeout: float,
    lost: ids.HostId | None = None,
) -> None:
    """Make a host's recorder a voter; a repeated call continues the change.

    :param address: address of the host's peer layer, or empty if known.
    :param lost: a host whose recorders are replaced, or None.
    :param timeout: for the learner to catch up and for each change, in
        seconds.
    :raises errors.RefusedError: when another change is in progress, or the
        host doesn't answer.
    :raises errors.UncertainError: when it takes too long; the new recorder
        may be a learner by then.
    """
    leader_state = leading.current(this)
    async with _lock_for_change(leader_state):
        member = await _learner(this, leader_state, host_id, address, timeout)
        await _catch_up(this, leader_state, member.identity, timeout)
        await _remove_replaced(this, leader_state, member, lost, timeout)
        await _promote(this, leader_state, member.identity, timeout)


async def add_as_learner(
    this: core.Core,
    host_id: ids.HostId,
    address: str,
    timeout: float,
) -> None:
    """Make a host's recorder a learner, which has no vote.

    :raises errors.ConsensusError: as :func:`add`.
    """
    leader_state = leading.current(this)
    async with _lock_for_change(leader_state):
        member = await _learner(this, leader_state, host_id, address, timeout)
        for other in this.history.current.on_host(host_id):
            if other.identity != member.identity and not other.voter:
                remaining = this.history.current.without(other.identity)
                await _change(this, leader_state, remaining, timeout)


async def _learner(
    this: core.Core,
    leader_state: leadership.LeaderState,
    host_id: ids.HostId,
    address: str,
    timeout: float,
) -> members.Member:
    """Return a host's recorder, added as a learner if it is no member."""
    if address:
        this.env.peers.learn(host_id, ids.parse_address(address))
    identity = await _identify(this, host_id)
    for old in this.history.current.on_host(host_id):
        address = address or old.address
    member = members.Member(identity, host_id, address, voter=False)
    if this.history.current.find(identity) is None:
        grown = this.history.current.with_member(member)
        await _change(this, leader_state, grown, timeout)
    return member


async def remove(
    this: core.Core,
    host_id: ids.HostId,
    timeout: float,
) -> None:
    """Remove the recorders of a host; a host without any is no error.

    :param timeout: for each change, in seconds.
    :raises errors.RefusedError: when another change is in progress, or the
        remaining recorders that answer form no majority.
    :raises errors.NotLeaderError: when this recorder itself is to be removed;
        it transferred leadership first.
    """
    leader_state = leading.current(this)
    async with _lock_for_change(leader_state):
        for member in this.history.current.on_host(host_id):
            remaining = this.history.current.without(member.identity)
            _check_majority(this, leader_state, remaining)
            if member.identity == this.identity:
                await leadership_transfer.transfer_leadership(this)
                leading.current(this)
                raise errors.RefusedError('nobody took over leadership')
            await _change(this, leader_state, remaining, timeout)


def _lock_for_change(leader_state: leadership.LeaderState) -> asyncio.Lock:
    if leader_state.membership_lock.locked():
        raise errors.RefusedError('another change of recorders is under way')
    return leader_state.membership_lock


async def _identify(
    this: core.Core,
    host_id: ids.HostId,
) -> members.RecorderId:
    if host_id == this.env.cfg.host_id:
        return this.identity
    try:
        found = await this.env.peers.call(
            host_id,
            ttypes.Identify(),
            this.env.cfg.election_max,
        )
    except wire_errors.PeerError as exc:
        raise errors.RefusedError(f'{host_id}: {exc}') from exc
    return members.RecorderId(found.identity)


async def _change(
    this: core.Core,
    leader_state: leadership.LeaderState,
    wanted: members.Members,
    timeout: float,
) -> None:
    """Append a membership once the previous change is committed."""
    try:
        async with asyncio.timeout(timeout):
            await leading.until_committed(
                this,
                leader_state,
                max(leader_state.start_index, this.history.index),
            )
    except TimeoutError as exc:
        raise errors.NoQuorumError('the last change isn’t committed') from exc
    if leader_state.ended:
        raise errors.NoQuorumError('leads no more')
    await leading.propose(
        this,
        members.encode(wanted),
        timeout,
        machines.Kind.members,
    )


async def _catch_up(
    this: core.Core,
    leader_state: leadership.LeaderState,
    identity: members.RecorderId,
    timeout: float,
) -> None:
    """Wait until a learner has all committed entries."""
    progress = leader_state.progress.get(identity)
    if progress is None:
        return
    try:
        async with asyncio.timeout(timeout):
            while (
                not leader_state.ended and progress.match < this.commit.height
            ):
                await leader_state.wait_for_change()
    except TimeoutError as exc:
        raise errors.UncertainError(
            f'{progress.member.host_id} is a learner and didn’t catch up',
        ) from exc


async def _remove_replaced(
    this: core.Core,
    leader_state: leadership.LeaderState,
    member: members.Member,
    lost: ids.HostId | None,
    timeout: float,
) -> None:
    """Remove the recorders that a learner replaces."""
    replaced = {member.host_id, lost}
    for other in this.history.current.recorders:
        if other.host_id in replaced and other.identity != member.identity:
            remaining = this.history.current.without(other.identity)
            _check_majority(this, leader_state, remaining)
            await _change(this, leader_state, remaining, timeout)


async def _promote(
    this: core.Core,
    leader_state: leadership.LeaderState,
    identity: members.RecorderId,
    timeout: float,
) -> None:
    known = this.history.current.find(identity)
    if known is None or known.voter:
        return
    voter = members.Member(identity, known.host_id, known.address)
    grown = this.history.current.with_member(voter)
    await _change(this, leader_state, grown, timeout)


def _check_majority(
    this: core.Core,
    leader_state: leadership.LeaderState,
    remaining: members.Members,
) -> None:
    """Check that the voters of a membership that answer form a majority.

    :raises errors.RefusedError: when they don't.
    """
    answered_since = this.timers.now() - this.env.cfg.election_max
    live = [
        member
        for member in remaining.voters
        if member.identity == this.identity
        or leader_state.progress[member.identity].last_contact_at
        >= answered_since
    ]
    if len(live) < remaining.majority:
        raise errors.RefusedError(
            f'of {len(remaining.voters)} recorders that would be left only'
            f' {len(live)} answer',
        )
