"""Grants waiting requests to backend servers.

There are two ways: a newcomer takes the server that is predicted to end it
first, and a server with a free slot takes the request that goes before all
others it can end in time. A request that lacks only KV room keeps a server
for itself, so that smaller ones that go after it don't take the room for
ever.
"""

import heapq
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    fleet,
    placement,
    records,
    requests,
    state,
    stragglers,
    suspects,
)

_HELD_LOOK = 8
_NOTHING = 1e-9


def enqueue(leader: state.LeaderState, waiting: records.Waiting) -> None:
    """Add a request to those that wait."""
    ask = waiting.ask
    leader.waiting[ask.request_id] = waiting
    leader.by_tier[ask.tier][ask.request_id] = waiting
    leader.cost_by_tier[ask.tier] += waiting.cost
    leader.cost_by_flow[waiting.flow] += waiting.cost
    rule = leader.rules.setdefault(ask.rule, records.RuleCount())
    rule.waiting += 1
    if is_suspect(leader, ask):
        waiting.held = True
        leader.held[ask.request_id] = waiting
    elif over_running_limit(leader, ask):
        waiting.held = True
        rule.parked[ask.request_id] = waiting
    else:
        _to_queue(leader, waiting)


def leave(leader: state.LeaderState, waiting: records.Waiting) -> None:
    """Take a request out of those that wait, if it is there."""
    ask = waiting.ask
    if leader.waiting.pop(ask.request_id, None) is None:
        return
    leader.by_tier[ask.tier].pop(ask.request_id)
    leader.cost_by_tier[ask.tier] -= waiting.cost
    leader.cost_by_flow[waiting.flow] -= waiting.cost
    if not leader.by_tier[ask.tier]:
        # Sums of floats drift; an empty tier has nothing ahead.
        leader.cost_by_tier[ask.tier] = 0
    if leader.cost_by_flow[waiting.flow] <= _NOTHING:
        leader.cost_by_flow.pop(waiting.flow)
    if waiting.timer is not None:
        waiting.timer.cancel()
    rule = leader.rules[ask.rule]
    rule.waiting -= 1
    rule.parked.pop(ask.request_id, None)
    leader.held.pop(ask.request_id, None)
    forget_idle_rule(leader, ask.rule)
    if not waiting.held:
        _from_queue(leader, waiting)


def forget_idle_rule(leader: state.LeaderState, name: ids.RuleName) -> None:
    """Drop the count of a rule that nothing runs or waits for."""
    rule = leader.rules[name]
    if not rule.running and not rule.waiting:
        leader.rules.pop(name)


def unreserve(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> records.Server | None:
    """Free the server that was kept for a request.

    :returns: that server.
    """
    if waiting.reserved is None:
        return None
    server = leader.servers.get(waiting.reserved)
    waiting.reserved = None
    if server is not None and server.reserved is waiting:
        server.reserved = None
    return server


def reserve(server: records.Server, waiting: records.Waiting) -> None:
    """Keep a server's next room for a request."""
    if server.reserved is None and waiting.reserved is None:
        server.reserved = waiting
        waiting.reserved = server.server_id


def try_now(leader: state.LeaderState, waiting: records.Waiting) -> bool:
    """Grant a request if a server can end it in time from now."""
    ask = waiting.ask
    if not leader.settled or over_running_limit(leader, ask):
        return False
    if is_suspect(leader, ask):
        server = _server_for_suspect(leader, waiting)
    else:
        server = placement.choose(leader, waiting)
    if server is None:
        return False
    grant(leader, waiting, server)
    return True


def fill(leader: state.LeaderState, server: records.Server) -> int:
    """Grant a server as much as it may run now.

    :returns: number of grants.
    """
    granted = 0
    if not leader.settled:
        return granted
    _place_held(leader)
    while server.is_open():
        waiting = _pick(leader, server)
        if waiting is None:
            break
        grant(leader, waiting, server)
        granted += 1
    return granted


def fill_open(leader: state.LeaderState) -> None:
    """Grant what a few open servers of each class can take."""
    if not leader.waiting or not leader.settled:
        return
    for kind in leader.open_servers.classes():
        granted = _fill_best(leader, kind)
        while granted:
            granted = _fill_best(leader, kind)


def grant(
    leader: state.LeaderState,
    waiting: records.Waiting,
    server: records.Server,
) -> None:
    """Grant a request a server's slot."""
    ask = waiting.ask
    leave(leader, waiting)
    kept = unreserve(leader, waiting)
    running = _running(leader, waiting, server)
    leader.queue.charge(waiting.flow, running.cost / ask.share)
    expected = running.cost
    if ask.streams and ask.model is not None:
        expected -= _decode_seconds(leader, server, waiting)
    running.due = leader.now() + stragglers.patience(expected)
    count_running(leader, running)
    fleet.attach(leader, server, running)
    leader.prefixes.granted(server.server_id, ask.blocks)
    waiting.fut.set_result(running.grant)
    if kept is not None and kept is not server:
        fill(leader, kept)


def count_running(
    leader: state.LeaderState,
    running: records.Running,
) -> None:
    """Count a grant in use, whoever gave it."""
    ask = running.ask
    leader.running[ask.request_id] = running
    leader.running_by_tier[ask.tier] += 1
    leader.running_prints[ask.fingerprint] += 1
    leader.rules.setdefault(ask.rule, records.RuleCount()).running += 1
    watch_progress(leader, running)


def watch_progress(
    leader: state.LeaderState,
    running: records.Running,
) -> None:
    """Look at a grant again when its next sign of progress is late."""
    leader.sequence += 1
    heapq.heappush(
        leader.due,
        (running.due, leader.sequence, running.ask.request_id),
    )


def unpark(leader: state.LeaderState, name: ids.RuleName) -> None:
    """Let parked requests of a rule into the queue, as its limit allows."""
    rule = leader.rules.get(name)
    if rule is None or not rule.parked:
        return
    waiting = min(
        rule.parked.values(),
        key=lambda parked: (parked.ask.tier, parked.best_start),
    )
    if not over_running_limit(leader, waiting.ask):
        rule.parked.pop(waiting.ask.request_id)
        _to_queue(leader, waiting)
        try_now(leader, waiting)


def _running(
    leader: state.LeaderState,
    waiting: records.Waiting,
    server: records.Server,
) -> records.Running:
    grant_given = requests.Grant(
        waiting.ask.request_id,
        server.server_id,
        server.announcement.incarnation,
        server.announcement.address,
    )
    return records.Running(
        ask=waiting.ask,
        grant=grant_given,
        granted=leader.now(),
        expected=waiting.expected,
        uncached=placement.uncached_tokens(leader, server, waiting),
        ahead=server.prefilling,
        beside=len(server.running) + 1,
        cost=placement.finish(leader, server, waiting),
        suspect=is_suspect(leader, waiting.ask),
    )


def _decode_seconds(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> float:
    rates = leader.speeds.of_server(
        server.server_id,
        server.kind.hardware,
        waiting.ask.model,
    )
    return rates.decode * waiting.expected.mean


def _pick(
    leader: state.LeaderState,
    server: records.Server,
) -> records.Waiting | None:
    """Find the first request, in order, that a server can end in time."""
    for tier in ids.Tier:
        if not leader.by_tier[tier]:
            continue
        for waiting in _in_order(leader, server, tier):
            if _fits(leader, server, waiting):
                return waiting
        kept = server.reserved
        if kept is not None and kept.ask.tier == tier:
            return None
    return None


def _in_order(
    leader: state.LeaderState,
    server: records.Server,
    tier: ids.Tier,
) -> typing.Iterator[records.Waiting]:
    kept = server.reserved
    if kept is not None and kept.ask.tier == tier and not kept.held:
        yield kept
    window = leader.cfg.fair_seconds * max(leader.slots, 1)
    yield from leader.queue.candidates(
        server.kind,
        tier,
        leader.now(),
        window,
    )


def _fits(
    leader: state.LeaderState,
    server: records.Server,
    waiting: records.Waiting,
) -> bool:
    if _now_held(leader, waiting):
        return False
    if placement.kept_for_another(server, waiting):
        return False
    if not placement.in_time(leader, server, waiting):
        return False
    if placement.has_room(server, waiting):
        return True
    if waiting.kv_need <= server.announcement.kv_tokens:
        reserve(server, waiting)
    return False


def _now_held(leader: state.LeaderState, waiting: records.Waiting) -> bool:
    """Hold back one that became a suspect, or whose rule is at its limit."""
    ask = waiting.ask
    if is_suspect(leader, ask):
        leader.held[ask.request_id] = waiting
    elif over_running_limit(leader, ask):
        leader.rules[ask.rule].parked[ask.request_id] = waiting
    else:
        return False
    _from_queue(leader, waiting)
    waiting.held = True
    return True


def _to_queue(leader: state.LeaderState, waiting: records.Waiting) -> None:
    waiting.held = False
    leader.queue.add(
        waiting,
        waiting.flow,
        waiting.sequence,
        waiting.latest,
    )


def _from_queue(leader: state.LeaderState, waiting: records.Waiting) -> None:
    leader.queue.remove(
        waiting,
        waiting.flow,
        waiting.sequence,
        waiting.latest,
    )


def _fill_best(
    leader: state.LeaderState,
    kind: records.ServerClass,
) -> int:
    granted = 0
    for server_id in list(leader.open_servers.best(kind)):
        granted += fill(leader, leader.servers[server_id])
    return granted


def _place_held(leader: state.LeaderState) -> None:
    """Grant suspects, unless someone of a higher tier waits."""
    if not leader.held:
        return
    order = sorted(
        leader.held.values(),
        key=lambda held: (held.ask.tier, held.best_start),
    )
    for waiting in order[:_HELD_LOOK]:
        if _higher_waits(leader, waiting.ask.tier):
            return
        if waiting.fut.done():
            continue
        server = _server_for_suspect(leader, waiting)
        if server is not None:
            grant(leader, waiting, server)


def _higher_waits(leader: state.LeaderState, tier: ids.Tier) -> bool:
    higher = (leader.by_tier[other] for other in ids.Tier if other < tier)
    waiting = itertools.chain.from_iterable(queue.values() for queue in higher)
    return any(not other.held for other in waiting)


def _server_for_suspect(
    leader: state.LeaderState,
    waiting: records.Waiting,
) -> records.Server | None:
    if waiting.ask.fingerprint in leader.running_prints:
        return None
    server = placement.least_harm(leader, waiting)
    if server is None or not placement.in_time(leader, server, waiting):
        return None
    return server


def is_suspect(leader: state.LeaderState, ask: requests.Ask) -> bool:
    """Tell whether a request may crash the server that runs it."""
    verdict = leader.suspects.verdict(ask.fingerprint, leader.now())
    return verdict is not suspects.Verdict.clear


def over_running_limit(
    leader: state.LeaderState,
    ask: requests.Ask,
) -> bool:
    """Tell whether a request's rule runs as many as it may."""
    if ask.max_running is None:
        return False
    rule = leader.rules.get(ask.rule)
    return rule is not None and rule.running >= ask.max_running
