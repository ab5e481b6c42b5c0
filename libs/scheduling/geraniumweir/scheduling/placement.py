"""Chooses the backend server that is predicted to end a request first.

A prediction counts the prompt tokens that are not cached there, the prefill
already granted and not yet done, the decode speed under the load that the
request would find, and the learnt speeds. Only servers below their learnt
limit are chosen from, so engines' own queues stay near empty.

See Also
========
geraniumweir.scheduling.openings, geraniumweir.scheduling.learning
"""

from geraniumweir.scheduling import learning, records, state

_REFERENCE_PROMPT = 500
_REFERENCE_OUTPUT = 100
_LOAD_SLOWDOWN = 0.3


def refresh(leader: state.LeaderState, server: records.Server) -> None:
    """Put a server where it belongs among the openings."""
    if not server.is_open():
        leader.open_servers.drop(server.server_id)
        return
    seconds = rates_of(leader, server, server.model).seconds(
        _REFERENCE_PROMPT,
        _REFERENCE_OUTPUT,
    )
    seconds += prefill_ahead(leader, server)
    score = seconds * _slowdown(server)
    leader.open_servers.put(
        server.server_id,
        server.kind,
        score,
        server.kv_free(),
    )


def starts(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> dict[records.ServerClass, float]:
    """Give a request's latest start on each class that can run it."""
    cached = _cached_by_class(leader, waiting)
    return {
        kind: latest_start(leader, waiting, kind, cached.get(kind, 0))
        for kind in leader.classes.values()
        if kind.serves(waiting.ask)
    }


def latest_start(
    leader: state.LeaderState,
    waiting: records.Waiting,
    kind: records.ServerClass,
    cached: float = 0,
) -> float:
    """Give the time at which a request must start on a class of servers.

    :param cached: share of its prompt that such a server has cached.
    """
    if waiting.probe:
        return waiting.ask.deadline
    rates = leader.speeds.of_kind(kind.hardware, waiting.ask.model)
    prompt = waiting.ask.prompt_tokens * (1 - cached)
    seconds = rates.seconds(prompt, waiting.expected.mean)
    return waiting.ask.deadline - seconds * leader.cfg.safety


def uncached_tokens(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> float:
    """Give the prompt tokens that a server would have to prefill."""
    ask = waiting.ask
    share = leader.prefixes.cached_share(server.server_id, ask.blocks)
    return ask.prompt_tokens * (1 - share)


def finish(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> float:
    """Predict the seconds until a request started now on a server ends."""
    rates = rates_of(leader, server, waiting.ask.model)
    seconds = rates.seconds(
        uncached_tokens(leader, server, waiting),
        waiting.expected.mean,
    )
    return seconds + prefill_ahead(leader, server)


def prefill_ahead(leader: state.LeaderState, server: records.Server) -> float:
    """Give the seconds of prefill granted to a server and not yet done."""
    return max(server.prefilled_at - leader.now(), 0)


def in_time(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether a request started now on a server ends in time."""
    if waiting.probe:
        return True
    seconds = finish(leader, server, waiting) * leader.cfg.safety
    return leader.now() + seconds <= waiting.ask.deadline


def has_room(server: records.Server, waiting: records.Waiting) -> bool:
    """Tell whether a server's KV cache takes a request."""
    if not server.running:
        return True
    return waiting.kv_need <= server.kv_free()


def promised_before(
    server: records.Server,
    waiting: records.Waiting,
) -> list[records.Waiting]:
    """List who a server keeps room for and who goes before a request.

    A request for which others were preempted there takes the room that they
    left, so it passes those that only wait for room, and the likes of it
    that can wait longer.
    """
    if not server.promised:
        return []
    if waiting.promised_by == server.server_id and waiting.preempting:
        return [
            other
            for other in server.promised.values()
            if other.preempting and _urgency(other) < _urgency(waiting)
        ]
    return [
        other
        for other in server.promised.values()
        if other is not waiting and other.ask.tier <= waiting.ask.tier
    ]


def _urgency(waiting: records.Waiting) -> tuple[int, float, int]:
    return waiting.ask.tier, waiting.best_start, waiting.sequence


def kept_for_another(server: records.Server, waiting: records.Waiting) -> bool:
    """Tell whether a server's room is kept for requests that go before."""
    before = promised_before(server, waiting)
    if not before:
        return False
    moving = len(server.running) - server.stuck
    if moving + len(before) >= server.most():
        return True
    promised = sum(other.kv_need for other in before)
    return server.kv_free() - promised < waiting.kv_need


def choose(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> records.Server | None:
    """Choose an open server on which a request ends in time.

    :returns: the one predicted to end it first, None if there is none.
    """
    best: records.Server | None = None
    best_seconds = float('inf')
    for server in _open_servers(leader, waiting):
        if kept_for_another(server, waiting) or not has_room(server, waiting):
            continue
        seconds = finish(leader, server, waiting) * _slowdown(server)
        if seconds < best_seconds:
            best, best_seconds = server, seconds
    if best is None or not in_time(leader, best, waiting):
        return None
    return best


def choose_crowded(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> records.Server | None:
    """Choose an open server that lacks only KV room for a request."""
    for server in _open_servers(leader, waiting):
        lacks_room = not has_room(server, waiting)
        if lacks_room and not server.promised and fits(server, waiting):
            if in_time(leader, server, waiting):
                return server
    return None


def fits(server: records.Server, waiting: records.Waiting) -> bool:
    """Tell whether a server's KV cache could hold a request by itself."""
    return waiting.kv_need <= server.announcement.kv_tokens


def least_harm(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> records.Server | None:
    """Choose the open server with the fewest others running, for a suspect.

    Suspects are rare, so all servers are looked at.
    """
    fit = [
        server
        for server in leader.servers.values()
        if server.is_open() and _takes_suspect(server, waiting)
    ]
    return min(
        fit,
        key=lambda server: (len(server.running), server.server_id),
        default=None,
    )


def _cached_by_class(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> dict[records.ServerClass, float]:
    """Give the share of a prompt cached where most of it is, by class."""
    shares: dict[records.ServerClass, float] = {}
    warmest = leader.prefixes.warmest(waiting.ask.blocks)
    for server_id, share in warmest.items():
        server = leader.servers.get(server_id)
        if server is not None and server.live:
            shares[server.kind] = max(shares.get(server.kind, 0), share)
    return shares


def _takes_suspect(server: records.Server, waiting: records.Waiting) -> bool:
    if server.suspects or server.kind not in waiting.latest:
        return False
    if kept_for_another(server, waiting):
        return False
    return has_room(server, waiting)


def _open_servers(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> list[records.Server]:
    """List the few open servers worth a closer look."""
    found = [
        server_id
        for server_id in leader.prefixes.warmest(waiting.ask.blocks)
        if leader.open_servers.has(server_id)
    ]
    for kind in waiting.latest:
        found.extend(leader.open_servers.best(kind))
    servers = (leader.servers[server_id] for server_id in dict.fromkeys(found))
    return [server for server in servers if server.kind in waiting.latest]


def rates_of(
    leader: state.LeaderState,
    server: records.Server,
    model: str | None,
) -> learning.Rates:
    """Give a server's predicted speeds for a model."""
    return leader.speeds.of_server(
        server.server_id,
        server.kind.hardware,
        model,
    )


def _slowdown(server: records.Server) -> float:
    """Weigh servers by load; learnt speeds have the usual load in them."""
    load = len(server.running) / max(server.limit.whole, 1)
    return 1 + _LOAD_SLOWDOWN * load
