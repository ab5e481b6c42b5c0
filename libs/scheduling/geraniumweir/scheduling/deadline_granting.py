"""Grants of slots on backend servers to waiting requests.

A grant is made in two ways: a new request takes the server that is predicted
to finish it first, and a server with a free slot takes the first request in
order that it can finish in time. A request that lacks only KV cache room
reserves a server, so that smaller requests after it cannot take the room
indefinitely.
"""

import heapq
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    affinity,
    deadline_records,
    deadline_state,
    fleet,
    placement,
    predicting,
    requests,
    stragglers,
    waitlist,
)

# Held suspects considered at a time, so that the cost is bounded.
_MAX_HELD_CONSIDERED = 8
# A request may be overtaken by requests with a cached prefix, but not
# indefinitely, and not near its latest start.
_MAX_OVERTAKEN = 10
# Requests of a tier considered for a grant, so that the cost is bounded.
_MAX_CONSIDERED = 20
_OVERTAKE_SLACK_SECONDS = 1.0
# The queue is searched again from these offsets on, as the requests with the
# earliest starts may be too urgent for the server.
_LATER_SECONDS = (0, 1, 4)


def try_grant(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> bool:
    """Grant a request if a server can finish it in time from now.

    :returns: whether it was granted.
    """
    slot_request = waiting.slot_request
    if not leader.takeover_complete or waitlist.over_running_limit(
        leader, slot_request
    ):
        return False
    if waitlist.is_suspect(leader, slot_request):
        server = _server_for_suspect(leader, waiting)
    else:
        server = placement.choose(leader, waiting)
    if server is None or _is_kept_for_higher(leader, server, slot_request.tier):
        return False
    grant(leader, waiting, server)
    return True


def reserve_room(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> None:
    """Reserve a server for a request that lacks only KV cache room there."""
    if leader.takeover_complete and not waiting.held:
        server = placement.choose_lacking_kv(leader, waiting)
        if server is not None:
            waitlist.reserve(leader, server, waiting)


def fill(
    leader: deadline_state.DeadlineLeaderState, server: deadline_records.Server
) -> int:
    """Grant a server as many requests as it may run now.

    :returns: number of grants.
    """
    granted = 0
    if not leader.takeover_complete:
        return granted
    _place_held(leader)
    while server.is_open():
        waiting = _choose(leader, server)
        if waiting is None:
            break
        grant(leader, waiting, server)
        granted += 1
    return granted


def fill_open(leader: deadline_state.DeadlineLeaderState) -> None:
    """Grant requests to a few open servers of each class."""
    if not leader.waiting or not leader.takeover_complete:
        return
    for kind in leader.open_servers.classes():
        granted = _fill_best(leader, kind)
        while granted:
            granted = _fill_best(leader, kind)


def grant(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    server: deadline_records.Server,
) -> None:
    """Grant a request a slot on a server."""
    slot_request = waiting.slot_request
    waitlist.dequeue(leader, waiting)
    kept = waitlist.cancel_reservation(leader, waiting)
    running = _running(leader, waiting, server)
    leader.queue.charge(waiting.flow, running.cost / slot_request.share)
    expected = running.cost
    if slot_request.streams and slot_request.model is not None:
        expected = running.ahead + running.prefill
    running.due = leader.now() + stragglers.stall_timeout(expected)
    count_running(leader, running)
    fleet.attach(leader, server, running)
    affinity.start_warming(leader, server, running)
    leader.prefixes.record_grant(server.server_id, slot_request.blocks)
    waiting.fut.set_result(running.grant)
    if kept is not None and kept is not server:
        fill(leader, kept)


def count_running(
    leader: deadline_state.DeadlineLeaderState,
    running: deadline_records.Running,
) -> None:
    """Count a grant in use, also one from another leader."""
    slot_request = running.slot_request
    leader.running[slot_request.request_id] = running
    leader.running_by_tier[slot_request.tier] += 1
    leader.running_fingerprints[slot_request.fingerprint] += 1
    leader.rules.setdefault(
        slot_request.rule, deadline_records.RuleCount()
    ).running += 1
    watch_progress(leader, running)


def watch_progress(
    leader: deadline_state.DeadlineLeaderState,
    running: deadline_records.Running,
) -> None:
    """Check a grant again when its next sign of progress is late."""
    leader.sequence += 1
    heapq.heappush(
        leader.due,
        (running.due, leader.sequence, running.slot_request.request_id),
    )


def unpark(
    leader: deadline_state.DeadlineLeaderState, name: ids.RuleName
) -> None:
    """Move a parked request of a rule to the queue if its limit allows."""
    rule = leader.rules.get(name)
    if rule is None or not rule.parked:
        return
    waiting = min(
        rule.parked.values(),
        key=lambda parked: (parked.slot_request.tier, parked.best_start),
    )
    if not waitlist.over_running_limit(leader, waiting.slot_request):
        rule.parked.pop(waiting.slot_request.request_id)
        waitlist.add_to_queue(leader, waiting)
        try_grant(leader, waiting)


def _running(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    server: deadline_records.Server,
) -> deadline_records.Running:
    grant_given = requests.Grant(
        waiting.slot_request.request_id,
        server.server_id,
        server.announcement.incarnation,
        server.announcement.address,
    )
    uncached = predicting.uncached_tokens(leader, server, waiting)
    rates = predicting.rates_of(leader, server, waiting.slot_request.model)
    return deadline_records.Running(
        slot_request=waiting.slot_request,
        grant=grant_given,
        granted=leader.now(),
        expected=waiting.expected,
        uncached=uncached,
        ahead=predicting.prefill_ahead(leader, server),
        prefill=rates.seconds(uncached, 0),
        concurrent=len(server.running) + 1,
        cost=predicting.seconds_to_finish(leader, server, waiting),
        suspect=waitlist.is_suspect(leader, waiting.slot_request),
    )


def _choose(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
) -> deadline_records.Waiting | None:
    """Return the first request, in order, that a server finishes in time."""
    for tier in ids.Tier:
        if not leader.by_tier[tier]:
            continue
        waiting = _choose_of_tier(leader, server, tier)
        if waiting is not None:
            return waiting
        if _is_wanted_by(leader, server, tier):
            return None
    return None


def _is_kept_for_higher(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    tier: ids.Tier,
) -> bool:
    """Return whether a server is kept for waiting requests of higher tiers."""
    return any(
        leader.by_tier[higher] and _is_wanted_by(leader, server, higher)
        for higher in ids.Tier
        if higher < tier
    )


def _is_wanted_by(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    tier: ids.Tier,
) -> bool:
    """Return whether a request of a tier waits that a server could serve.

    The request may not fit now, because KV cache room is missing or because of
    prefill granted before; anything that a lower tier adds there would delay
    it further.
    """
    in_order = leader.queue.candidates(
        server.kind,
        tier,
        leader.now(),
        float('inf'),
    )
    return any(
        waiting.reserved_on in {None, server.server_id}
        and not affinity.waits_for_holder(leader, server, waiting)
        for waiting in in_order
    )


def _choose_of_tier(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    tier: ids.Tier,
) -> deadline_records.Waiting | None:
    """Return the first request of a tier, or a later one with a prefix here."""
    in_order = itertools.islice(
        _in_order(leader, server, tier), _MAX_CONSIDERED
    )
    first = next(
        (one for one in in_order if _may_go_first(leader, server, one)),
        None,
    )
    if first is None or not _may_be_overtaken(leader, server, first):
        return first
    for waiting in in_order:
        if affinity.has_useful_prefix(leader, server, waiting):
            if _fits(leader, server, waiting):
                first.overtaken += 1
                return waiting
    return first


def _may_go_first(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    if not _fits(leader, server, waiting):
        return False
    if waiting.reserved_on == server.server_id:
        return True
    return not affinity.waits_for_holder(leader, server, waiting)


def _may_be_overtaken(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request with its prefix here may overtake."""
    if waiting.overtaken >= _MAX_OVERTAKEN:
        return False
    if waiting.reserved_on == server.server_id:
        return False
    if waiting.best_start - leader.now() < _OVERTAKE_SLACK_SECONDS:
        return False
    return not affinity.has_useful_prefix(leader, server, waiting)


def _in_order(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    tier: ids.Tier,
) -> typing.Iterator[deadline_records.Waiting]:
    for reserved in list(server.reservations.values()):
        if reserved.slot_request.tier == tier and not reserved.held:
            yield reserved
    window = leader.cfg.fair_seconds * max(leader.slots, 1)
    ahead = predicting.prefill_ahead(leader, server) * leader.cfg.safety
    seen: set[int] = set()
    for later in _LATER_SECONDS:
        in_order = leader.queue.candidates(
            server.kind,
            tier,
            leader.now() + ahead + later,
            window,
        )
        for waiting in in_order:
            if waiting.sequence not in seen:
                seen.add(waiting.sequence)
                yield waiting


def _fits(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    if waitlist.hold_if_needed(leader, waiting):
        return False
    if placement.is_reserved_for_others(server, waiting):
        return False
    if not predicting.in_time(leader, server, waiting):
        return False
    if affinity.is_warming(leader, server, waiting):
        return False
    if placement.has_room(server, waiting):
        return True
    if waiting.reserved_on is None and not server.reservations:
        if placement.could_hold(server, waiting):
            waitlist.reserve(leader, server, waiting)
    return False


def _fill_best(
    leader: deadline_state.DeadlineLeaderState,
    kind: deadline_records.ServerClass,
) -> int:
    best = leader.open_servers.best(kind)
    return sum(fill(leader, leader.servers[name]) for name in best)


def _place_held(leader: deadline_state.DeadlineLeaderState) -> None:
    """Grant suspects unless a request of a higher tier waits."""
    if not leader.held:
        return
    order = sorted(
        leader.held.values(),
        key=lambda held: (held.slot_request.tier, held.best_start),
    )
    for waiting in order[:_MAX_HELD_CONSIDERED]:
        if _is_higher_waiting(leader, waiting.slot_request.tier):
            return
        if waiting.fut.done():
            continue
        server = _server_for_suspect(leader, waiting)
        if server is not None:
            grant(leader, waiting, server)


def _is_higher_waiting(
    leader: deadline_state.DeadlineLeaderState, tier: ids.Tier
) -> bool:
    higher = (leader.by_tier[other] for other in ids.Tier if other < tier)
    waiting = itertools.chain.from_iterable(queue.values() for queue in higher)
    return any(not other.held for other in waiting)


def _server_for_suspect(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> deadline_records.Server | None:
    request_fingerprint = waiting.slot_request.fingerprint
    if request_fingerprint in leader.running_fingerprints:
        return None
    if leader.suspects.awaits_explanation(request_fingerprint, leader.now()):
        return None
    server = placement.choose_for_suspect(leader, waiting)
    if server is None or not predicting.in_time(leader, server, waiting):
        return None
    return server
