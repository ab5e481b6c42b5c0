"""Prediction of when a request ends on a backend server.

A prediction counts the prompt tokens that are not cached there, the prefill
that is granted and not yet done, and the estimated speeds.

See Also
========
geraniumweir.scheduling.estimating
"""

import typing

from geraniumweir.scheduling import deadline_records, deadline_state, estimating

# Prefill without a first token yet counts as done up to this fraction.
_MAX_DONE_RATIO = 0.8
# A first token that is later than this is not awaited any more.
_OVERDUE_FACTOR = 4.0
_OVERDUE_SECONDS = 0.5


def starts_by_class(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> dict[deadline_records.ServerClass, float]:
    """Return a request's latest start on each class that can run it."""
    cached = _cached_by_class(leader, waiting)
    return {
        kind: latest_start(leader, waiting, kind, cached.get(kind, 0))
        for kind in leader.classes.values()
        if kind.serves(waiting.slot_request)
    }


def latest_start(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    kind: deadline_records.ServerClass,
    cached: float = 0,
) -> float:
    """Return the latest time at which a request can start on a class.

    :param cached: fraction of its prompt that such a server has cached.
    """
    if waiting.probe:
        return waiting.slot_request.deadline
    rates = leader.speeds.of_kind(kind.hardware, waiting.slot_request.model)
    prompt = waiting.slot_request.prompt_tokens * (1 - cached)
    seconds = rates.seconds(prompt, waiting.expected.mean)
    seconds *= waiting.duration_factor
    return waiting.slot_request.deadline - seconds * leader.cfg.safety


def uncached_tokens(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> float:
    """Return the prompt tokens that a server would have to prefill."""
    slot_request = waiting.slot_request
    share = leader.prefixes.cached_share(server.server_id, slot_request.blocks)
    return slot_request.prompt_tokens * (1 - share)


def seconds_to_finish(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> float:
    """Return the predicted seconds until a request started now ends."""
    rates = rates_of(leader, server, waiting.slot_request.model)
    seconds = rates.seconds(
        uncached_tokens(leader, server, waiting),
        waiting.expected.mean,
    )
    return seconds * waiting.duration_factor + prefill_ahead(leader, server)


def prefill_ahead(
    leader: deadline_state.DeadlineLeaderState, server: deadline_records.Server
) -> float:
    """Return the seconds of prefill granted to a server and not yet done.

    This is the larger of what the predictions say and of what follows from the
    first tokens that have not arrived yet.
    """
    by_clock = max(server.prefilled_at - leader.now(), 0)
    if not server.prefilling:
        return by_clock
    first = next(iter(server.prefilling.values()))
    elapsed = leader.now() - max(first.granted, server.first_token_at)
    if elapsed > first.prefill * _OVERDUE_FACTOR + _OVERDUE_SECONDS:
        # Its owner reports no first tokens, or the server has stalled.
        return by_clock
    done = min(elapsed, first.prefill * _MAX_DONE_RATIO)
    return max(by_clock, server.prefilling_seconds - done)


def in_time(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request started now on a server ends in time."""
    if waiting.probe:
        return True
    return in_time_after_cancel(leader, server, waiting, ())


def in_time_after_cancel(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
    cancelled: typing.Iterable[deadline_records.Running],
) -> bool:
    """Return whether a request ends in time once others are cancelled."""
    freed = sum(
        running.prefill
        for running in cancelled
        if running.slot_request.request_id in server.prefilling
    )
    freed = min(freed, prefill_ahead(leader, server))
    seconds = (
        seconds_to_finish(leader, server, waiting) - freed
    ) * leader.cfg.safety
    return leader.now() + seconds <= waiting.slot_request.deadline


def _cached_by_class(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
) -> dict[deadline_records.ServerClass, float]:
    """Return the largest cached fraction of a prompt, by server class."""
    shares: dict[deadline_records.ServerClass, float] = {}
    holders = leader.prefixes.longest_holders(waiting.slot_request.blocks)
    for server_id, share in holders.items():
        server = leader.servers.get(server_id)
        if server is not None and server.live:
            shares[server.kind] = max(shares.get(server.kind, 0), share)
    return shares


def rates_of(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    model: str | None,
) -> estimating.Rates:
    """Return a server's estimated speeds for a model."""
    return leader.speeds.of_server(
        server.server_id,
        server.kind.hardware,
        model,
    )
