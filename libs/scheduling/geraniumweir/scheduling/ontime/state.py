"""All that a leader knows; the decisions are free functions over it."""

import asyncio
import dataclasses
import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.rollout import guiding
from geraniumweir.scheduling import notices, requests, suspects
from geraniumweir.scheduling.ontime import (
    arrivals,
    classes,
    occupancy,
    ordering,
    paths,
    records,
    repeats,
    speeds,
)

_MS = 1000
# A pool with room to spare has a free slot again within this, in seconds.
_SHORT_RETRY_SECONDS = 0.2
# One that newcomers fill is worth coming back to when a burst is over, some
# seconds later.
_LONG_RETRY_SECONDS = 3.0
# The pace changes with what hundreds of requests do; it is worked out again
# after so many seconds, not for each of them.
_PACE_SECONDS = 0.01
# Above this load a queue of late requests hardly gets shorter.
_HIGH_LOAD = 0.8
# Callers are told to come back up to this part later than that.
_RETRY_SPREAD = 1.0
# And within this part of the time that they have left: who is told to come
# back at its end is lost for good.
_MAX_RETRY_FRACTION = 0.5


Pauses = typing.Callable[[ids.HostId], typing.Mapping[notices.Start, float]]


@dataclasses.dataclass(slots=True, eq=False)
class OnTimeLeaderState:
    """All that a leader knows.

    :ivar guide: decides what servers of which version may get.
    :ivar rates: gives the requests a second that may be granted to servers
        that name a limit.
    :ivar pauses: gives the servers that want nothing from a host, and until
        when, in seconds.
    :ivar takeover_ends_at: nothing is granted before, in seconds.
    :ivar server_seen_at: when a server was last known.
    :ivar quickest: the server that is the first with a usual prompt, by what
        was known when they were looked up; None without servers.
    :ivar synced_at: when the servers were last looked up.
    :ivar replaced_at: servers whose address another one took, and since when.
    :ivar output_lengths: usual output tokens by rule.
    :ivar path_quality: from entry hosts to servers.
    :ivar shares: what each class of requests got lately.
    :ivar last_cycle_at: when what waits was last looked at, in seconds.
    :ivar interval: seconds from one free slot of the pool to the next.
    :ivar hold_seconds: seconds for which a request usually keeps a slot.
    :ivar paced_at: when these two were worked out.
    :ivar logged_at: when the log was last told how the pool does.
    """

    pool: ids.PoolName
    now: typing.Callable[[], float]
    live: typing.Callable[[], typing.Sequence[servers.Announcement]]
    suspects: suspects.Suspects
    rng: random.Random
    guide: guiding.Guide
    rates: typing.Callable[[], typing.Mapping[notices.Start, float]]
    pauses: Pauses
    takeover_ends_at: float
    server_seen_at: float
    quickest: records.Server | None = None
    synced_at: float = float('-inf')
    waiting: dict[ids.RequestId, records.Waiting] = dataclasses.field(
        default_factory=dict,
    )
    running: dict[ids.RequestId, records.Running] = dataclasses.field(
        default_factory=dict,
    )
    servers: dict[ids.ServerId, records.Server] = dataclasses.field(
        default_factory=dict,
    )
    replaced_at: dict[notices.Start, float] = dataclasses.field(
        default_factory=dict
    )
    estimates: speeds.SpeedEstimator = dataclasses.field(
        default_factory=speeds.SpeedEstimator
    )
    output_lengths: dict[ids.RuleName, float] = dataclasses.field(
        default_factory=dict,
    )
    sequence: int = 0
    timer: asyncio.TimerHandle | None = None
    interval: float = float('inf')
    hold_seconds: float = 0
    paced_at: float = float('-inf')
    logged_at: float = float('-inf')
    last_cycle_at: float = float('-inf')
    repeated: repeats.Repeats = dataclasses.field(
        default_factory=repeats.Repeats,
    )
    path_quality: paths.Paths = dataclasses.field(default_factory=paths.Paths)
    arrival_rate: arrivals.Arrivals = dataclasses.field(
        default_factory=arrivals.Arrivals,
    )
    shares: classes.Shares = dataclasses.field(default_factory=classes.Shares)


def interval(leader: OnTimeLeaderState) -> float:
    """Predict the seconds from one free slot of the pool to the next."""
    now = leader.now()
    live = [server for server in leader.servers.values() if server.serves]
    for server in live:
        server.slot_usage.advance(len(server.running), now)
    leader.hold_seconds = occupancy.pool_hold_seconds(
        one.slot_usage for one in live
    )
    rate = sum(one.completion_rate(leader.hold_seconds, now) for one in live)
    return 1 / rate if rate else float('inf')


def pace(leader: OnTimeLeaderState) -> ordering.Pace:
    """Tell how fast the pool works and how much comes."""
    now = leader.now()
    if now - leader.paced_at >= _PACE_SECONDS:
        leader.paced_at = now
        leader.interval = interval(leader)
    return ordering.Pace(leader.interval, leader.arrival_rate.rate(now))


def denial(
    leader: OnTimeLeaderState,
    slot_request: requests.Ask,
    reason: requests.DenialReason,
) -> requests.Denial:
    """Make a denial, with the time in which a repeat may find a slot.

    Spread out, so that those refused together don't come back together.
    """
    seconds = (
        _LONG_RETRY_SECONDS
        if pace(leader).load > _HIGH_LOAD
        else _SHORT_RETRY_SECONDS
    )
    seconds *= leader.rng.uniform(1, 1 + _RETRY_SPREAD)
    left = max(slot_request.deadline - leader.now(), 0)
    seconds = min(seconds, left * _MAX_RETRY_FRACTION)
    return requests.Denial(slot_request.request_id, reason, int(seconds * _MS))


def refuse(
    leader: OnTimeLeaderState,
    waiting: records.Waiting,
    reason: requests.DenialReason,
    seconds: float | None = None,
) -> None:
    """End a request that waits.

    :param seconds: after which a repeat may find a slot, where that is known.
    """
    leader.waiting.pop(waiting.ask.request_id, None)
    if reason is not requests.DenialReason.withdrawn:
        first = waiting.arrived_at - waiting.waited_seconds
        leader.repeated.record_refusal(waiting.ask.fingerprint, first)
    if seconds is None:
        answer = denial(leader, waiting.ask, reason)
    else:
        request_id = waiting.ask.request_id
        answer = requests.Denial(request_id, reason, int(seconds * _MS))
    waiting.fut.set_result(answer)


def register_running(
    leader: OnTimeLeaderState,
    server: records.Server | None,
    running: records.Running,
) -> None:
    """Count a grant in use; its server may not be known yet."""
    leader.running[running.ask.request_id] = running
    if server is not None:
        server.add_running(running, leader.now())
