"""Refusals of requests that no server can serve in time."""

from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import (
    continuations,
    ordering,
    placing,
    records,
    server_memory,
    state,
)

# Without any announced server for this time, the pool counts as having none.
_NO_SERVER_SECONDS = 1.0


def lead_time(leader: state.OnTimeLeaderState) -> ordering.LeadTime:
    """Return a predictor of first-token times on the quickest server."""
    if leader.quickest is None:
        return lambda _: 0
    fixed_seconds, seconds_per_token = leader.estimates.line(
        leader.quickest.speed
    ).fit()
    return lambda waiting: (
        fixed_seconds + seconds_per_token * waiting.slot_request.prompt_tokens
    )


def refuse_version_gone(leader: state.OnTimeLeaderState) -> None:
    """Refuse begun streams of versions without a server.

    A caller that begins anew can have another version.
    """
    if not leader.servers:
        return
    waiting_streams = [
        waiting
        for waiting in leader.waiting.values()
        if waiting.slot_request.version is not None
    ]
    versions = {one.slot_request.version for one in waiting_streams}
    gone = {
        version
        for version in versions
        if not continuations.servers(leader, version)
    }
    for waiting in waiting_streams:
        if waiting.slot_request.version in gone:
            version_gone = requests.DenialReason.version_gone
            state.refuse(leader, waiting, version_gone)


def refuse_too_long(leader: state.OnTimeLeaderState, now: float) -> None:
    """Refuse requests that no server can serve.

    They take too long even for the quickest one, or need more than the whole
    memory of the largest one.
    """
    if leader.quickest is None:
        return
    seconds_per_output_token = leader.estimates.decode(leader.quickest.speed)
    for waiting in list(leader.waiting.values()):
        if server_memory.tokens_needed(
            waiting
        ) > leader.max_memory_tokens or placing.exceeds_deadline(
            waiting, seconds_per_output_token * waiting.tokens, now
        ):
            state.refuse(leader, waiting, requests.DenialReason.too_late)


def refuse_paused(leader: state.OnTimeLeaderState, now: float) -> None:
    """Refuse requests for which all servers are paused until it is too late.

    That is, until no first token can come before the caller leaves.
    """
    owners = {waiting.slot_request.owner for waiting in leader.waiting.values()}
    paused = {owner: leader.pauses(owner) for owner in owners}
    if not any(paused.values()):
        return
    serving = {one.start for one in leader.servers.values() if one.serves}
    seconds_to_first = lead_time(leader)
    for waiting in list(leader.waiting.values()):
        pauses = paused[waiting.slot_request.owner]
        if not serving or not serving <= pauses.keys():
            continue
        pause_ends_at = min(pauses[start] for start in serving)
        latest_start = min(
            waiting.slot_request.patience, waiting.slot_request.deadline
        ) - seconds_to_first(waiting)
        if pause_ends_at > latest_start:
            shed = requests.DenialReason.shed
            state.refuse(leader, waiting, shed, pause_ends_at - now)


def refuse_hopeless(
    leader: state.OnTimeLeaderState,
    waiting: records.Waiting,
    now: float,
) -> None:
    if leader.servers:
        state.refuse(leader, waiting, requests.DenialReason.shed)
        return
    without_server_since = max(waiting.arrived_at, leader.server_seen_at)
    if now - without_server_since > _NO_SERVER_SECONDS:
        state.refuse(leader, waiting, requests.DenialReason.no_server)
