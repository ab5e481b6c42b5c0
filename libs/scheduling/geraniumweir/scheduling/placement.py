"""Choice of the backend server that is predicted to finish a request first.

Only servers below their estimated concurrency limit are considered, which
keeps the engines' own queues near empty. They are ordered by the predicted end
and by the load that the request would find.

See Also
========
geraniumweir.scheduling.openings, geraniumweir.scheduling.predicting,
geraniumweir.scheduling.affinity
"""

from geraniumweir.scheduling import (
    affinity,
    deadline_records,
    deadline_state,
    predicting,
)

# Open servers are ordered by the predicted end of a request of this size.
_REFERENCE_PROMPT_TOKENS = 500
_REFERENCE_OUTPUT_TOKENS = 100
_LOAD_SLOWDOWN = 0.3
_REPEAT_WEIGHT = 10.0
# A server is too risky where prefill ahead takes more than this fraction of
# the time to the deadline.
_RISK_RATIO = 0.17


def refresh(
    leader: deadline_state.DeadlineLeaderState, server: deadline_records.Server
) -> None:
    """Update the position of a server among the open servers."""
    if not server.is_open():
        leader.open_servers.discard(server.server_id)
        return
    seconds = predicting.rates_of(leader, server, server.model).seconds(
        _REFERENCE_PROMPT_TOKENS,
        _REFERENCE_OUTPUT_TOKENS,
    )
    seconds += predicting.prefill_ahead(leader, server)
    score = seconds * _slowdown(server)
    leader.open_servers.set(
        server.server_id,
        server.kind,
        score,
        server.kv_free(),
    )


def has_room(
    server: deadline_records.Server, waiting: deadline_records.Waiting
) -> bool:
    """Return whether a server's KV cache has room for a request now."""
    if not server.running:
        return True
    return waiting.kv_need <= server.kv_free()


def reservations_before(
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> list[deadline_records.Waiting]:
    """List the reservations on a server that go before a request.

    A request for which streams were preempted there takes the room that they
    freed. So it goes before requests that only wait for room, and before
    others of its kind that can wait longer.
    """
    if not server.reservations:
        return []
    if waiting.reserved_on == server.server_id and waiting.preempting:
        return [
            other
            for other in server.reservations.values()
            if other.preempting and _urgency(other) < _urgency(waiting)
        ]
    return [
        other
        for other in server.reservations.values()
        if other is not waiting
        and other.slot_request.tier <= waiting.slot_request.tier
    ]


def _urgency(waiting: deadline_records.Waiting) -> tuple[int, float, int]:
    return waiting.slot_request.tier, waiting.best_start, waiting.sequence


def is_reserved_for_others(
    server: deadline_records.Server, waiting: deadline_records.Waiting
) -> bool:
    """Return whether the room left is reserved for requests that go before."""
    before = reservations_before(server, waiting)
    if not before:
        return False
    moving = len(server.running) - server.stuck
    if moving + len(before) >= server.capacity():
        return True
    reserved = sum(other.kv_need for other in before)
    return server.kv_free() - reserved < waiting.kv_need


def choose(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> deadline_records.Server | None:
    """Choose an open server on which a request finishes in time.

    :returns: the server predicted to finish it first, or None.
    """
    best: deadline_records.Server | None = None
    best_seconds = float('inf')
    for server in _open_servers(leader, waiting):
        if not _may_take(leader, server, waiting):
            continue
        seconds = _cost(leader, server, waiting)
        if seconds < best_seconds:
            best, best_seconds = server, seconds
    if best is None or affinity.waits_for_holder(leader, best, waiting):
        return None
    return best


def _may_take(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether an open server may run a new request."""
    if is_reserved_for_others(server, waiting) or not has_room(server, waiting):
        return False
    if not predicting.in_time(leader, server, waiting):
        return False
    if _is_risky(leader, server, waiting):
        return False
    return not affinity.is_warming(leader, server, waiting)


def _is_risky(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request should rather wait and preempt elsewhere later.

    Prefill ahead takes longer than predicted on servers that run much else.
    """
    slot_request = waiting.slot_request
    now = leader.now()
    if now >= waiting.best_start - leader.cfg.preempt_slack:
        return False
    if predicting.prefill_ahead(leader, server) < _RISK_RATIO * (
        slot_request.deadline - now
    ):
        return False
    return any(
        count and tier > slot_request.tier
        for tier, count in leader.running_by_tier.items()
    )


def _cost(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> float:
    """Return the predicted seconds plus a cost of the uncached prefill.

    Prefill delays all requests that run on the same server and evicts cached
    prefixes of others.
    """
    seconds = predicting.seconds_to_finish(leader, server, waiting) * _slowdown(
        server
    )
    rates = predicting.rates_of(leader, server, waiting.slot_request.model)
    uncached = predicting.uncached_tokens(leader, server, waiting)
    return seconds + _REPEAT_WEIGHT * rates.prefill * uncached


def choose_lacking_kv(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> deadline_records.Server | None:
    """Choose an open server that lacks only KV cache room for a request."""
    for server in _open_servers(leader, waiting):
        lacks_room = not has_room(server, waiting)
        if (
            lacks_room
            and not server.reservations
            and could_hold(server, waiting)
        ):
            if predicting.in_time(leader, server, waiting):
                return server
    return None


def could_hold(
    server: deadline_records.Server, waiting: deadline_records.Waiting
) -> bool:
    """Return whether a server's KV cache could hold a request by itself."""
    return waiting.kv_need <= server.announcement.kv_tokens


def choose_for_suspect(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> deadline_records.Server | None:
    """Choose the open server with the fewest other requests, for a suspect.

    All servers are considered, as suspects are rare.
    """
    fit = [
        server
        for server in leader.servers.values()
        if server.is_open() and _may_take_suspect(server, waiting)
    ]
    return min(
        fit,
        key=lambda server: (len(server.running), server.server_id),
        default=None,
    )


def _may_take_suspect(
    server: deadline_records.Server, waiting: deadline_records.Waiting
) -> bool:
    if server.suspects or server.kind not in waiting.latest_starts:
        return False
    if is_reserved_for_others(server, waiting):
        return False
    return has_room(server, waiting)


def _open_servers(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> list[deadline_records.Server]:
    """List a few open servers to evaluate."""
    found = [
        server_id
        for server_id in leader.prefixes.longest_holders(
            waiting.slot_request.blocks
        )
        if leader.open_servers.has(server_id)
    ]
    for kind in waiting.latest_starts:
        found.extend(leader.open_servers.best(kind))
    servers = (leader.servers[server_id] for server_id in dict.fromkeys(found))
    return [
        server for server in servers if server.kind in waiting.latest_starts
    ]


def _slowdown(server: deadline_records.Server) -> float:
    """Return a factor for load; estimated speeds include the usual load."""
    load = len(server.running) / max(server.limit.rounded, 1)
    return 1 + _LOAD_SLOWDOWN * load
