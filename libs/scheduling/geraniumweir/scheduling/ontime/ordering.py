"""Which of the waiting go first, and which can't be served any more.

Requests that can still meet their targets are taken in the order of their
latest useful starts, which serves all of them in time as long as that is
possible at all. Where it isn't, the least important of those taken so far
gives way, the lowest tier first: what is left can still be served in time,
and nothing of a lower tier costs a higher one its place.

A class that starves in lasting overload goes before what is more important
in its tier, for a part of the slots' time; see
:mod:`geraniumweir.scheduling.ontime.classes`.

While newcomers take nearly all slots, the important go first instead: in the
order of latest starts those with the longest targets come last, and as the
pace falls in overload they miss them, though they are worth most.

A plain answer counts once it is whole, and how long it takes isn't known
before: of those that start at their latest useful start every other one just
misses its target. Where more comes than can be served, among equals the newest
goes first instead, with time to spare, and the oldest gives way.

Those that can't meet their targets any more come behind, with the slots that
newcomers leave. Were they served before, just in time for their callers'
patience, then every newcomer would be late too, and a pool that was overloaded
for some seconds would serve everybody late for as long as its usual load
leaves little room.

References
==========
.. [1] J. M. Moore, "An n Job, One Machine Sequencing Algorithm for Minimizing
   the Number of Late Jobs", Management Science 15(1), 1968.
"""

import dataclasses
import heapq
import types
import typing

from geraniumweir.scheduling.ontime import classes, records

# A plan is a prediction; a request is given up only when its turn is this
# many times later than it may be, seen from now.
_MAX_LATENESS_FACTOR = 1.5
# Above this part of the slots the pace is too uncertain to let the important
# wait for their last moment: what runs then is longer than what ran before.
_CROWDED_LOAD = 0.9
# Above this part of the slots some are refused whatever the order; below it a
# queue is shorter a moment later, and those that wait are served in time.
_OVERLOAD = 1.2
# Where newcomers take nearly all slots, this part is thought to be left.
_MIN_SPARE_FRACTION = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A waiting request and when it must start to be worth something.

    :ivar latest_start: on the loop's clock, in seconds.
    :ivar late: its target can't be met any more.
    :ivar in_time_ratio: where its class is owed slots, the part of its callers that
        were served in time; 1 elsewhere. The least goes first within a tier.
    """

    waiting: records.Waiting
    latest_start: float
    late: bool
    in_time_ratio: float = 1

    @property
    def has_deficit(self) -> bool:
        """Tell whether it goes before what is more important."""
        return self.in_time_ratio < 1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The waiting requests, sorted out.

    :ivar turns: those that can be served, the first one first.
    :ivar hopeless: those that can't.
    """

    turns: list[Turn]
    hopeless: list[Turn]


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How fast a pool works and how much comes.

    :ivar interval: seconds from one free slot to the next.
    :ivar arrivals: requests a second, lately.
    """

    interval: float
    arrivals: float

    @property
    def load(self) -> float:
        """Give the part of the slots that newcomers take."""
        return _multiply(self.arrivals, self.interval)

    @property
    def is_crowded(self) -> bool:
        """Tell whether newcomers take nearly all slots."""
        return self.load > _CROWDED_LOAD

    @property
    def is_overloaded(self) -> bool:
        """Tell whether much more comes than there are slots for."""
        return self.load > _OVERLOAD

    def late_wait_seconds(self, on_time: int, late: int) -> float:
        """Predict the seconds until newcomers leave a slot.

        :param on_time: requests in front that can be on time.
        :param late: those in front that can't.
        """
        left = max(1 - self.load, _MIN_SPARE_FRACTION)
        ahead = _multiply(on_time, self.interval)
        return ahead + (late + 1) * self.interval / left


_Value = tuple[int, float, int, int]
_Deficits = typing.Mapping[classes.Class, float]
_NO_DEFICITS: typing.Final[_Deficits] = types.MappingProxyType({})
LeadTime = typing.Callable[[records.Waiting], float]


def _multiply(number: float, interval: float) -> float:
    """Multiply; nothing takes no time, however long the interval is.

    >>> _multiply(0, float('inf')), _multiply(2, 0.5)
    (0, 1.0)
    """
    return number * interval if number else 0


def plan(
    waiting: typing.Sequence[records.Waiting],
    now: float,
    pace: Pace,
    lead_time: LeadTime,
    deficits: _Deficits = _NO_DEFICITS,
) -> Plan:
    """Sort the waiting requests out.

    :param lead_time: gives the seconds from a start to the first token.
    :param deficits: classes that go before what is more important, with the part
        of their callers that were served in time.
    """
    lead_times = {one.sequence: lead_time(one) for one in waiting}
    candidates = [
        Turn(
            one,
            one.target - lead_times[one.sequence],
            late=False,
            in_time_ratio=deficits.get(classes.class_of(one.ask), 1),
        )
        for one in waiting
    ]
    on_time, missed = _feasible(candidates, now, pace.interval)
    if pace.is_crowded:
        on_time.sort(
            key=_newest_first if pace.is_overloaded else _by_importance
        )
    late = sorted(
        (_late(turn.waiting, lead_times) for turn in missed),
        key=_by_importance,
    )
    turns = list(on_time)
    hopeless = []
    for turn in late:
        wait = pace.late_wait_seconds(len(on_time), len(turns) - len(on_time))
        if wait > max(turn.latest_start - now, 0) * _MAX_LATENESS_FACTOR:
            hopeless.append(turn)
        else:
            turns.append(turn)
    return Plan(turns, hopeless)


def _late(
    waiting: records.Waiting,
    lead_times: typing.Mapping[int, float],
) -> Turn:
    leaves_at = min(waiting.ask.patience, waiting.ask.deadline)
    return Turn(waiting, leaves_at - lead_times[waiting.sequence], late=True)


def _feasible(
    turns: typing.Sequence[Turn],
    now: float,
    interval: float,
) -> tuple[list[Turn], list[Turn]]:
    """Split turns into those that can start in time and the others."""
    accepted: list[tuple[_Value, Turn]] = []
    rejected: list[Turn] = []
    for turn in sorted(turns, key=_by_start):
        left = turn.latest_start - now
        if left < 0:
            # Too late even as the first one, so nobody gives way for it.
            rejected.append(turn)
            continue
        heapq.heappush(accepted, (_value(turn), turn))
        if _multiply(len(accepted) - 1, interval) > left:
            rejected.append(heapq.heappop(accepted)[1])
    timely = [entry[1] for entry in accepted]
    return sorted(timely, key=_by_start), rejected


def _by_start(turn: Turn) -> tuple[float, int]:
    return turn.latest_start, turn.waiting.sequence


def _by_importance(turn: Turn) -> tuple[int, float, int, float]:
    slot_request = turn.waiting.ask
    return (
        int(slot_request.tier),
        turn.in_time_ratio,
        slot_request.rank,
        turn.latest_start,
    )


def _newest_first(turn: Turn) -> tuple[int, float, int, float]:
    """Give the importance, among equal plain answers the newest first."""
    if turn.waiting.ask.streams:
        return _by_importance(turn)
    slot_request = turn.waiting.ask
    return (
        int(slot_request.tier),
        turn.in_time_ratio,
        slot_request.rank,
        -turn.latest_start,
    )


def _value(turn: Turn) -> _Value:
    """Give the lesser value, the sooner a turn gives way."""
    slot_request = turn.waiting.ask
    return (
        -int(slot_request.tier),
        -turn.in_time_ratio,
        -slot_request.rank,
        -turn.waiting.sequence,
    )
