"""State of a leader; the decisions are functions that use it."""

import asyncio
import dataclasses
import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.rollout import controller
from geraniumweir.scheduling import (
    notices,
    part_evidence,
    requests,
    suspects,
)
from geraniumweir.scheduling.ontime import (
    arrivals,
    classes,
    distance,
    fair_shares,
    lengths,
    occupancy,
    ordering,
    paths,
    records,
    repeats,
    route_shares,
    speeds,
    travel_times,
)

_MS = 1000
# A pool below high load has a free slot again within this time.
_SHORT_RETRY_SECONDS = 0.2
# In a pool that new requests fill, a retry is useful once a burst is over, some
# seconds later.
_LONG_RETRY_SECONDS = 3.0
# The pace is computed again after this time, not for each of hundreds of
# requests.
_PACE_SECONDS = 0.01
# The same for each server: all of them are looked at, at some 5 µs each.
_PACE_SECONDS_PER_SERVER = 5e-5
# Above this load a queue of late requests hardly gets shorter.
_HIGH_LOAD = 0.8
# Retry times are spread over up to this fraction more.
_RETRY_SPREAD = 1.0
# Retry times are within this fraction of the caller's remaining time: a caller
# that returns at its end can't be served any more.
_MAX_RETRY_FRACTION = 0.5


Pauses = typing.Callable[
    [ids.HostId], typing.Mapping[notices.ServerIncarnation, float]
]


@dataclasses.dataclass(slots=True, eq=False)
class OnTimeLeaderState:
    """State of the leader of one pool.

    :ivar now: returns the time in seconds on the loop's clock.
    :ivar live: returns the pool's servers that may get requests.
    :ivar guide: decides what servers of each version may get.
    :ivar rates: returns the requests a second that may be granted to servers
        that set a limit.
    :ivar rejections: returns the rejections a second that may be caused at
        servers that bear no more.
    :ivar pauses: returns the servers that asked a host for a pause, and the end
        of each pause in seconds.
    :ivar takeover_ends_at: time before which nothing is granted, in seconds.
    :ivar server_seen_at: when a server was last announced, in seconds.
    :ivar parts: prompt parts suspected of crashing servers, of all pools.
    :ivar quickest: server with the earliest first token for a reference prompt,
        by the estimates of the last synchronization; None without servers.
    :ivar max_memory_tokens: capacity of the live server with the largest memory
        at the last synchronization, in tokens; infinite if unknown.
    :ivar serving: servers that may get any request, at the last
        synchronization.
    :ivar throttled: those of them that have a rate limit.
    :ivar by_domain: the same servers by failure domain.
    :ivar synced_at: when the servers were last looked up, in seconds.
    :ivar replaced_at: when another server took over the address of a server.
    :ivar output_lengths: mean output tokens by rule.
    :ivar path_quality: quality of the paths from entry hosts to servers.
    :ivar shares: what each class of requests got lately.
    :ivar length_bands: how often long requests of each class are served.
    :ivar customer_shares: what each customer got lately of each class.
    :ivar travel: how long grants and releases are on their way.
    :ivar routes: how often each route is served.
    :ivar repeated: first arrivals of refused requests.
    :ivar last_cycle_at: start of the last scheduling cycle, in seconds.
    :ivar interval: seconds from one free slot of the pool to the next.
    :ivar hold_seconds: seconds for which a request usually holds a slot.
    :ivar paced_at: when these two were computed, in seconds.
    :ivar logged_at: when the state of the pool was last logged, in seconds.
    """

    pool: ids.PoolName
    now: typing.Callable[[], float]
    live: typing.Callable[[], typing.Sequence[servers.Announcement]]
    suspects: suspects.Suspects
    rng: random.Random
    guide: controller.RolloutController
    rates: typing.Callable[[], typing.Mapping[notices.ServerIncarnation, float]]
    rejections: typing.Callable[
        [], typing.Mapping[notices.ServerIncarnation, int]
    ]
    pauses: Pauses
    takeover_ends_at: float
    server_seen_at: float
    parts: part_evidence.PartEvidence = dataclasses.field(
        default_factory=part_evidence.PartEvidence
    )
    quickest: records.Server | None = None
    max_memory_tokens: float = float('inf')
    serving: list[records.Server] = dataclasses.field(default_factory=list)
    throttled: list[records.Server] = dataclasses.field(default_factory=list)
    by_domain: distance.Index = dataclasses.field(default_factory=dict)
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
    replaced_at: dict[notices.ServerIncarnation, float] = dataclasses.field(
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
    length_bands: lengths.Lengths = dataclasses.field(
        default_factory=lengths.Lengths
    )
    travel: travel_times.TravelTimes = dataclasses.field(
        default_factory=travel_times.TravelTimes
    )
    routes: route_shares.RouteShares = dataclasses.field(
        default_factory=route_shares.RouteShares
    )
    customer_shares: fair_shares.SharesByClass = dataclasses.field(
        default_factory=fair_shares.SharesByClass,
    )


def interval(leader: OnTimeLeaderState) -> float:
    """Predict the seconds from one free slot of the pool to the next."""
    now = leader.now()
    serving = [server for server in leader.servers.values() if server.serves]
    for server in serving:
        server.slot_usage.advance(len(server.running), now)
    leader.hold_seconds = occupancy.pool_hold_seconds(
        one.slot_usage for one in serving
    )
    rate = sum(one.completion_rate(leader.hold_seconds, now) for one in serving)
    return 1 / rate if rate else float('inf')


def pace(leader: OnTimeLeaderState) -> ordering.Pace:
    """Return the slot rate and the arrival rate of the pool."""
    now = leader.now()
    delay = max(_PACE_SECONDS, len(leader.servers) * _PACE_SECONDS_PER_SERVER)
    is_due = now - leader.paced_at >= delay
    if is_due:
        leader.paced_at = now
        leader.interval = interval(leader)
    found = ordering.Pace(leader.interval, leader.arrival_rate.rate(now))
    if is_due:
        _set_max_queued(leader, found)
    return found


def _set_max_queued(leader: OnTimeLeaderState, found: ordering.Pace) -> None:
    """Let plain servers queue requests while new ones take all slots."""
    for server in leader.servers.values():
        server.max_queued = 0
        if found.is_crowded and server.may_queue:
            seconds, _ = leader.estimates.line(server.speed).fit()
            server.max_queued = leader.travel.requests_on_way(
                server.slots, seconds
            )


def denial(
    leader: OnTimeLeaderState,
    slot_request: requests.SlotRequest,
    reason: requests.DenialReason,
) -> requests.Denial:
    """Return a denial, with the time after which a retry may find a slot.

    Times are spread so that callers refused together don't return together.
    """
    seconds = (
        _LONG_RETRY_SECONDS
        if pace(leader).load > _HIGH_LOAD
        else _SHORT_RETRY_SECONDS
    )
    seconds *= leader.rng.uniform(1, 1 + _RETRY_SPREAD)
    remaining_seconds = max(slot_request.deadline - leader.now(), 0)
    seconds = min(seconds, remaining_seconds * _MAX_RETRY_FRACTION)
    return requests.Denial(slot_request.request_id, reason, int(seconds * _MS))


def refuse(
    leader: OnTimeLeaderState,
    waiting: records.Waiting,
    reason: requests.DenialReason,
    seconds: float | None = None,
) -> None:
    """Remove a waiting request and resolve it with a denial.

    :param seconds: time after which a retry may find a slot, if it is known.
    """
    leader.waiting.pop(waiting.slot_request.request_id, None)
    if reason is not requests.DenialReason.withdrawn:
        first = waiting.arrived_at - waiting.waited_seconds
        leader.repeated.record_refusal(waiting.slot_request.fingerprint, first)
    if seconds is None:
        answer = denial(leader, waiting.slot_request, reason)
    else:
        request_id = waiting.slot_request.request_id
        answer = requests.Denial(request_id, reason, int(seconds * _MS))
    waiting.fut.set_result(answer)


def register_running(
    leader: OnTimeLeaderState,
    server: records.Server | None,
    running: records.Running,
) -> None:
    """Register a grant in use; its server may not be known yet."""
    leader.running[running.slot_request.request_id] = running
    if server is not None:
        server.add_running(running, leader.now())
