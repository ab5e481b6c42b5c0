"""All that a leader knows; the decisions are free functions over it."""

import asyncio
import dataclasses
import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.rollout import controller
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
_SOON = 0.2
# One that newcomers fill is worth coming back to when a burst is over, some
# seconds later.
_LATER = 3.0
# The pace changes with what hundreds of requests do; it is worked out again
# after so many seconds, not for each of them.
_PACE_SECONDS = 0.01
# Above this load a queue of late requests hardly gets shorter.
_FULL = 0.8
# Callers are told to come back up to this part later than that.
_SPREAD = 1.0
# And within this part of the time that they have left: who is told to come
# back at its end is lost for good.
_LATEST_RETURN = 0.5


Pauses = typing.Callable[[ids.HostId], typing.Mapping[notices.Start, float]]


@dataclasses.dataclass(slots=True, eq=False)
class LeaderState:
    """All that a leader knows.

    :ivar guide: decides what servers of which version may get.
    :ivar rates: gives the requests a second that may be granted to servers
        that name a limit.
    :ivar pauses: gives the servers that want nothing from a host, and until
        when, in seconds.
    :ivar settle_by: nothing is granted before, in seconds.
    :ivar served_at: when a server was last known.
    :ivar quickest: the server that is the first with a usual prompt, by what
        was known when they were looked up; None without servers.
    :ivar synced: when the servers were last looked up.
    :ivar gone: servers whose address another one took, and since when.
    :ivar lengths: usual output tokens by rule.
    :ivar path_quality: from entry hosts to servers.
    :ivar shares: what each class of requests got lately.
    :ivar looked: when what waits was last looked at, in seconds.
    :ivar interval: seconds from one free slot of the pool to the next.
    :ivar held: seconds for which a request usually keeps a slot.
    :ivar paced: when these two were worked out.
    :ivar told: when the log was last told how the pool does.
    """

    pool: ids.PoolName
    now: typing.Callable[[], float]
    live: typing.Callable[[], typing.Sequence[servers.Announcement]]
    suspects: suspects.Suspects
    dice: random.Random
    guide: controller.RolloutController
    rates: typing.Callable[[], typing.Mapping[notices.Start, float]]
    pauses: Pauses
    settle_by: float
    served_at: float
    quickest: records.Server | None = None
    synced: float = float('-inf')
    waiting: dict[ids.RequestId, records.Waiting] = dataclasses.field(
        default_factory=dict,
    )
    running: dict[ids.RequestId, records.Running] = dataclasses.field(
        default_factory=dict,
    )
    servers: dict[ids.ServerId, records.Server] = dataclasses.field(
        default_factory=dict,
    )
    gone: dict[notices.Start, float] = dataclasses.field(default_factory=dict)
    learnt: speeds.Speeds = dataclasses.field(default_factory=speeds.Speeds)
    lengths: dict[ids.RuleName, float] = dataclasses.field(
        default_factory=dict,
    )
    sequence: int = 0
    ticker: asyncio.TimerHandle | None = None
    interval: float = float('inf')
    held: float = 0
    paced: float = float('-inf')
    told: float = float('-inf')
    looked: float = float('-inf')
    repeated: repeats.Repeats = dataclasses.field(
        default_factory=repeats.Repeats,
    )
    path_quality: paths.Paths = dataclasses.field(default_factory=paths.Paths)
    arriving: arrivals.Arrivals = dataclasses.field(
        default_factory=arrivals.Arrivals,
    )
    shares: classes.Shares = dataclasses.field(default_factory=classes.Shares)


def interval(leader: LeaderState) -> float:
    """Predict the seconds from one free slot of the pool to the next."""
    now = leader.now()
    live = [server for server in leader.servers.values() if server.serves]
    for server in live:
        server.occupied.passed(len(server.running), now)
    leader.held = occupancy.usual(one.occupied for one in live)
    rate = sum(one.rate(leader.held, now) for one in live)
    return 1 / rate if rate else float('inf')


def pace(leader: LeaderState) -> ordering.Pace:
    """Tell how fast the pool works and how much comes."""
    now = leader.now()
    if now - leader.paced >= _PACE_SECONDS:
        leader.paced = now
        leader.interval = interval(leader)
    return ordering.Pace(leader.interval, leader.arriving.rate(now))


def denial(
    leader: LeaderState,
    ask: requests.Ask,
    reason: requests.DenialReason,
) -> requests.Denial:
    """Make a denial, with the time in which a repeat may find a slot.

    Spread out, so that those refused together don't come back together.
    """
    seconds = _LATER if pace(leader).load > _FULL else _SOON
    seconds *= leader.dice.uniform(1, 1 + _SPREAD)
    left = max(ask.deadline - leader.now(), 0)
    seconds = min(seconds, left * _LATEST_RETURN)
    return requests.Denial(ask.request_id, reason, int(seconds * _MS))


def refuse(
    leader: LeaderState,
    waiting: records.Waiting,
    reason: requests.DenialReason,
    seconds: float | None = None,
) -> None:
    """End a request that waits.

    :param seconds: after which a repeat may find a slot, where that is known.
    """
    leader.waiting.pop(waiting.ask.request_id, None)
    if reason is not requests.DenialReason.withdrawn:
        first = waiting.arrived - waiting.waited
        leader.repeated.refused(waiting.ask.fingerprint, first)
    if seconds is None:
        answer = denial(leader, waiting.ask, reason)
    else:
        request_id = waiting.ask.request_id
        answer = requests.Denial(request_id, reason, int(seconds * _MS))
    waiting.fut.set_result(answer)


def run(
    leader: LeaderState,
    server: records.Server | None,
    running: records.Running,
) -> None:
    """Count a grant in use; its server may not be known yet."""
    leader.running[running.ask.request_id] = running
    if server is not None:
        server.begin(running, leader.now())
