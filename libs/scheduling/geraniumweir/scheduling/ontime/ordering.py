"""Order in which waiting requests are granted slots, and which are refused.

Requests that can still meet their targets are taken in the order of their
latest useful start times, which serves all of them in time whenever that is
possible. Otherwise the least important request taken so far is rejected, lowest
tier first [1]_: the remaining ones can still be served in time, and a lower
tier never costs a higher one its slot.

A class that starves in lasting overload is placed before more important classes
of its tier, for a fraction of the slot time; see
:mod:`geraniumweir.scheduling.ontime.classes`.

Within a class, requests of customers above their fair share come later and are
rejected first while the pool is crowded, and of the others those of routes that
are served less often than the class go before the rest; see
:mod:`geraniumweir.scheduling.ontime.fair_shares` and
:mod:`geraniumweir.scheduling.ontime.route_shares`.

While new requests take nearly all slots, the order is by importance instead. In
the order of latest start times, requests with the longest targets come last,
and as the pace falls in overload they miss their targets, though they are the
most important.

Above the capacity, the shortest of equally important requests goes first and
the longest is rejected first, so that most callers are served in time [1]_; see
:mod:`geraniumweir.scheduling.ontime.lengths`.

A plain response counts once it is complete, and how long it takes isn't known
in advance: if it starts at its latest useful time, every other one just misses
its target. Above the capacity the newest of equally important requests goes
first instead, with time to spare, and the oldest is rejected.

A request without a place in the plan goes before late ones of its tier: it is
answered in time if a slot suits no request of the plan.

Requests that can't meet their targets any more come last, with the slots that
new requests leave. If they were served earlier, just before their callers
leave, every new request would be late too, and a pool that was overloaded for
some seconds would serve all requests late for as long as its usual load leaves
little room.

References
==========
.. [1] J. M. Moore, "An n Job, One Machine Sequencing Algorithm for Minimizing
   the Number of Late Jobs", Management Science 15(1), 1968.
"""

import dataclasses
import heapq
import typing

from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import (
    classes,
    fair_shares,
    lengths,
    records,
    route_shares,
)

# A plan is a prediction; a request is refused only if its predicted wait
# exceeds the time that it has by this factor.
_MAX_LATENESS_FACTOR = 1.5
# Above this load the pace is too uncertain to let important requests wait for
# their latest start: those that run by then take longer than those before.
_CROWDED_LOAD = 0.9
# Above this load some requests are refused in any order; below it the queue
# gets shorter soon, and those that wait are served in time.
_OVERLOAD = 1.2
# Lower bound for the fraction of slots that new requests are taken to leave.
_MIN_SPARE_FRACTION = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A waiting request and its latest useful start time.

    :ivar latest_start: in seconds on the loop's clock.
    :ivar late: whether its target can't be met any more.
    :ivar in_time_ratio: fraction of its class's callers that were served in
        time, where the class has a deficit, otherwise 1. Within a tier the
        lowest goes first.
    :ivar excess: by how much its customer is above its fair share of the class.
    :ivar behind: whether its route is served less often than its class.
    :ivar hold_seconds: predicted slot time by which it is compared with others
        of its class; 0 if requests of its length are served too seldom.
    """

    waiting: records.Waiting
    latest_start: float
    late: bool
    in_time_ratio: float = 1
    excess: int = 0
    behind: bool = False
    hold_seconds: float = 0

    @property
    def has_deficit(self) -> bool:
        """Return whether it goes before more important requests."""
        return self.in_time_ratio < 1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The waiting requests in the order of their grants.

    :ivar turns: requests that can be served, the first to be granted first.
    :ivar hopeless: requests that can't be served before their callers leave.
    """

    turns: list[Turn]
    hopeless: list[Turn]


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Slot rate and arrival rate of a pool.

    :ivar interval: seconds from one free slot to the next.
    :ivar arrivals: requests a second, lately.
    """

    interval: float
    arrivals: float

    @property
    def load(self) -> float:
        """Return the arrival rate as a fraction of the rate of free slots."""
        return _multiply(self.arrivals, self.interval)

    @property
    def is_crowded(self) -> bool:
        """Return whether new requests take nearly all slots."""
        return self.load > _CROWDED_LOAD

    @property
    def is_overloaded(self) -> bool:
        """Return whether clearly more requests arrive than can be served."""
        return self.load > _OVERLOAD

    def late_wait_seconds(self, on_time: int, late: int) -> float:
        """Predict the seconds until new requests leave a slot for a late one.

        :param on_time: number of requests ahead that can be in time.
        :param late: number of late requests ahead.
        """
        spare = max(1 - self.load, _MIN_SPARE_FRACTION)
        ahead = _multiply(on_time, self.interval)
        return ahead + (late + 1) * self.interval / spare


_Rank = tuple[int, float, int]
_Order = tuple[_Rank, int, bool]
_Value = tuple[_Rank, int, bool, float, int]
_NO_BANDS: typing.Final[frozenset[lengths.Band]] = frozenset()


HoldTime = typing.Callable[[requests.SlotRequest, float], float]


def _equal_hold_time(
    _slot_request: requests.SlotRequest, _tokens: float
) -> float:
    return 0


@dataclasses.dataclass(frozen=True, slots=True)
class Priorities:
    """What goes before or after other requests of its class or tier.

    :ivar by_class: classes that go before more important ones, with the
        fraction of their callers that were served in time.
    :ivar bands: lengths of requests that go before others of their class.
    :ivar excess: by how much customers are above their fair shares, by class;
        their requests go after others of their class.
    :ivar behind: routes whose requests go before others of their class.
    :ivar hold_time: predicts the seconds for which a request holds a slot; in
        overload shorter requests go before longer ones of their class. It takes
        the request and its expected output tokens.
    """

    by_class: typing.Mapping[classes.Class, float] = dataclasses.field(
        default_factory=dict
    )
    bands: typing.Mapping[classes.Class, frozenset[lengths.Band]] = (
        dataclasses.field(default_factory=dict)
    )
    excess: fair_shares.Excess = dataclasses.field(default_factory=dict)
    behind: frozenset[route_shares.Key] = frozenset()
    hold_time: HoldTime = _equal_hold_time


_NO_PRIORITIES: typing.Final = Priorities()
LeadTime = typing.Callable[[records.Waiting], float]


def _multiply(number: float, interval: float) -> float:
    """Return the product, or 0 for a zero number and an infinite interval.

    >>> _multiply(0, float('inf')), _multiply(2, 0.5)
    (0, 1.0)
    """
    return number * interval if number else 0


def plan(
    waiting: typing.Sequence[records.Waiting],
    now: float,
    pace: Pace,
    lead_time: LeadTime,
    priorities: Priorities = _NO_PRIORITIES,
) -> Plan:
    """Order the waiting requests and find those that can't be served.

    :param now: in seconds on the loop's clock.
    :param lead_time: returns the seconds from a start to the first token.
    :param priorities: what goes first or last in its class or tier.
    """
    lead_times = {one.sequence: lead_time(one) for one in waiting}
    candidates = [
        _candidate(one, lead_times[one.sequence], priorities) for one in waiting
    ]
    on_time, missed = _feasible(candidates, now, pace.interval)
    if pace.is_crowded:
        on_time.sort(
            key=_shortest_first if pace.is_overloaded else _by_importance
        )
    late = sorted(
        (_late(turn, lead_times) for turn in missed),
        key=_by_importance,
    )
    found = _append_late(on_time, late, now, pace)
    if not pace.is_crowded:
        return found
    left = _displaced_first(found.turns[len(on_time) :], missed, now)
    return Plan(on_time + left, found.hopeless)


def _append_late(
    on_time: list[Turn], late: list[Turn], now: float, pace: Pace
) -> Plan:
    """Return the plan with the late turns for which slots are left."""
    turns = list(on_time)
    hopeless = []
    for turn in late:
        wait_seconds = pace.late_wait_seconds(
            len(on_time), len(turns) - len(on_time)
        )
        if (
            wait_seconds
            > max(turn.latest_start - now, 0) * _MAX_LATENESS_FACTOR
        ):
            hopeless.append(turn)
        else:
            turns.append(turn)
    return Plan(turns, hopeless)


def _displaced_first(
    turns: list[Turn], missed: typing.Iterable[Turn], now: float
) -> list[Turn]:
    """Put requests that can still be in time before late ones of their tier.

    The plan has no place for them, but a server may have a slot that suits no
    request of the plan.

    :param turns: turns that the plan has no place for.
    :param missed: the same and others, before they counted as late.
    """
    displaced = {
        turn.waiting.sequence: turn
        for turn in missed
        if turn.latest_start >= now
    }
    in_time = [
        displaced[turn.waiting.sequence]
        for turn in turns
        if turn.waiting.sequence in displaced
    ]
    late = [turn for turn in turns if turn.waiting.sequence not in displaced]
    in_time.sort(key=_shortest_first)
    return sorted(in_time + late, key=_tier)


def _candidate(
    waiting: records.Waiting, lead_time_seconds: float, priorities: Priorities
) -> Turn:
    slot_request = waiting.slot_request
    request_class = classes.class_of(slot_request)
    return Turn(
        waiting,
        waiting.target - lead_time_seconds,
        late=False,
        in_time_ratio=priorities.by_class.get(request_class, 1),
        excess=priorities.excess.get((request_class, slot_request.customer), 0),
        behind=(request_class, slot_request.rule) in priorities.behind,
        hold_seconds=0
        if waiting.band in priorities.bands.get(request_class, _NO_BANDS)
        else priorities.hold_time(slot_request, waiting.tokens),
    )


def _late(turn: Turn, lead_times: typing.Mapping[int, float]) -> Turn:
    waiting = turn.waiting
    leaves_at = min(
        waiting.slot_request.patience, waiting.slot_request.deadline
    )
    return Turn(
        waiting,
        leaves_at - lead_times[waiting.sequence],
        late=True,
        excess=turn.excess,
        behind=turn.behind,
    )


def _feasible(
    turns: typing.Sequence[Turn],
    now: float,
    interval: float,
) -> tuple[list[Turn], list[Turn]]:
    """Split turns into those that can start in time and the others."""
    accepted: list[tuple[_Value, Turn]] = []
    rejected: list[Turn] = []
    for turn in sorted(turns, key=_by_start):
        remaining_seconds = turn.latest_start - now
        if remaining_seconds < 0:
            # Late even as the first one, so no other is rejected for it.
            rejected.append(turn)
            continue
        heapq.heappush(accepted, (_value(turn), turn))
        if _multiply(len(accepted) - 1, interval) > remaining_seconds:
            rejected.append(heapq.heappop(accepted)[1])
    timely = [entry[1] for entry in accepted]
    return sorted(timely, key=_by_start), rejected


def _tier(turn: Turn) -> int:
    return int(turn.waiting.slot_request.tier)


def _by_start(turn: Turn) -> tuple[float, int]:
    return turn.latest_start, turn.waiting.sequence


def _rank(turn: Turn) -> _Rank:
    """Return the sort key of its class, the most important first."""
    slot_request = turn.waiting.slot_request
    return int(slot_request.tier), turn.in_time_ratio, slot_request.rank


def _order(turn: Turn) -> _Order:
    """Return the sort key of its class, customer and route."""
    return _rank(turn), turn.excess, not turn.behind


def _by_importance(turn: Turn) -> tuple[_Order, float]:
    return _order(turn), turn.latest_start


def _shortest_first(turn: Turn) -> tuple[_Order, float, float]:
    """Return the sort key by importance and slot time.

    Equal plain requests come newest first.
    """
    start = turn.latest_start
    if not turn.waiting.slot_request.streams:
        start = -start
    return _order(turn), turn.hold_seconds, start


def _value(turn: Turn) -> _Value:
    """Return the value of serving a request; the lowest is rejected first."""
    tier, in_time_ratio, rank = _rank(turn)
    return (
        (-tier, -in_time_ratio, -rank),
        -turn.excess,
        turn.behind,
        -turn.hold_seconds,
        -turn.waiting.sequence,
    )
