"""Grants what can be granted now and refuses what is hopeless."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.scheduling import logevents, requests
from geraniumweir.scheduling.ontime import (
    classes,
    fleet,
    ordering,
    placing,
    records,
    state,
    trying,
)

# Waiting requests are looked at again this often, in seconds, for what comes
# with time alone: ends of rests, targets that can't be met any more.
_LOOK_SECONDS = 0.05
# While more than a few wait, what comes within this time shares one look, in
# seconds.
_GATHER_SECONDS = 0.004
# A slot may stay free for this part of the time for which requests hold one.
_GATHER_PART = 0.01
# A look costs in proportion to what waits, some 6 µs for each; with many
# waiting, looks share more. In seconds for each that waits.
_GATHER_EACH_SECONDS = 3e-5
# Refusals are told within so long, in seconds.
_LONGEST_GATHER = 0.05
# So few waiting requests are looked at in less time than gathering takes.
_FEW = 8
# A queue is planned over its newest so many requests. At 2,500 requests a
# second those before them have waited longer than any target; planned over the
# oldest, a large pool wouldn't see newcomers before they are late.
_MOST_PLANNED = 4096
# After so many requests in a row for which no open server will do, the others
# are left for the next look: each is compared with up to sixteen servers.
_MOST_TRIED = 128
# How a pool does is logged this often at most, in seconds, while it is busy.
_TELL_SECONDS = 1.0
_MS = 1000
# No server was known for so long: the pool has none, in seconds.
_NO_SERVER_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _Look:
    """One look at all that waits.

    :ivar now: when, in seconds.
    :ivar able: servers with a free slot that were not yet filled.
    :ivar all_able: these are all servers of the pool.
    :ivar canaries: servers of a new version that may get a few requests.
    :ivar pauses: gives the servers that want nothing from a host.
    :ivar failed: requests in a row that none of them would do for.
    """

    now: float
    pace: ordering.Pace
    learnt: placing.Learnt
    pauses: state.Pauses
    able: list[placing.Offer] = dataclasses.field(default_factory=list)
    all_able: bool = False
    canaries: list[placing.Offer] = dataclasses.field(default_factory=list)
    failed: int = 0

    def allowed(
        self,
        offers: list[placing.Offer],
        owner: ids.HostId,
    ) -> list[placing.Offer]:
        """Leave out servers that want nothing from the host that asks."""
        paused = self.pauses(owner)
        if not paused:
            return offers
        return [one for one in offers if one.server.start not in paused]


def fill(leader: state.LeaderState) -> None:
    """Look at all that waits, now or as soon as that is due.

    A look costs in proportion to what waits, and in overload hundreds of
    requests come and end in a second; so they share a look.
    """
    if not leader.waiting:
        return
    left = leader.looked + _gather(leader) - leader.now()
    if left > 0 and len(leader.waiting) > _FEW:
        _arm(leader, left)
    else:
        _look(leader)


def _gather(leader: state.LeaderState) -> float:
    """Give the seconds for which what comes waits for one look."""
    longest = max(
        _GATHER_SECONDS,
        len(leader.waiting) * _GATHER_EACH_SECONDS,
        leader.held * _GATHER_PART,
    )
    return min(longest, _LONGEST_GATHER)


def _look(leader: state.LeaderState) -> None:
    leader.looked = leader.now()
    fleet.sync(leader)
    if leader.waiting and leader.now() >= leader.settle_by:
        _work_off(leader)
        _tell(leader)
    if leader.waiting:
        _arm(leader, _LOOK_SECONDS)


def _arm(leader: state.LeaderState, seconds: float) -> None:
    """Look again in some seconds, or before."""
    due = leader.now() + seconds
    if leader.ticker is not None:
        if leader.ticker.when() <= due:
            return
        leader.ticker.cancel()
    loop = asyncio.get_running_loop()
    leader.ticker = loop.call_later(seconds, _tick, leader)


def _tell(leader: state.LeaderState) -> None:
    """Log how the pool does while something waits."""
    now = leader.now()
    if not leader.waiting or now - leader.told < _TELL_SECONDS:
        return
    leader.told = now
    eventlog.emit(
        logevents.POOL_BUSY,
        pool=leader.pool,
        waiting=len(leader.waiting),
        running=len(leader.running),
        interval_ms=round(state.pace(leader).interval * _MS, 1),
        load=round(state.pace(leader).load, 2),
        classes=leader.shares.outline(),
        held_back=sum(one.is_held_back(now) for one in leader.servers.values()),
        servers={
            server.server_id: server.outline(now)
            for server in leader.servers.values()
        },
    )


def _tick(leader: state.LeaderState) -> None:
    leader.ticker = None
    if leader.waiting:
        _look(leader)


def _work_off(leader: state.LeaderState) -> None:
    now = leader.now()
    _refuse_endless(leader, now)
    _refuse_paused(leader, now)
    waiting = list(leader.waiting.values())[-_MOST_PLANNED:]
    pace = state.pace(leader)
    owed = leader.shares.owed(now)
    found = ordering.plan(waiting, now, pace, _lead(leader), owed)
    learnt = placing.Learnt(leader.learnt, leader.path_quality, now)
    look = _Look(now, pace, learnt, leader.pauses)
    _place(leader, look, found.turns)
    for hopeless in found.hopeless:
        _give_up(leader, hopeless.waiting, now)


def _place(
    leader: state.LeaderState,
    look: _Look,
    turns: typing.Iterable[ordering.Turn],
) -> None:
    """Grant what can be granted, in order."""
    look.canaries = trying.open_canaries(leader, look.learnt)
    for turn in turns:
        if _try_canary(leader, look, turn):
            continue
        if not look.able:
            _open_servers(leader, look)
        if not look.able or look.failed == _MOST_TRIED:
            return
        _try(leader, look, turn)


def _open_servers(leader: state.LeaderState, look: _Look) -> None:
    known = [server for server in leader.servers.values() if server.serves]
    start = leader.dice.randrange(len(known)) if known else 0
    look.able = placing.open_servers(known, start, look.learnt)
    held_back = sum(one.is_held_back(look.now) for one in known)
    look.all_able = len(look.able) == len(known) - held_back


def _lead(leader: state.LeaderState) -> ordering.Lead:
    """Give what predicts a first token on the quickest server."""
    if leader.quickest is None:
        return lambda _: 0
    fixed, each = leader.learnt.line(leader.quickest.speed).fit()
    return lambda waiting: fixed + each * waiting.ask.prompt_tokens


def _try(
    leader: state.LeaderState,
    look: _Look,
    turn: ordering.Turn,
) -> None:
    """Grant a request one of the servers that have a free slot."""
    offers = look.allowed(look.able, turn.waiting.ask.owner)
    if not offers:
        return
    place = _choose(look, turn, offers)
    if place is None:
        look.failed += 1
        return
    look.failed = 0
    _take(leader, look, turn, place)
    _use_up(look.able, place.offer, look.learnt)


def _try_canary(
    leader: state.LeaderState,
    look: _Look,
    turn: ordering.Turn,
) -> bool:
    """Grant a request a server of a new version, where it may get one."""
    if not look.canaries or not leader.guide.may_grant_new_version(
        turn.waiting.ask.rule
    ):
        return False
    offers = look.allowed(look.canaries, turn.waiting.ask.owner)
    place = trying.choose(offers, turn.waiting, look.learnt)
    if place is None:
        return False
    _take(leader, look, turn, place)
    _use_up(look.canaries, place.offer, look.learnt)
    return True


def _take(
    leader: state.LeaderState,
    look: _Look,
    turn: ordering.Turn,
    place: placing.Place,
) -> None:
    """Grant a request a place and count what its class got."""
    _grant(leader, turn.waiting, place, look.now)
    leader.shares.granted(
        classes.class_of(turn.waiting.ask),
        place.held,
        late=turn.late,
        now=look.now,
        owed=turn.owed,
    )


def _choose(
    look: _Look,
    turn: ordering.Turn,
    offers: list[placing.Offer],
) -> placing.Place | None:
    """Choose the open server where a request should start now, if any.

    Where it wouldn't come in time, a server where it does may be free soon;
    but with all of them open to wait is only to lose time: the longest
    prompts would wait till they are late, and the longest outputs, beside
    free slots, until their callers have left.
    """
    waiting = turn.waiting
    place = placing.on_time(offers, waiting, look.learnt)
    if place is not None:
        return place
    may_be_late = turn.late or look.all_able
    if look.pace.crowded and not may_be_late:
        return None
    place = placing.earliest(offers, waiting, look.learnt)
    if place is not None:
        if turn.late or (look.all_able and not place.delays):
            return place
        return None
    if look.pace.crowded:
        return None
    place = placing.shortest(offers, waiting)
    return None if place is None or place.delays else place


def _use_up(
    offers: list[placing.Offer],
    offer: placing.Offer,
    learnt: placing.Learnt,
) -> None:
    """Take a slot of an open server; what it offers has changed with that."""
    offers.remove(offer)
    if offer.free > 1:
        left = placing.offer(offer.server, offer.free - 1, learnt)
        offers.append(left)


def _refuse_endless(leader: state.LeaderState, now: float) -> None:
    """Refuse what no server ends in the time that it has left."""
    if leader.quickest is None:
        return
    decode = leader.learnt.decode(leader.quickest.speed)
    for waiting in list(leader.waiting.values()):
        if placing.outlasts(waiting, decode * waiting.tokens, now):
            state.refuse(leader, waiting, requests.DenialReason.too_late)


def _refuse_paused(leader: state.LeaderState, now: float) -> None:
    """Refuse what no server takes from its host before its caller leaves."""
    owners = {waiting.ask.owner for waiting in leader.waiting.values()}
    paused = {owner: leader.pauses(owner) for owner in owners}
    if not any(paused.values()):
        return
    serving = {one.start for one in leader.servers.values() if one.serves}
    lead = _lead(leader)
    for waiting in list(leader.waiting.values()):
        pauses = paused[waiting.ask.owner]
        if not serving or not serving <= pauses.keys():
            continue
        until = min(pauses[start] for start in serving)
        left = min(waiting.ask.patience, waiting.ask.deadline) - lead(waiting)
        if until > left:
            shed = requests.DenialReason.shed
            state.refuse(leader, waiting, shed, until - now)


def _give_up(
    leader: state.LeaderState,
    waiting: records.Waiting,
    now: float,
) -> None:
    if leader.servers:
        state.refuse(leader, waiting, requests.DenialReason.shed)
        return
    since = max(waiting.arrived, leader.served_at)
    if now - since > _NO_SERVER_SECONDS:
        state.refuse(leader, waiting, requests.DenialReason.no_server)


def _grant(
    leader: state.LeaderState,
    waiting: records.Waiting,
    place: placing.Place,
    now: float,
) -> None:
    ask = waiting.ask
    server = place.offer.server
    grant = requests.Grant(
        ask.request_id,
        server.server_id,
        server.announcement.incarnation,
        server.announcement.address,
        server.version,
    )
    leader.guide.record_grant(
        ask.rule, new=server.version == leader.guide.target_version
    )
    running = records.Running(
        ask=ask,
        grant=grant,
        granted=now,
        read_tokens=place.read,
        predicted=place.first,
        tokens=waiting.tokens,
    )
    leader.waiting.pop(ask.request_id)
    if server.throttle is not None:
        server.throttle.take()
    state.run(leader, server, running)
    waiting.fut.set_result(grant)
