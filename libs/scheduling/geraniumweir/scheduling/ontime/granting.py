"""Grants what can be granted now and refuses what is hopeless."""

import asyncio

from geraniumweir.common import eventlog
from geraniumweir.scheduling import logevents, requests
from geraniumweir.scheduling.ontime import (
    fleet,
    ordering,
    placing,
    records,
    state,
)

# Waiting requests are looked at again this often, in seconds, for what comes
# with time alone: ends of rests, targets that can't be met any more.
_LOOK_SECONDS = 0.05
# A queue is planned over its first so many requests; those behind them have
# no turn within any caller's patience.
_MOST_PLANNED = 256
# How a pool does is logged this often at most, in seconds, while it is busy.
_TELL_SECONDS = 1.0
_MS = 1000
# No server was known for so long: the pool has none, in seconds.
_NO_SERVER_SECONDS = 1.0


def fill(leader: state.LeaderState) -> None:
    """Look at all that waits, and again soon while anything does."""
    fleet.sync(leader)
    if leader.waiting and leader.now() >= leader.settle_by:
        _work_off(leader)
        _tell(leader)
    if leader.ticker is None and leader.waiting:
        loop = asyncio.get_running_loop()
        leader.ticker = loop.call_later(_LOOK_SECONDS, _tick, leader)


def _tell(leader: state.LeaderState) -> None:
    """Log how the pool does while something waits."""
    now = leader.now()
    if not leader.waiting or now - leader.told < _TELL_SECONDS:
        return
    leader.told = now
    eventlog.emit(
        logevents.POOL_BUSY,
        pool=leader.pool,
        waiting=len(leader.waiting),
        running=len(leader.running),
        interval_ms=round(state.interval(leader) * _MS, 1),
        load=round(state.pace(leader).load, 2),
        servers={
            server.server_id: server.outline(now)
            for server in leader.servers.values()
        },
    )


def _tick(leader: state.LeaderState) -> None:
    leader.ticker = None
    fill(leader)


def _work_off(leader: state.LeaderState) -> None:
    now = leader.now()
    waiting = list(leader.waiting.values())[:_MOST_PLANNED]
    found = ordering.plan(
        waiting,
        now,
        state.pace(leader),
        lambda one: _lead(leader, one),
    )
    for turn in found.turns:
        _try(leader, turn, now)
    for hopeless in found.hopeless:
        _give_up(leader, hopeless.waiting, now)


def _lead(leader: state.LeaderState, waiting: records.Waiting) -> float:
    """Predict the seconds to a first token on the quickest server."""
    tokens = waiting.ask.prompt_tokens
    leads = [
        leader.learnt.first_token(server.speed, tokens)
        for server in leader.servers.values()
        if server.live
    ]
    return min(leads, default=0)


def _try(
    leader: state.LeaderState,
    turn: ordering.Turn,
    now: float,
) -> None:
    place = placing.best(
        leader.servers.values(),
        turn.waiting,
        leader.learnt,
        now,
    )
    # Where it wouldn't come in time, a server where it does may be free soon.
    if place is not None and (place.on_time or turn.late):
        _grant(leader, turn.waiting, place, now)


def _give_up(
    leader: state.LeaderState,
    waiting: records.Waiting,
    now: float,
) -> None:
    if leader.servers:
        state.refuse(leader, waiting, requests.DenialReason.shed)
        return
    since = max(waiting.arrived, leader.served_at)
    if now - since > _NO_SERVER_SECONDS:
        state.refuse(leader, waiting, requests.DenialReason.no_server)


def _grant(
    leader: state.LeaderState,
    waiting: records.Waiting,
    place: placing.Place,
    now: float,
) -> None:
    ask = waiting.ask
    server = place.server
    grant = requests.Grant(
        ask.request_id,
        server.server_id,
        server.announcement.incarnation,
        server.announcement.address,
    )
    running = records.Running(
        ask=ask,
        grant=grant,
        granted=now,
        read_tokens=place.read,
        predicted=place.first,
        tokens=waiting.tokens,
    )
    leader.waiting.pop(ask.request_id)
    state.run(leader, server, running)
    waiting.fut.set_result(grant)
