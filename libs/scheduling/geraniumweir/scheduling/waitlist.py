"""Waiting requests: in the fair queue, or held back from it.

A suspect is held back until it can run on a server without other suspects,
while no request with the same fingerprint runs. A request of a rule at its
running limit is parked until one of the rule ends. All others are in the fair
queue.
"""

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    deadline_records,
    deadline_state,
    requests,
    suspects,
)

_ROUNDING_ERROR = 1e-9


def enqueue(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Add a request to those that wait."""
    slot_request = waiting.slot_request
    leader.waiting[slot_request.request_id] = waiting
    leader.by_tier[slot_request.tier][slot_request.request_id] = waiting
    leader.cost_by_tier[slot_request.tier] += waiting.cost
    leader.cost_by_flow[waiting.flow] += waiting.cost
    rule = leader.rules.setdefault(
        slot_request.rule, deadline_records.RuleCount()
    )
    rule.waiting += 1
    if is_suspect(leader, slot_request):
        waiting.held = True
        leader.held[slot_request.request_id] = waiting
    elif over_running_limit(leader, slot_request):
        waiting.held = True
        rule.parked[slot_request.request_id] = waiting
    else:
        add_to_queue(leader, waiting)


def dequeue(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Remove a request from those that wait, if it is there."""
    slot_request = waiting.slot_request
    if leader.waiting.pop(slot_request.request_id, None) is None:
        return
    leader.by_tier[slot_request.tier].pop(slot_request.request_id)
    leader.cost_by_tier[slot_request.tier] -= waiting.cost
    leader.cost_by_flow[waiting.flow] -= waiting.cost
    if not leader.by_tier[slot_request.tier]:
        # Rounding errors of the sum would accumulate; an empty tier costs 0.
        leader.cost_by_tier[slot_request.tier] = 0
    if leader.cost_by_flow[waiting.flow] <= _ROUNDING_ERROR:
        leader.cost_by_flow.pop(waiting.flow)
    if waiting.timer is not None:
        waiting.timer.cancel()
    rule = leader.rules[slot_request.rule]
    rule.waiting -= 1
    rule.parked.pop(slot_request.request_id, None)
    leader.held.pop(slot_request.request_id, None)
    discard_idle_rule(leader, slot_request.rule)
    if not waiting.held:
        _remove_from_queue(leader, waiting)


def discard_idle_rule(
    leader: deadline_state.DeadlineLeaderState, name: ids.RuleName
) -> None:
    """Remove the count of a rule without running or waiting requests."""
    rule = leader.rules[name]
    if not rule.running and not rule.waiting:
        leader.rules.pop(name)


def cancel_reservation(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> deadline_records.Server | None:
    """Cancel the reservation of a request.

    :returns: the server that had it, or None.
    """
    if waiting.reserved_on is None:
        return None
    server = leader.servers.get(waiting.reserved_on)
    waiting.reserved_on = None
    if server is not None:
        server.reservations.pop(waiting.slot_request.request_id, None)
    return server


def reserve(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> None:
    """Reserve a server's next free room for a request."""
    cancel_reservation(leader, waiting)
    server.reservations[waiting.slot_request.request_id] = waiting
    waiting.reserved_on = server.server_id


def hold_if_needed(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> bool:
    """Hold back a request that became a suspect or exceeds its rule's limit.

    :returns: whether it is held back.
    """
    slot_request = waiting.slot_request
    if is_suspect(leader, slot_request):
        leader.held[slot_request.request_id] = waiting
    elif over_running_limit(leader, slot_request):
        leader.rules[slot_request.rule].parked[slot_request.request_id] = (
            waiting
        )
    else:
        return False
    _remove_from_queue(leader, waiting)
    waiting.held = True
    return True


def add_to_queue(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Add a request to the queue that was held back or is new."""
    waiting.held = False
    leader.queue.add(
        waiting,
        waiting.flow,
        waiting.sequence,
        waiting.latest_starts,
    )


def _remove_from_queue(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    leader.queue.remove(
        waiting,
        waiting.flow,
        waiting.sequence,
        waiting.latest_starts,
    )


def is_suspect(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> bool:
    """Return whether a request may crash the server that runs it."""
    verdict = leader.suspects.verdict(slot_request.fingerprint, leader.now())
    return verdict is not suspects.Verdict.clear


def over_running_limit(
    leader: deadline_state.DeadlineLeaderState,
    slot_request: requests.SlotRequest,
) -> bool:
    """Return whether the rule of a request is at its running limit."""
    if slot_request.max_running is None:
        return False
    rule = leader.rules.get(slot_request.rule)
    return rule is not None and rule.running >= slot_request.max_running
