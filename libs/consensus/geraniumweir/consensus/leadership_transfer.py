"""Leadership handed on, so that a leader's shutdown costs no election.

References
==========
.. [1] D. Ongaro, PhD thesis, section 3.10, "Leadership transfer extension".
"""

import asyncio
import contextlib

from geraniumweir.consensus import core, leadership, voting
from geraniumweir.wire.gen.consensus import ttypes


async def hand_on(this: core.Core) -> bool:
    """Have the furthest voter take over.

    New proposals are refused meanwhile; those under way are finished first,
    within an election timeout.

    :returns: whether this recorder leads no more.
    """
    led = this.leader_state
    if led is None:
        return True
    led.closing = True
    try:
        async with asyncio.timeout(2 * this.env.cfg.election_max):
            await _hand_on(this, led)
    except TimeoutError:
        led.closing = False
    return led.ended


async def take_over(this: core.Core, ask: ttypes.CampaignNow) -> None:
    """Campaign at once, as the leader asked."""
    if ask.to != this.identity or ask.term != this.term:
        return
    if this.history.current.is_voter(this.identity):
        await voting.campaign(this, transfer=True)


async def _hand_on(this: core.Core, led: leadership.LeaderState) -> None:
    while not led.ended:
        target = _furthest(this, led)
        if target and target.match == this.folder.log.last.index:
            ask = ttypes.CampaignNow(target.member.identity, led.term)
            this.env.peers.send(target.member.host_id, ask)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(this.env.cfg.heartbeat):
                    await _until_ended(led)
        else:
            await led.move()


async def _until_ended(led: leadership.LeaderState) -> None:
    while not led.ended:
        await led.move()


def _furthest(
    this: core.Core, led: leadership.LeaderState
) -> leadership.Progress | None:
    voters = [
        progress
        for identity, progress in led.progress.items()
        if this.history.current.is_voter(identity)
    ]
    return max(voters, key=_match, default=None)


def _match(progress: leadership.Progress) -> int:
    return progress.match
