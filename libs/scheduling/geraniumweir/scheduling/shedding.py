"""Denial and preemption, strictly from the lowest tier.

A request that nears its latest start preempts a cancellable stream of a lower
tier: of the lowest tier first, and there the one that wastes the least
prefill. A non-idempotent request is never preempted. A request is denied only
when nothing of a lower tier could make room, and then at once, with a
randomized retry time.
"""

import asyncio
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    deadline_granting,
    deadline_records,
    deadline_state,
    placement,
    predicting,
    requests,
    waitlist,
)

# Time for preempted streams to end after a latest start has passed.
_GRACE_SECONDS = 0.25
# Attempts to preempt within the slack before a latest start.
_RETRIES_IN_SLACK = 4
# How long requests wait for a pool without servers: the servers may exist
# without having been announced to this leader yet.
NO_SERVER_SECONDS = 1.0
_MAX_VICTIMS = 8
# How much earlier a request is checked than its preemption slack demands, as
# all servers may have prefill ahead.
_MAX_PREFILL_AHEAD_SECONDS = 2.0
_RETRY_INTERVAL_SECONDS = 0.5
_MIN_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 10.0
_RETRY_SPREAD = 0.5
_MS_PER_SECOND = 1000


def schedule_decision(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Schedule the decision on a request for its latest start."""
    if not waiting.latest_starts:
        decide_at = min(
            waiting.slot_request.deadline, waiting.arrived + NO_SERVER_SECONDS
        )
        _start_timer(leader, waiting, decide_at, decide_at_latest_start)
        return
    fire_at = (
        waiting.best_start
        - leader.cfg.preempt_slack
        - _MAX_PREFILL_AHEAD_SECONDS
    )
    if fire_at <= leader.now():
        serve_or_preempt(leader, waiting)
    else:
        _start_timer(leader, waiting, fire_at, serve_or_preempt)


def deny_unservable(leader: deadline_state.DeadlineLeaderState) -> None:
    """Deny requests that only servers that left could have served.

    No other live server of this leader can serve them; another failure domain
    may, and the entry host asks it next.
    """
    live = {server.kind for server in leader.servers.values() if server.live}
    if not leader.takeover_complete or len(live) == len(leader.classes):
        return
    before = leader.now() - NO_SERVER_SECONDS
    for waiting in list(leader.waiting.values()):
        if waiting.arrived <= before and live.isdisjoint(waiting.latest_starts):
            deny(leader, waiting, requests.DenialReason.no_server)


def _min_prefill_ahead(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> float:
    """Return the least prefill ahead, in seconds, on a few servers.

    The latest start assumes an idle server, but all of them may be busy.
    """
    streams = itertools.chain.from_iterable(
        leader.preemptible.least(kind, tier)
        for kind in waiting.latest_starts
        for tier in ids.Tier
        if tier > waiting.slot_request.tier
    )
    server_ids = (leader.running[one].grant.server_id for one in streams)
    near = (leader.servers[name] for name in dict.fromkeys(server_ids))
    ahead = [predicting.prefill_ahead(leader, server) for server in near]
    return min(ahead, default=0) * leader.cfg.safety


def serve_or_preempt(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Grant a request near its latest start, or preempt for it."""
    if waiting.fut.done() or deadline_granting.try_grant(leader, waiting):
        return
    left = waiting.best_start - leader.cfg.preempt_slack - leader.now()
    if left > _min_prefill_ahead(leader, waiting):
        _start_timer(
            leader,
            waiting,
            leader.now() + min(left, _RETRY_INTERVAL_SECONDS),
            serve_or_preempt,
        )
        return
    preempt(leader, waiting)
    if waiting.fut.done():
        return
    # The freed slot may go to a request of a higher tier; then more streams
    # have to be preempted.
    retry_at = leader.now() + leader.cfg.preempt_slack / _RETRIES_IN_SLACK
    if retry_at < waiting.best_start:
        _start_timer(leader, waiting, retry_at, serve_or_preempt)
    else:
        _start_timer(
            leader, waiting, waiting.best_start, decide_at_latest_start
        )


def decide_at_latest_start(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Grant, preempt for or deny a request at its latest start."""
    if waiting.fut.done() or deadline_granting.try_grant(leader, waiting):
        return
    if not waiting.extended and preempt(leader, waiting):
        waiting.extended = True
        if not waiting.fut.done():
            _start_timer(
                leader,
                waiting,
                leader.now() + _GRACE_SECONDS,
                decide_at_latest_start,
            )
        return
    deny(leader, waiting, _reason_at_end(leader, waiting))


def _reason_at_end(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> requests.DenialReason:
    """Return why a request was not served until its latest start."""
    if not waiting.latest_starts:
        return requests.DenialReason.no_server
    if waitlist.over_running_limit(leader, waiting.slot_request):
        return requests.DenialReason.rule_limit
    if (
        waiting.held
        and waiting.slot_request.fingerprint in leader.running_fingerprints
    ):
        return requests.DenialReason.quarantined
    return requests.DenialReason.too_late


def deny(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    reason: requests.DenialReason,
) -> None:
    """Deny a waiting request."""
    waitlist.dequeue(leader, waiting)
    kept = waitlist.cancel_reservation(leader, waiting)
    waiting.fut.set_result(make_denial(leader, waiting.slot_request, reason))
    if kept is not None:
        deadline_granting.fill(leader, kept)


def make_denial(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
    reason: requests.DenialReason,
) -> requests.Denial:
    """Return a denial with a retry time, and record it in the retry budget."""
    now = leader.now()
    if reason is not requests.DenialReason.withdrawn:
        leader.budgets.record_refusal(
            slot_request.customer, slot_request.fingerprint, now
        )
    seconds = expected_wait(leader, slot_request.tier)
    if reason is requests.DenialReason.quarantined:
        seconds = leader.suspects.remaining_seconds(
            slot_request.fingerprint, now
        )
    else:
        seconds = min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
    # Randomized, so that requests denied together are not retried together.
    spread = leader.rng.uniform(1, 1 + 2 * _RETRY_SPREAD)
    return requests.Denial(
        slot_request.request_id, reason, int(seconds * spread * _MS_PER_SECOND)
    )


def expected_wait(
    leader: deadline_state.DeadlineLeaderState, tier: ids.Tier
) -> float:
    """Return the seconds that the pool needs for the work ahead of a tier."""
    ahead = work_above(leader, tier) + leader.cost_by_tier[tier]
    return max(ahead, 0) / max(leader.slots, 1)


def work_above(
    leader: deadline_state.DeadlineLeaderState, tier: ids.Tier
) -> float:
    """Return the predicted slot seconds of requests waiting in higher tiers."""
    return sum(
        cost for other, cost in leader.cost_by_tier.items() if other < tier
    )


def shed_lower(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> bool:
    """Shed the last request of the lowest tier below that of a new one."""
    for tier in reversed(ids.Tier):
        if tier <= slot_request.tier:
            return False
        latest = next(reversed(leader.by_tier[tier].values()), None)
        if latest is not None:
            deny(leader, latest, requests.DenialReason.shed)
            return True
    return False


def serves_lower_tier(
    leader: deadline_state.DeadlineLeaderState, tier: ids.Tier
) -> bool:
    """Return whether a request of a lower tier runs or waits."""
    return any(
        leader.running_by_tier[lower] or leader.by_tier[lower]
        for lower in ids.Tier
        if lower > tier
    )


def preempt(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> bool:
    """Have streams of a lower tier cancelled in favour of a request.

    :returns: whether such cancellations are under way.
    """
    if not leader.cfg.preempts or not leader.takeover_complete:
        return False
    if waitlist.over_running_limit(leader, waiting.slot_request):
        return False
    if (
        waiting.held
        and waiting.slot_request.fingerprint in leader.running_fingerprints
    ):
        return False
    if waiting.preempting & leader.running.keys():
        return True
    chosen = _choose_victims(leader, waiting)
    if not chosen:
        return False
    server_id = chosen[0].grant.server_id
    waitlist.reserve(leader, leader.servers[server_id], waiting)
    for running in chosen:
        running.preempted = True
        leader.preemptible.remove(running.slot_request.request_id)
        waiting.preempting.add(running.slot_request.request_id)
    for running in chosen:
        leader.on_preempt(
            requests.Preempt(
                running.slot_request.request_id,
                running.slot_request.owner,
                server_id,
            ),
        )
    return True


def _choose_victims(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> list[deadline_records.Running]:
    for tier in reversed(ids.Tier):
        if tier <= waiting.slot_request.tier:
            return []
        options = _victim_sets(leader, waiting, tier)
        if options:
            return min(options, key=_waste)
    return []


def _victim_sets(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    tier: ids.Tier,
) -> list[list[deadline_records.Running]]:
    """List the sets of streams that could be cancelled, one tier first."""
    streams = itertools.chain.from_iterable(
        leader.preemptible.least(kind, tier) for kind in waiting.latest_starts
    )
    options = (
        _victims_with(leader, waiting, request_id) for request_id in streams
    )
    return [chosen for chosen in options if chosen]


def _waste(chosen: typing.Iterable[deadline_records.Running]) -> float:
    return sum(running.uncached for running in chosen)


def _victims_with(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    request_id: ids.RequestId,
) -> list[deadline_records.Running]:
    """Return what to cancel, beside a stream, so that a request fits."""
    first = leader.running[request_id]
    server = leader.servers[first.grant.server_id]
    if first.stuck or not _could_run(server, waiting):
        return []
    slots, tokens = _missing_capacity(server, waiting)
    streams = itertools.chain(
        [first], _further_victims(leader, server, first, waiting)
    )
    chosen = []
    for running in itertools.islice(streams, _MAX_VICTIMS):
        chosen.append(running)
        slots -= 1
        tokens -= running.kv_need
        if slots <= 0 and tokens <= 0:
            break
    else:
        if len(chosen) < len(server.running) or server.reservations:
            return []
    if predicting.in_time_after_cancel(leader, server, waiting, chosen):
        return chosen
    return []


def _missing_capacity(
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> tuple[int, float]:
    """Return the slots and KV cache tokens that a server lacks.

    Streams being preempted count as ended. Requests with a reservation that go
    before, and for which streams are being preempted, count as running.
    """
    staying = [
        running for running in server.running.values() if not running.preempted
    ]
    moving = sum(not running.stuck for running in staying)
    reserved = [
        other
        for other in placement.reservations_before(server, waiting)
        if other.preempting
    ]
    slots = moving + len(reserved) + 1 - server.capacity()
    if not server.announcement.kv_tokens:
        return slots, 0
    used = sum(running.kv_need for running in staying)
    used += sum(other.kv_need for other in reserved)
    return slots, used + waiting.kv_need - server.announcement.kv_tokens


def _further_victims(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    first: deadline_records.Running,
    waiting: deadline_records.Waiting,
) -> list[deadline_records.Running]:
    others = [
        running
        for request_id, running in server.running.items()
        if running is not first
        and running.slot_request.tier > waiting.slot_request.tier
        and leader.preemptible.waste(request_id) is not None
    ]
    return sorted(
        others,
        key=lambda running: (-running.slot_request.tier, running.uncached),
    )


def _could_run(
    server: deadline_records.Server, waiting: deadline_records.Waiting
) -> bool:
    """Return whether a server may run a request once a stream is cancelled."""
    if not server.capacity():
        return False
    return not (waiting.held and server.suspects)


def _start_timer(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    fire_at: float,
    action: typing.Callable[
        [deadline_state.DeadlineLeaderState, deadline_records.Waiting], None
    ],
) -> None:
    if waiting.timer is not None:
        waiting.timer.cancel()
    delay = max(fire_at - leader.now(), 0)
    waiting.timer = asyncio.get_running_loop().call_later(
        delay,
        action,
        leader,
        waiting,
    )
