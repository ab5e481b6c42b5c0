"""Elections: when to ask for votes, and whom to give them.

A recorder first asks whether it would win (pre-vote), and one that hears a
leader says no, so that a recorder that was cut off disturbs nobody when it
returns.

References
==========
.. [1] D. Ongaro, PhD thesis, section 9.6, "Preventing disruptions when a
   server rejoins the cluster", and section 4.2.3.
"""

import asyncio

from geraniumweir.consensus import core, leading, logevents, members
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes

# So many trials fit into the shortest silence: each still lasts for some
# hundred round trips between failure domains of a region (1.8 ms).
_TRIALS = 2


async def answer_vote(
    this: core.Core,
    ask: ttypes.AskVote,
) -> ttypes.VoteAnswer:
    """Vote, or say whether this recorder would.

    :raises errors.RecorderFailedError: when it may promise nothing.
    """
    this.check_sound()
    if not _may_vote(this, ask):
        return ttypes.VoteAnswer(this.term, granted=False)
    if ask.trial:
        granted = ask.term > this.term and _is_up_to_date(this, ask)
        return ttypes.VoteAnswer(this.term, granted)
    this.enter_term(ask.term, 'another recorder asks for votes')
    granted = _vote(this, ask)
    await this.folder.ballot.settle()
    this.check_sound()
    return ttypes.VoteAnswer(this.term, granted and this.term == ask.term)


async def watch(this: core.Core) -> None:
    """Ask for votes whenever no leader is heard for long enough."""
    cfg = this.env.cfg
    # A leader that lives is heard within a heartbeat of the start, and the
    # trial vote fails where others hear one; so after a loss of all recorders
    # at once the first election needn't wait for the usual silence.
    patience = this.env.rng.uniform(cfg.heartbeat, cfg.election_min)
    while True:
        await _silence(this, patience)
        patience = this.env.rng.uniform(cfg.election_min, cfg.election_max)
        if _may_campaign(this) and not await campaign(this):
            # Others may have heard the leader a moment longer. To wait for a
            # whole silence again would replace a lost leader half a second
            # later.
            await asyncio.sleep(
                this.env.rng.uniform(cfg.heartbeat, cfg.election_min),
            )
        else:
            this.quiet_since = this.timers.now()


async def campaign(this: core.Core, *, transfer: bool = False) -> bool:
    """Ask for votes, and lead when a majority gives them.

    :param transfer: the leader itself asked for it, so that neither a trial
        nor silence is needed.
    :returns: whether votes were asked for, or a leader was heard.
    """
    if not transfer and not await _wins(this, this.term + 1, trial=True):
        return False
    if this.hears_leader() and not transfer:
        return True
    this.folder.ballot.cast(this.term + 1, this.identity)
    term = this.term
    this.role = core.Role.candidate
    this.leader = members.RecorderId('')
    this.env.report(logevents.CAMPAIGN, term=term)
    await this.folder.ballot.settle()
    if await _wins(this, term, transfer=transfer):
        leading.begin(this, term)
    elif this.role is core.Role.candidate and this.term == term:
        this.role = core.Role.follower
    return True


def _may_vote(this: core.Core, ask: ttypes.AskVote) -> bool:
    if ask.to != this.identity or not this.history.current.accepts(
        ask.cluster,
    ):
        return False
    return ask.transfer or not this.hears_leader()


def _is_up_to_date(this: core.Core, ask: ttypes.AskVote) -> bool:
    last = this.folder.log.last
    return (ask.last_term, ask.last_index) >= (last.term, last.index)


def _vote(this: core.Core, ask: ttypes.AskVote) -> bool:
    ballot = this.folder.ballot
    if ask.term != ballot.term or not _is_up_to_date(this, ask):
        return False
    if ballot.candidate:
        return ballot.candidate == ask.candidate
    ballot.cast(ask.term, ask.candidate)
    this.quiet_since = this.timers.now()
    return True


def _may_campaign(this: core.Core) -> bool:
    if this.role in {core.Role.leader, core.Role.failed}:
        return False
    return this.history.current.is_voter(this.identity)


async def _silence(this: core.Core, patience: float) -> None:
    while True:
        left = this.quiet_since + patience - this.timers.now()
        if left <= 0:
            return
        await asyncio.sleep(left)


async def _wins(
    this: core.Core,
    term: int,
    *,
    trial: bool = False,
    transfer: bool = False,
) -> bool:
    """Ask all voters and stop as soon as it is clear."""
    current = this.history.current
    asked = {
        this.spawn(_ask(this, member, term, trial, transfer))
        for member in current.voters
        if member.identity != this.identity
    }
    votes = 1
    while asked and votes < current.majority:
        done, asked = await asyncio.wait(
            asked,
            return_when=asyncio.FIRST_COMPLETED,
        )
        votes += sum(answer.result() for answer in done)
    for left in asked:
        left.cancel()
    expected = this.term + 1 if trial else this.term
    return votes >= current.majority and term == expected


async def _ask(
    this: core.Core,
    member: members.Member,
    term: int,
    trial: bool,
    transfer: bool,
) -> int:
    last = this.folder.log.last
    ask = ttypes.AskVote(
        cluster=this.history.current.cluster,
        to=member.identity,
        candidate=this.identity,
        term=term,
        last_index=last.index,
        last_term=last.term,
        trial=trial,
        transfer=transfer,
    )
    cfg = this.env.cfg
    # Nothing is lost by a trial that is asked again, but the time for which
    # it waits for a leader that hangs.
    timeout = cfg.election_min / _TRIALS if trial else cfg.election_min
    try:
        answer = await this.env.peers.call(member.host_id, ask, timeout)
    except wire_errors.PeerError:
        return 0
    this.enter_term(answer.term, 'a newer term was met')
    return int(answer.granted)
