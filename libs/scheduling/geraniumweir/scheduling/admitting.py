"""Admission of slot requests: denies what cannot be served, queues the rest."""

import asyncio
import math

from geraniumweir.scheduling import (
    deadline_granting,
    deadline_records,
    deadline_state,
    estimating,
    predicting,
    requests,
    shedding,
    suspects,
    waitlist,
)

# One in so many requests that look too late is admitted as a probe.
_PROBE_EVERY = 16
# A request is denied for a long queue only where the expected wait clearly
# exceeds the time that it has, as both are estimates.
_WAIT_FACTOR = 2.0
_WAIT_MARGIN_SECONDS = 0.5
_MS_PER_SECOND = 1000
_OPTIMISTIC_FACTOR = 0.5
_SHORT_ANSWER_TOKENS = 16.0


def admit(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> deadline_records.Waiting | requests.Denial:
    """Grant, queue or deny a request that is neither waiting nor granted.

    :returns: the waiting request, perhaps decided already, or a denial.
    """
    within_budget = leader.budgets.within_budget(
        slot_request.customer,
        slot_request.fingerprint,
        leader.now(),
    )
    denied = _deny_at_once(leader, slot_request)
    if denied is not None:
        return denied
    waiting = _make_waiting(leader, slot_request)
    if _too_late(leader, waiting):
        return shedding.make_denial(
            leader, slot_request, requests.DenialReason.too_late
        )
    if deadline_granting.try_grant(leader, waiting):
        return waiting
    reason = _reason_not_to_queue(leader, waiting, within_budget)
    if reason is not None:
        return shedding.make_denial(leader, slot_request, reason)
    _enqueue(leader, waiting)
    return waiting


def _enqueue(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    full = len(leader.waiting) >= leader.cfg.queue_limit
    room = not full or shedding.shed_lower(leader, waiting.slot_request)
    waitlist.enqueue(leader, waiting)
    if room or shedding.preempt(leader, waiting):
        if not waiting.fut.done():
            deadline_granting.reserve_room(leader, waiting)
            shedding.schedule_decision(leader, waiting)
        return
    shedding.deny(leader, waiting, requests.DenialReason.queue_full)


def _deny_at_once(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> requests.Denial | None:
    reason = _reason_at_once(leader, slot_request)
    if reason is not None:
        return shedding.make_denial(leader, slot_request, reason)
    seconds = leader.rates.take(
        slot_request.rule, slot_request.rate_per_s, leader.now()
    )
    if seconds:
        return _over_rate(slot_request, seconds)
    if _has_no_server(leader):
        # The rate has counted the request above: another failure domain may
        # serve it.
        reason = requests.DenialReason.no_server
        return shedding.make_denial(leader, slot_request, reason)
    return None


def _reason_at_once(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> requests.DenialReason | None:
    now = leader.now()
    verdict = leader.suspects.verdict(slot_request.fingerprint, now)
    if verdict is suspects.Verdict.quarantined:
        return requests.DenialReason.quarantined
    if slot_request.deadline <= now:
        return requests.DenialReason.too_late
    return None


def _has_no_server(leader: deadline_state.DeadlineLeaderState) -> bool:
    before = leader.now() - shedding.NO_SERVER_SECONDS
    return leader.takeover_complete and leader.live_server_at < before


def _over_rate(
    slot_request: requests.SlotRequest, seconds: float
) -> requests.Denial:
    """Deny a request over its rule's rate, which is no sign of overload."""
    return requests.Denial(
        slot_request.request_id,
        requests.DenialReason.rule_limit,
        math.ceil(seconds * _MS_PER_SECOND),
    )


def _reason_not_to_queue(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    within_budget: bool,
) -> requests.DenialReason | None:
    slot_request = waiting.slot_request
    if _over_waiting_limit(leader, slot_request):
        return requests.DenialReason.rule_limit
    if shedding.serves_lower_tier(leader, slot_request.tier):
        return None
    if not within_budget:
        return requests.DenialReason.shed
    if _queue_too_long(leader, waiting):
        return requests.DenialReason.too_late
    return None


def _over_waiting_limit(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> bool:
    if slot_request.max_waiting is None:
        return False
    rule = leader.rules.get(slot_request.rule, deadline_records.RuleCount())
    return rule.waiting >= slot_request.max_waiting


def _make_waiting(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> deadline_records.Waiting:
    leader.sequence += 1
    waiting = deadline_records.Waiting(
        slot_request,
        leader.sequence,
        leader.now(),
        asyncio.get_running_loop().create_future(),
        estimating.expected_length(leader.lengths, slot_request),
    )
    _set_starts(leader, waiting)
    return waiting


def _set_starts(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    waiting.latest_starts = predicting.starts_by_class(leader, waiting)
    if not waiting.latest_starts:
        return
    waiting.best_start = max(waiting.latest_starts.values())
    if not waiting.expected.is_reliable and waiting.best_start < leader.now():
        _assume_short(leader, waiting)
    seconds = waiting.slot_request.deadline - waiting.best_start
    waiting.cost = seconds / leader.cfg.safety


def _assume_short(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Assume a short answer where the output length is hardly known."""
    waiting.expected = estimating.Expected(
        min(waiting.expected.mean, _SHORT_ANSWER_TOKENS),
        waiting.expected.high,
    )
    waiting.latest_starts = predicting.starts_by_class(leader, waiting)
    waiting.best_start = max(waiting.latest_starts.values())


def _too_late(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request cannot end in time even on an idle server.

    One in :data:`_PROBE_EVERY` of these is admitted on an idle pool
    nevertheless, as a probe: a wrong prediction that admits nothing would
    never be corrected.
    """
    if not waiting.latest_starts or waiting.best_start >= leader.now():
        return False
    if shedding.serves_lower_tier(leader, waiting.slot_request.tier):
        waiting.duration_factor = _OPTIMISTIC_FACTOR
        _set_starts(leader, waiting)
        if waiting.best_start >= leader.now():
            return False
    leader.too_late_count += 1
    if leader.waiting or leader.too_late_count % _PROBE_EVERY:
        return True
    waiting.probe = True
    _set_starts(leader, waiting)
    return False


def _queue_too_long(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request will hardly get its turn in time.

    The expected wait is the lesser of the work ahead of its tier and of its
    own customer's work at a fair share, so that the long queue of one customer
    does not cause denials for another.
    """
    if not waiting.latest_starts:
        return False
    slot_request = waiting.slot_request
    fair = leader.cost_by_flow[waiting.flow]
    fair *= leader.queue.backlogged(slot_request.tier) / max(leader.slots, 1)
    higher = shedding.work_above(leader, slot_request.tier) / max(
        leader.slots, 1
    )
    seconds = min(
        higher + fair,
        shedding.expected_wait(leader, slot_request.tier),
    )
    slack = waiting.best_start - leader.now()
    return seconds > _WAIT_FACTOR * slack + _WAIT_MARGIN_SECONDS
