"""Chooses the backend server that is predicted to end a request first.

A prediction counts the prompt tokens that are not cached there, the prefill
already granted and not yet done, the decode speed under the load that the
request would find, and the learnt speeds. Only servers below their learnt
limit are chosen from, so engines' own queues stay near empty.

See Also
========
geraniumweir.scheduling.openings, geraniumweir.scheduling.learning
"""

import typing

from geraniumweir.scheduling import learning, records, state

_REFERENCE_PROMPT = 500
_REFERENCE_OUTPUT = 100
_LOAD_SLOWDOWN = 0.3
_REPEAT_WEIGHT = 10.0
_LEAST_SAVED = 0.1
_WAIT_FACTOR = 20.0
_WAIT_MARGIN = 0.5
_MOST_WARMING = 256
_MOST_DONE = 0.8
_RISK = 0.17
_OVERDUE_FACTOR = 4.0
_OVERDUE_SECONDS = 0.5


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
    seconds *= waiting.hope
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
    return seconds * waiting.hope + prefill_ahead(leader, server)


def prefill_ahead(leader: state.LeaderState, server: records.Server) -> float:
    """Give the seconds of prefill granted to a server and not yet done.

    By the predictions, and by the first tokens that did not come yet.
    """
    by_clock = max(server.prefilled_at - leader.now(), 0)
    if not server.unborn:
        return by_clock
    first = next(iter(server.unborn.values()))
    spent = leader.now() - max(first.granted, server.born_at)
    if spent > first.prefill * _OVERDUE_FACTOR + _OVERDUE_SECONDS:
        # Its owner tells of no first tokens, or it stands still.
        return by_clock
    done = min(spent, first.prefill * _MOST_DONE)
    return max(by_clock, server.unborn_prefill - done)


def in_time(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether a request started now on a server ends in time."""
    if waiting.probe:
        return True
    return in_time_without(leader, server, waiting, ())


def in_time_without(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
    gone: typing.Iterable[records.Running],
) -> bool:
    """Tell the same for a server from which some requests are cancelled."""
    freed = sum(
        running.prefill
        for running in gone
        if running.ask.request_id in server.unborn
    )
    freed = min(freed, prefill_ahead(leader, server))
    seconds = (finish(leader, server, waiting) - freed) * leader.cfg.safety
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
        if not _may_take(leader, server, waiting):
            continue
        seconds = _cost(leader, server, waiting)
        if seconds < best_seconds:
            best, best_seconds = server, seconds
    if best is None or waits_for_holder(leader, best, waiting):
        return None
    return best


def _may_take(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether an open server may take a newcomer."""
    if kept_for_another(server, waiting) or not has_room(server, waiting):
        return False
    if not in_time(leader, server, waiting):
        return False
    if _is_risky(leader, server, waiting):
        return False
    return not is_warming(leader, server, waiting)


def _is_risky(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether a lower tier rather makes way elsewhere later.

    Prefill ahead takes longer than predicted where much else runs.
    """
    ask = waiting.ask
    now = leader.now()
    if now >= waiting.best_start - leader.cfg.preempt_slack:
        return False
    if prefill_ahead(leader, server) < _RISK * (ask.deadline - now):
        return False
    return any(
        count and tier > ask.tier
        for tier, count in leader.running_by_tier.items()
    )


def _cost(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> float:
    """Give the predicted seconds, and what its prefill costs the others.

    Prefill holds up all that runs beside it and pushes others' prefixes out.
    """
    seconds = finish(leader, server, waiting) * _slowdown(server)
    rates = rates_of(leader, server, waiting.ask.model)
    uncached = uncached_tokens(leader, server, waiting)
    return seconds + _REPEAT_WEIGHT * rates.prefill * uncached


def saved_seconds(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> float:
    """Give the seconds of prefill that a server's cache saves a request."""
    ask = waiting.ask
    share = leader.prefixes.cached_share(server.server_id, ask.blocks)
    if not share:
        return 0
    return rates_of(leader, server, ask.model).prefill * (
        share * ask.prompt_tokens
    )


def holds(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether a server's cache saves a request much prefill."""
    return saved_seconds(leader, server, waiting) >= _LEAST_SAVED


def warms(
    leader: state.LeaderState,
    server: records.Server,
    running: records.Running,
) -> None:
    """Take that a server begins to compute a prompt that others may share."""
    if not running.ask.blocks or running.prefill < _LEAST_SAVED:
        return
    first = running.ask.blocks[0]
    if len(server.warming) >= _MOST_WARMING:
        server.warming.clear()
    server.warming[first] = leader.now() + running.ahead + running.prefill


def warmed(server: records.Server, running: records.Running) -> None:
    """Take that a prompt is computed."""
    if running.ask.blocks:
        server.warming.pop(running.ask.blocks[0], None)


def is_warming(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether a request rather waits until its prefix is computed.

    An engine looks a prompt up when it takes it in: what another request
    still computes then, it computes again.
    """
    blocks = waiting.ask.blocks
    if not blocks or waiting.probe:
        return False
    left = server.warming.get(blocks[0], 0) - leader.now()
    if left <= 0 or not holds(leader, server, waiting):
        return False
    seconds = finish(leader, server, waiting) * leader.cfg.safety
    return leader.now() + left + seconds + _WAIT_MARGIN < waiting.ask.deadline


def waits_for_holder(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    """Tell whether a request rather waits for a server that has its prefix.

    It waits a few times as long as the prefill takes that is saved, and only
    while the open server could still end it in time.
    """
    ask = waiting.ask
    if waiting.probe or not ask.blocks:
        return False
    waited = leader.now() - waiting.arrived
    needed = max(waited / _WAIT_FACTOR, _LEAST_SAVED)
    rates = rates_of(leader, server, ask.model)
    whole = rates.prefill * ask.prompt_tokens
    if whole < needed:
        return False
    saved = whole * _best_share(leader, server, waiting)
    saved -= saved_seconds(leader, server, waiting)
    if saved < needed:
        return False
    seconds = finish(leader, server, waiting) * leader.cfg.safety
    return leader.now() + seconds + _WAIT_MARGIN < ask.deadline


def _best_share(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> float:
    """Give the largest share of a prompt that another fit server holds."""
    best: float = 0
    for server_id, share in leader.prefixes.warmest(waiting.ask.blocks).items():
        holder = leader.servers.get(server_id)
        if holder is None or holder is server or not holder.most():
            continue
        if holder.kind in waiting.latest:
            best = max(best, share)
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
