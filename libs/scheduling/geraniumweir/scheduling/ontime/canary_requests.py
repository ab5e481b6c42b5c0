"""Canary requests of a rollout, and reports of their results to its guide.

Requests that the guide allows go to the servers of the new version in turn.
"""

from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import fleet, placing, records, state

# Number of servers of the new version that get canary requests in turn.
_CANARY_SERVERS = 3
# While a share of all requests goes to the new version, so many of its servers
# are compared for a request, as many as of the servers that serve.
_MAX_RAMP_SERVERS = 16
# First tokens quicker than this differ by chance, not by server.
_MIN_COMPARED_SECONDS = 0.05


def open_canaries(
    leader: state.OnTimeLeaderState,
    estimates: placing.Estimates,
) -> list[placing.Offer]:
    """List the servers of the new version that get canary requests now.

    One at a time, so that it bears the load of a usual server, and another one
    each time that canaries are allowed: only a comparison with others shows
    whether a single server or its version is broken. In the ramp up to
    _MAX_RAMP_SERVERS are listed.
    """
    guide = leader.guide
    if not guide.is_running:
        return []
    able = [
        server
        for server in leader.servers.values()
        if server.live
        and server.canary
        and server.server_id not in guide.excluded_servers
    ]
    if guide.is_ramping:
        return _offers(able, _MAX_RAMP_SERVERS, estimates)
    chosen = _across_domains(able)
    first = guide.budget.batches % max(len(chosen), 1)
    return _offers(chosen[first : first + 1], 1, estimates)


def _across_domains(
    able: list[records.Server],
) -> list[records.Server]:
    """Choose a few servers, in as many failure domains as there are.

    Few servers get enough requests each to show what is usual there, and a path
    that is partitioned isn't mistaken for a bad version.
    """
    ranked = sorted(able, key=lambda server: server.server_id)
    by_domain: dict[ids.FailureDomain, records.Server] = {}
    for server in ranked:
        by_domain.setdefault(server.announcement.failure_domain, server)
    first = list(by_domain.values())
    others = [one for one in ranked if one not in first]
    return [*first, *others][:_CANARY_SERVERS]


def _offers(
    servers: list[records.Server],
    max_offers: int,
    estimates: placing.Estimates,
) -> list[placing.Offer]:
    offers_made = []
    for server in servers:
        free_slots = server.free_slots(estimates.now, 0)
        if free_slots > 0 and len(offers_made) < max_offers:
            offers_made.append(
                placing.make_offer(server, free_slots, estimates)
            )
    return offers_made


def choose(
    offers: list[placing.Offer],
    waiting: records.Waiting,
    estimates: placing.Estimates,
) -> placing.Placement | None:
    """Choose the server for a canary request.

    A slow server gets its share too, so that the guide can find out that it is
    slow.
    """
    placement = placing.choose_on_time(offers, waiting, estimates)
    return placement or placing.choose_earliest(offers, waiting, estimates)


def first_token_arrived(
    leader: state.OnTimeLeaderState,
    server: records.Server,
    running: records.Running,
) -> None:
    """Report the time to a first token to the guide."""
    if not leader.guide.is_running or server.announcement.cold:
        return
    seconds = max(running.first_token or 0, _MIN_COMPARED_SECONDS)
    usual = leader.estimates.pool.first_token_line.predict(running.read_tokens)
    _notify_guide(leader, server, running, failed=False, ratio=seconds / usual)


def answer_ended(
    leader: state.OnTimeLeaderState,
    server: records.Server,
    running: records.Running,
    release: requests.Release,
) -> None:
    """Report the outcome of a response to the guide."""
    if not leader.guide.is_running:
        return
    match release.outcome:
        case requests.Outcome.answered_failure:
            _notify_guide(leader, server, running, failed=True)
        case requests.Outcome.failed | requests.Outcome.crashed:
            if not fleet.path_delays(leader, running, server):
                _notify_guide(leader, server, running, failed=True)


def _notify_guide(
    leader: state.OnTimeLeaderState,
    server: records.Server,
    running: records.Running,
    *,
    failed: bool,
    ratio: float | None = None,
) -> None:
    leader.guide.record_answer(
        server.version,
        server.server_id,
        running.slot_request.rule,
        failed=failed,
        ratio=ratio,
    )
