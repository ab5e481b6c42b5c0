"""Leadership transfer, so that a leader's shutdown costs no election timeout.

References
==========
.. [1] D. Ongaro, PhD thesis, section 3.10, "Leadership transfer extension".
"""

import asyncio
import contextlib

from geraniumweir.consensus import core, leadership, voting
from geraniumweir.wire.gen.consensus import ttypes


async def transfer_leadership(this: core.Core) -> bool:
    """Transfer leadership to the most up-to-date voter.

    New proposals are rejected meanwhile; entries in the log are replicated to
    the target first. The transfer is given up after twice the maximum
    election timeout.

    :returns: whether this recorder is no longer the leader.
    """
    leader_state = this.leadership
    if leader_state is None:
        return True
    leader_state.transferring = True
    try:
        async with asyncio.timeout(2 * this.env.cfg.election_max):
            await _transfer(this, leader_state)
    except TimeoutError:
        leader_state.transferring = False
    return leader_state.ended


async def handle_campaign_now(
    this: core.Core, request: ttypes.CampaignNow
) -> None:
    """Start an election at once, as requested by the leader."""
    if request.to != this.identity or request.term != this.term:
        return
    if this.history.current.is_voter(this.identity):
        await voting.campaign(this, transfer=True)


async def _transfer(
    this: core.Core, leader_state: leadership.LeaderState
) -> None:
    while not leader_state.ended:
        target = _most_up_to_date(this, leader_state)
        if target and target.match == this.folder.log.last.index:
            request = ttypes.CampaignNow(
                target.member.identity, leader_state.term
            )
            this.env.peers.send(target.member.host_id, request)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(this.env.cfg.heartbeat):
                    await _until_ended(leader_state)
        else:
            await leader_state.wait_for_change()


async def _until_ended(leader_state: leadership.LeaderState) -> None:
    while not leader_state.ended:
        await leader_state.wait_for_change()


def _most_up_to_date(
    this: core.Core, leader_state: leadership.LeaderState
) -> leadership.Progress | None:
    voters = [
        progress
        for identity, progress in leader_state.progress.items()
        if this.history.current.is_voter(identity)
    ]
    return max(voters, key=_match, default=None)


def _match(progress: leadership.Progress) -> int:
    return progress.match
