"""Leader elections: election timer, pre-vote and vote requests.

A candidate first requests pre-votes, which change no state. A recorder in
contact with a live leader denies them, so a recorder that was partitioned
doesn't raise the term and depose the leader when it returns.

References
==========
.. [1] D. Ongaro, PhD thesis, section 9.6, "Preventing disruptions when a
   server rejoins the cluster", and section 4.2.3.
"""

import asyncio

from geraniumweir.consensus import core, leading, logevents, members
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire.gen.consensus import ttypes

# Number of pre-votes that fit into the minimum election timeout. Each still
# lasts for some hundred round trips between failure domains of a region
# (1.8 ms).
_PRE_VOTES_PER_TIMEOUT = 2


async def answer_vote(
    this: core.Core,
    request: ttypes.AskVote,
) -> ttypes.VoteAnswer:
    """Answer a vote request or a pre-vote request of a candidate.

    A granted vote is durable before it is answered.

    :raises errors.RecorderFailedError: when this recorder has failed.
    """
    this.check_not_failed()
    if not _may_vote(this, request):
        return ttypes.VoteAnswer(this.term, granted=False)
    if request.trial:
        granted = request.term > this.term and _is_up_to_date(this, request)
        return ttypes.VoteAnswer(this.term, granted)
    this.enter_term(request.term, 'another recorder asks for votes')
    granted = _vote(this, request)
    await this.folder.vote_store.wait_durable()
    this.check_not_failed()
    return ttypes.VoteAnswer(this.term, granted and this.term == request.term)


async def run_election_timer(this: core.Core) -> None:
    """Start an election whenever the election timeout elapses."""
    cfg = this.env.cfg
    # A live leader contacts this recorder within a heartbeat of the start, and
    # the pre-vote fails where others have a live leader; so after a restart of
    # all recorders at once the first election needn't wait for the usual
    # timeout.
    timeout_seconds = this.env.rng.uniform(cfg.heartbeat, cfg.election_min)
    while True:
        await _wait_for_election_timeout(this, timeout_seconds)
        timeout_seconds = this.env.rng.uniform(
            cfg.election_min, cfg.election_max
        )
        if _may_campaign(this) and not await campaign(this):
            # Others may have received the leader's messages slightly longer.
            # Another full election timeout would replace a lost leader half a
            # second later.
            await asyncio.sleep(
                this.env.rng.uniform(cfg.heartbeat, cfg.election_min),
            )
        else:
            this.election_timer_reset_at = this.timers.now()


async def campaign(this: core.Core, *, transfer: bool = False) -> bool:
    """Request votes, and become leader when a majority grants them.

    :param transfer: whether the leader itself requested the election, so that
        neither a pre-vote nor an election timeout is needed.
    :returns: whether votes were requested or a live leader was found; False
        when the pre-vote failed.
    """
    if not transfer and not await _wins_election(
        this, this.term + 1, pre_vote=True
    ):
        return False
    if this.has_live_leader() and not transfer:
        return True
    this.folder.vote_store.set_vote(this.term + 1, this.identity)
    term = this.term
    this.role = core.Role.candidate
    this.leader = members.RecorderId('')
    this.env.report(logevents.ELECTION_STARTED, term=term)
    await this.folder.vote_store.wait_durable()
    if await _wins_election(this, term, transfer=transfer):
        leading.become_leader(this, term)
    elif this.role is core.Role.candidate and this.term == term:
        this.role = core.Role.follower
    return True


def _may_vote(this: core.Core, request: ttypes.AskVote) -> bool:
    if request.to != this.identity or not this.history.current.accepts(
        request.cluster,
    ):
        return False
    return request.transfer or not this.has_live_leader()


def _is_up_to_date(this: core.Core, request: ttypes.AskVote) -> bool:
    last = this.folder.log.last
    return (request.last_term, request.last_index) >= (last.term, last.index)


def _vote(this: core.Core, request: ttypes.AskVote) -> bool:
    vote_store = this.folder.vote_store
    if request.term != vote_store.term or not _is_up_to_date(this, request):
        return False
    if vote_store.candidate:
        return vote_store.candidate == request.candidate
    vote_store.set_vote(request.term, request.candidate)
    this.election_timer_reset_at = this.timers.now()
    return True


def _may_campaign(this: core.Core) -> bool:
    if this.role in {core.Role.leader, core.Role.failed}:
        return False
    return this.history.current.is_voter(this.identity)


async def _wait_for_election_timeout(
    this: core.Core, timeout_seconds: float
) -> None:
    while True:
        remaining = (
            this.election_timer_reset_at + timeout_seconds - this.timers.now()
        )
        if remaining <= 0:
            return
        await asyncio.sleep(remaining)


async def _wins_election(
    this: core.Core,
    term: int,
    *,
    pre_vote: bool = False,
    transfer: bool = False,
) -> bool:
    """Request votes of all voters, and return whether a majority grants them.

    Returns as soon as a majority is reached; other requests are cancelled.
    """
    current = this.history.current
    pending = {
        this.spawn(_request_vote(this, member, term, pre_vote, transfer))
        for member in current.voters
        if member.identity != this.identity
    }
    votes = 1
    while pending and votes < current.majority:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        votes += sum(answer.result() for answer in done)
    for remaining in pending:
        remaining.cancel()
    expected = this.term + 1 if pre_vote else this.term
    return votes >= current.majority and term == expected


async def _request_vote(
    this: core.Core,
    member: members.Member,
    term: int,
    pre_vote: bool,
    transfer: bool,
) -> int:
    last = this.folder.log.last
    request = ttypes.AskVote(
        cluster=this.history.current.cluster,
        to=member.identity,
        candidate=this.identity,
        term=term,
        last_index=last.index,
        last_term=last.term,
        trial=pre_vote,
        transfer=transfer,
    )
    cfg = this.env.cfg
    # A pre-vote can be repeated at no cost but the time spent waiting for a
    # recorder that hangs, such as the failed leader.
    timeout = (
        cfg.election_min / _PRE_VOTES_PER_TIMEOUT
        if pre_vote
        else cfg.election_min
    )
    try:
        answer = await this.env.peers.call(member.host_id, request, timeout)
    except wire_errors.PeerError:
        return 0
    this.enter_term(answer.term, 'a newer term was met')
    return int(answer.granted)
