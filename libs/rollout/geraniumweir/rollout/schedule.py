"""Schedules the move of the traffic within the time limit of a rollout.

The traffic moves late, because a version may turn bad some time after its
start and requests before that count as exposure. It moves early enough that
requests on old servers have ended when these stop, as they stop without
draining.
"""

import dataclasses

# The rollout ends before its time limit by this fraction of it and at least by
# this time: the end must be stored, and the operator must read it.
_MARGIN_FRACTION = 0.06
_MIN_MARGIN_SECONDS = 0.5
# Requests occupy slots for different times; nearly all end within this factor
# of the mean plus this time.
_DRAIN_FACTOR = 3.0
_DRAIN_SECONDS = 0.3
# Longest time for draining old servers, as a fraction of the time limit.
_MAX_DRAIN_FRACTION = 0.4
# Duration of the ramp before the move, as a fraction of the time limit.
_RAMP_FRACTION = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Times of a rollout, in seconds after the order.

    :ivar ramp: a fraction of all requests goes to the new version.
    :ivar move: all new requests go to it.
    :ivar end: the rollout ends, even if old servers still run requests.
    """

    ramp: float
    move: float
    end: float


def plan(seconds: float, held: float) -> Schedule:
    """Return the schedule of a rollout.

    :param seconds: time limit of the rollout.
    :param held: mean seconds for which a request occupies a slot.

    >>> found = plan(12, 1)
    >>> round(found.move, 1), round(found.end, 1)
    (8.0, 11.3)
    """
    end = seconds - max(seconds * _MARGIN_FRACTION, _MIN_MARGIN_SECONDS)
    end = max(end, seconds / 2)
    drain = held * _DRAIN_FACTOR + _DRAIN_SECONDS
    move = end - min(drain, seconds * _MAX_DRAIN_FRACTION)
    move = max(move, 0)
    return Schedule(max(move - seconds * _RAMP_FRACTION, 0), move, end)
