"""Scheduling cycles: grants of free slots, refusals of hopeless requests."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import (
    canary_requests,
    classes,
    continuations,
    distance,
    fleet,
    observations,
    open_servers,
    ordering,
    part_checks,
    placing,
    pool_log,
    records,
    refusing,
    state,
)

# While requests wait, a cycle runs at least this often, for what changes with
# time alone: cooldowns that end, targets that can't be met any more.
_CYCLE_SECONDS = 0.05
# While more than a few requests wait, the events of this time share one cycle.
_BATCH_SECONDS = 0.004
# A slot may stay free for this fraction of the time for which requests usually
# hold one.
_BATCH_HOLD_FRACTION = 0.01
# A cycle costs some 6 µs for each waiting request; the longer the queue, the
# more events share a cycle.
_BATCH_SECONDS_PER_REQUEST = 3e-5
# Upper bound of the batch time, so that refusals are sent promptly.
_MAX_BATCH_SECONDS = 0.05
# A cycle over so few requests takes less time than batching would.
_MAX_UNBATCHED = 8
# Only the newest requests of a queue are planned. At 2,500 requests a second
# those before them have waited longer than any target; if the oldest were
# planned instead, a large pool would not consider new requests before they are
# late.
_MAX_PLANNED = 4096
# After so many requests in a row that fit no open server, the others are left
# to the next cycle: each is compared with up to sixteen servers.
_MAX_FAILED_IN_ROW = 128
# The same for begun streams, whose offers are made for each of them.
_MAX_FAILED_CONTINUATIONS = 16


@dataclasses.dataclass(slots=True)
class _Cycle:
    """One scheduling cycle over the waiting requests.

    :ivar now: start of the cycle, in seconds on the loop's clock.
    :ivar pace: slot rate and arrival rate of the pool.
    :ivar estimates: estimated speeds of servers and quality of paths.
    :ivar pauses: returns the servers that asked a host for a pause.
    :ivar candidates: servers that still have a free slot in this cycle.
    :ivar all_open: whether the candidates are all servers of the pool.
    :ivar canaries: servers of a new version that may get canary requests.
    :ivar failed_in_row: consecutive requests that fit no candidate.
    :ivar failed_continuations: begun streams that fit no server of their
        version.
    """

    now: float
    pace: ordering.Pace
    estimates: placing.Estimates
    pauses: state.Pauses
    candidates: list[placing.Offer] = dataclasses.field(default_factory=list)
    all_open: bool = False
    canaries: list[placing.Offer] = dataclasses.field(default_factory=list)
    failed_in_row: int = 0
    failed_continuations: int = 0

    def without_paused(
        self,
        offers: list[placing.Offer],
        owner: ids.HostId,
    ) -> list[placing.Offer]:
        """Return the offers without servers that paused the owner."""
        paused = self.pauses(owner)
        if not paused:
            return offers
        return [one for one in offers if one.server.start not in paused]


def trigger_cycle(leader: state.OnTimeLeaderState) -> None:
    """Run a scheduling cycle, now or as soon as one is due.

    A cycle costs in proportion to the number of waiting requests, and in
    overload hundreds of requests arrive and end in a second; so they share a
    cycle.
    """
    if not leader.waiting:
        return
    remaining_seconds = (
        leader.last_cycle_at + _batch_seconds(leader) - leader.now()
    )
    if remaining_seconds > 0 and len(leader.waiting) > _MAX_UNBATCHED:
        _arm_timer(leader, remaining_seconds)
    else:
        _run_cycle(leader)


def _batch_seconds(leader: state.OnTimeLeaderState) -> float:
    """Return the minimum seconds between two cycles."""
    delay = max(
        _BATCH_SECONDS,
        len(leader.waiting) * _BATCH_SECONDS_PER_REQUEST,
        leader.hold_seconds * _BATCH_HOLD_FRACTION,
    )
    return min(delay, _MAX_BATCH_SECONDS)


def _run_cycle(leader: state.OnTimeLeaderState) -> None:
    leader.last_cycle_at = leader.now()
    fleet.sync(leader)
    if leader.waiting and leader.now() >= leader.takeover_ends_at:
        _process_queue(leader)
        pool_log.log_state(leader)
    if leader.waiting:
        _arm_timer(leader, _CYCLE_SECONDS)


def _arm_timer(leader: state.OnTimeLeaderState, seconds: float) -> None:
    """Schedule a cycle within some seconds; an earlier one stays."""
    due = leader.now() + seconds
    if leader.timer is not None:
        if leader.timer.when() <= due:
            return
        leader.timer.cancel()
    loop = asyncio.get_running_loop()
    leader.timer = loop.call_later(seconds, _on_timer, leader)


def _on_timer(leader: state.OnTimeLeaderState) -> None:
    leader.timer = None
    if leader.waiting:
        _run_cycle(leader)


def _process_queue(leader: state.OnTimeLeaderState) -> None:
    now = leader.now()
    refusing.refuse_version_gone(leader)
    refusing.refuse_too_long(leader, now)
    refusing.refuse_paused(leader, now)
    part_checks.refuse_crashing(leader, now)
    waiting = list(leader.waiting.values())[-_MAX_PLANNED:]
    pace = state.pace(leader)
    planned = ordering.plan(
        waiting,
        now,
        pace,
        refusing.lead_time(leader),
        ordering.Priorities(
            leader.shares.deficits(now),
            leader.length_bands.starved(now),
            leader.customer_shares.excess(now) if pace.is_crowded else {},
            leader.routes.behind(now) if pace.is_crowded else frozenset(),
            observations.hold_time(leader),
        ),
    )
    estimates = placing.Estimates(leader.estimates, leader.path_quality, now)
    cycle = _Cycle(now, pace, estimates, leader.pauses)
    _grant_in_order(leader, cycle, planned.turns)
    for hopeless in planned.hopeless:
        refusing.refuse_hopeless(leader, hopeless.waiting, now)


def _grant_in_order(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    turns: typing.Iterable[ordering.Turn],
) -> None:
    """Grant slots to requests in the order of the plan."""
    cycle.canaries = canary_requests.open_canaries(leader, cycle.estimates)
    is_full = False
    for turn in turns:
        if part_checks.must_wait(leader, turn.waiting, cycle.now):
            continue
        if turn.waiting.slot_request.version is not None:
            _try_continuation(leader, cycle, turn)
        elif not is_full and not _try_canary(leader, cycle, turn):
            is_full = not _try_any_server(leader, cycle, turn)


def _try_any_server(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    turn: ordering.Turn,
) -> bool:
    """Grant a request a slot of a server that serves, if one is suitable.

    :returns: whether there are slots for further requests.
    """
    if not cycle.candidates:
        _open_servers(leader, cycle, turn.waiting.slot_request)
    if not cycle.candidates or cycle.failed_in_row == _MAX_FAILED_IN_ROW:
        return False
    _try_grant(leader, cycle, turn)
    return True


def _open_servers(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    slot_request: requests.SlotRequest,
) -> None:
    """List candidates, some of them in the domain of the next request.

    While there is room for all, hardly more than one request waits in a cycle.
    """
    eligible = leader.serving
    first_index = leader.rng.randrange(len(eligible)) if eligible else 0
    nearby = distance.nearby(leader.by_domain, slot_request, leader.rng)
    cycle.candidates = open_servers.open_offers(
        eligible, first_index, cycle.estimates, nearby
    )
    rate_limited = sum(
        one.is_rate_limited(cycle.now) for one in leader.throttled
    )
    cycle.all_open = len(cycle.candidates) == len(eligible) - rate_limited


def _try_grant(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    turn: ordering.Turn,
) -> None:
    """Grant a request a slot of a candidate server, if one is suitable."""
    offers = cycle.without_paused(
        cycle.candidates, turn.waiting.slot_request.owner
    )
    if not offers:
        return
    placement = _choose(cycle, turn, offers)
    if placement is None:
        cycle.failed_in_row += 1
        return
    cycle.failed_in_row = 0
    _grant_and_count(leader, cycle, turn, placement)
    open_servers.take_slot(cycle.candidates, placement.offer, cycle.estimates)


def _try_canary(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    turn: ordering.Turn,
) -> bool:
    """Grant a request a server of a new version, if the rollout allows it.

    :returns: whether it was granted.
    """
    if not cycle.canaries or not leader.guide.may_grant_new_version(
        turn.waiting.slot_request.rule
    ):
        return False
    offers = cycle.without_paused(
        cycle.canaries, turn.waiting.slot_request.owner
    )
    placement = canary_requests.choose(offers, turn.waiting, cycle.estimates)
    if placement is None:
        return False
    _grant_and_count(leader, cycle, turn, placement)
    open_servers.take_slot(cycle.canaries, placement.offer, cycle.estimates)
    return True


def _try_continuation(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    turn: ordering.Turn,
) -> None:
    """Grant a begun stream a slot of a server of its version, if one is free.

    The offers are made for each stream, as there are few of them and other
    requests take slots of the same servers.
    """
    if cycle.failed_continuations == _MAX_FAILED_CONTINUATIONS:
        return
    slot_request = turn.waiting.slot_request
    offers = cycle.without_paused(
        open_servers.open_offers(
            continuations.servers(leader, slot_request.version),
            0,
            cycle.estimates,
        ),
        slot_request.owner,
    )
    placement = continuations.choose(offers, turn.waiting, cycle.estimates)
    if placement is None:
        cycle.failed_continuations += 1
        return
    _grant_and_count(leader, cycle, turn, placement)
    for listed in (cycle.candidates, cycle.canaries):
        open_servers.take_slot_of(
            listed, placement.offer.server, cycle.estimates
        )


def _grant_and_count(
    leader: state.OnTimeLeaderState,
    cycle: _Cycle,
    turn: ordering.Turn,
    placement: placing.Placement,
) -> None:
    """Grant a request a slot and add it to the usage of class and customer."""
    slot_request = turn.waiting.slot_request
    counts_for_route = turn.waiting.counts_for_route and not turn.late
    _grant(leader, turn.waiting, placement, cycle.now, counts_for_route)
    if counts_for_route:
        leader.routes.record_grant(slot_request, cycle.now)
    request_class = classes.class_of(slot_request)
    if not turn.late:
        leader.length_bands.record_grant(
            request_class, turn.waiting.band, cycle.now
        )
    leader.customer_shares.record_grant(
        request_class, slot_request.customer, placement.hold_seconds, cycle.now
    )
    leader.shares.record_grant(
        request_class,
        placement.hold_seconds,
        late=turn.late,
        now=cycle.now,
        for_deficit=turn.has_deficit,
    )


def _choose(
    cycle: _Cycle,
    turn: ordering.Turn,
    offers: list[placing.Offer],
) -> placing.Placement | None:
    """Choose the open server on which a request should start now, if any.

    Where the request would be late on every open server, it may still be in
    time on one that is free soon. With all servers open, however, waiting only
    loses time: the longest prompts would wait until they are late, and the
    longest outputs would wait, with slots free, until their callers have left.
    """
    waiting = turn.waiting
    placement = placing.choose_on_time(offers, waiting, cycle.estimates)
    if placement is not None:
        return placement
    may_be_late = turn.late or cycle.all_open
    if cycle.pace.is_crowded and not may_be_late:
        return None
    placement = placing.choose_earliest(offers, waiting, cycle.estimates)
    if placement is not None:
        if turn.late or (cycle.all_open and not placement.delays_streams):
            return placement
        return None
    if cycle.pace.is_crowded:
        return None
    placement = placing.choose_shortest(offers, waiting)
    return None if placement is None or placement.delays_streams else placement


def _grant(
    leader: state.OnTimeLeaderState,
    waiting: records.Waiting,
    placement: placing.Placement,
    now: float,
    counts_for_route: bool,
) -> None:
    slot_request = waiting.slot_request
    server = placement.offer.server
    grant = requests.Grant(
        slot_request.request_id,
        server.server_id,
        server.announcement.incarnation,
        server.announcement.address,
        server.version,
    )
    leader.guide.record_grant(
        slot_request.rule, new=server.version == leader.guide.target_version
    )
    running = records.Running(
        slot_request=slot_request,
        grant=grant,
        granted_at=now,
        read_tokens=placement.tokens_to_read,
        predicted=placement.first_token_seconds,
        tokens=waiting.tokens,
        counts_for_route=counts_for_route,
    )
    leader.waiting.pop(slot_request.request_id)
    part_checks.record_grant(leader, slot_request, now)
    if server.throttle is not None:
        server.throttle.take()
    state.register_running(leader, server, running)
    waiting.fut.set_result(grant)
