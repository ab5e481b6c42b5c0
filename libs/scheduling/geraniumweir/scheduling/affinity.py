"""Preference for servers that have a prompt's prefix cached.

An engine that has a prefix cached need not compute it again; one that is still
computing it for another request will have it soon.
"""

from geraniumweir.scheduling import deadline_records, deadline_state, predicting

_MIN_SAVED_SECONDS = 0.1
# A request waits at most so many times as long as the prefill that is saved.
_WAIT_FACTOR = 20.0
_WAIT_MARGIN_SECONDS = 0.5
_MAX_WARMING = 256


def saved_seconds(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> float:
    """Return the seconds of prefill that a server's cache saves a request."""
    slot_request = waiting.slot_request
    share = leader.prefixes.cached_share(server.server_id, slot_request.blocks)
    if not share:
        return 0
    return predicting.rates_of(leader, server, slot_request.model).prefill * (
        share * slot_request.prompt_tokens
    )


def has_useful_prefix(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a server's cache saves a request much prefill."""
    return saved_seconds(leader, server, waiting) >= _MIN_SAVED_SECONDS


def start_warming(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    """Record the start of a prefill of a prompt that others may share."""
    if not running.slot_request.blocks or running.prefill < _MIN_SAVED_SECONDS:
        return
    first = running.slot_request.blocks[0]
    if len(server.warming) >= _MAX_WARMING:
        server.warming.clear()
    server.warming[first] = leader.now() + running.ahead + running.prefill


def end_warming(
    server: deadline_records.Server, running: deadline_records.Running
) -> None:
    """Record the end of a prefill."""
    if running.slot_request.blocks:
        server.warming.pop(running.slot_request.blocks[0], None)


def is_warming(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request should wait until its prefix is computed.

    An engine looks up the prefix of a prompt when it admits the request: what
    another request is still computing at that time is computed again.
    """
    blocks = waiting.slot_request.blocks
    if not blocks or waiting.probe:
        return False
    left = server.warming.get(blocks[0], 0) - leader.now()
    if left <= 0 or not has_useful_prefix(leader, server, waiting):
        return False
    seconds = (
        predicting.seconds_to_finish(leader, server, waiting)
        * leader.cfg.safety
    )
    return (
        leader.now() + left + seconds + _WAIT_MARGIN_SECONDS
        < waiting.slot_request.deadline
    )


def waits_for_holder(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> bool:
    """Return whether a request should wait for a server with its prefix.

    It waits a few times as long as the saved prefill takes, and only while
    the open server could still finish it in time.
    """
    slot_request = waiting.slot_request
    if waiting.probe or not slot_request.blocks:
        return False
    waited = leader.now() - waiting.arrived
    needed = max(waited / _WAIT_FACTOR, _MIN_SAVED_SECONDS)
    rates = predicting.rates_of(leader, server, slot_request.model)
    full_prefill = rates.prefill * slot_request.prompt_tokens
    if full_prefill < needed:
        return False
    saved = full_prefill * _best_share(leader, server, waiting)
    saved -= saved_seconds(leader, server, waiting)
    if saved < needed:
        return False
    seconds = (
        predicting.seconds_to_finish(leader, server, waiting)
        * leader.cfg.safety
    )
    return leader.now() + seconds + _WAIT_MARGIN_SECONDS < slot_request.deadline


def _best_share(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    waiting: deadline_records.Waiting,
) -> float:
    """Return the largest fraction of a prompt cached at another server."""
    best: float = 0
    for server_id, share in leader.prefixes.longest_holders(
        waiting.slot_request.blocks
    ).items():
        holder = leader.servers.get(server_id)
        if holder is None or holder is server or not holder.capacity():
            continue
        if holder.kind in waiting.latest_starts:
            best = max(best, share)
    return best
