"""Shows a rollout's guide what the servers of each version do.

Requests that the guide lets through go to one server of the new version
after the other.
"""

from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import fleet, placing, records, state

# Servers of the new version that get canary requests in turn.
_CANARY_SERVERS = 3
# While a part of all requests goes to the new version, so many servers are
# compared for one, as among those that serve.
_RAMP_SERVERS = 16
# Quicker answers don't differ by their servers but by chance, in seconds.
_LEAST_SECONDS = 0.05


def open_canaries(
    leader: state.LeaderState,
    learnt: placing.Learnt,
) -> list[placing.Offer]:
    """List the server of the new version that canaries go to now.

    One at a time, so that it bears as much as a server does, and another one
    each time that canaries are let through: whether a server is broken or its
    version shows only beside others.
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
        return _offers(able, _RAMP_SERVERS, learnt)
    chosen = _of_unlike_domains(able)
    first = guide.budget.batches % max(len(chosen), 1)
    return _offers(chosen[first : first + 1], 1, learnt)


def _of_unlike_domains(
    able: list[records.Server],
) -> list[records.Server]:
    """Choose a few servers, in as many failure domains as there are.

    Of few servers each shows enough to tell what is usual there, and a path
    that is cut isn't taken for a bad version.
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
    most: int,
    learnt: placing.Learnt,
) -> list[placing.Offer]:
    found = []
    for server in servers:
        free = server.free(learnt.now, 0)
        if free > 0 and len(found) < most:
            found.append(placing.offer(server, free, learnt))
    return found


def choose(
    offers: list[placing.Offer],
    waiting: records.Waiting,
    learnt: placing.Learnt,
) -> placing.Place | None:
    """Choose the server for a request that the guide lets through.

    One that is slow gets its part too: the guide must see that it is.
    """
    place = placing.on_time(offers, waiting, learnt)
    return place or placing.earliest(offers, waiting, learnt)


def first_came(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
) -> None:
    """Tell the guide how long a first token took."""
    if not leader.guide.is_running or server.announcement.cold:
        return
    seconds = max(running.first_token or 0, _LEAST_SECONDS)
    usual = leader.learnt.pool.first.at(running.read_tokens)
    _tell(leader, server, running, failed=False, ratio=seconds / usual)


def ended(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
    release: requests.Release,
) -> None:
    """Tell the guide how an answer ended."""
    if not leader.guide.is_running:
        return
    match release.outcome:
        case requests.Outcome.answered_failure:
            _tell(leader, server, running, failed=True)
        case requests.Outcome.failed | requests.Outcome.crashed:
            if not fleet.path_holds_up(leader, running, server):
                _tell(leader, server, running, failed=True)


def _tell(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
    *,
    failed: bool,
    ratio: float | None = None,
) -> None:
    leader.guide.record_answer(
        server.version,
        server.server_id,
        running.ask.rule,
        failed=failed,
        ratio=ratio,
    )
