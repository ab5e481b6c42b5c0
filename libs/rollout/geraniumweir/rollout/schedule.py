"""When the traffic moves, within the time that the operator gave.

It moves late: a version may turn bad some time after its start, and what it
got before counts as exposure. It moves early enough that what still runs on
old servers has ended when they stop, as they do so without draining.
"""

import dataclasses

# The rollout ends before the time given, by this part of it and at least by
# so many seconds: the end must be stored, and the operator must read it.
_MARGIN_FRACTION = 0.06
_MIN_MARGIN_SECONDS = 0.5
# Requests hold slots for unlike times; nearly all end within so many times
# the mean, and so many seconds besides.
_DRAIN_FACTOR = 3.0
_DRAIN_SECONDS = 0.3
# The old servers are left for at most this part of the time given.
_MAX_DRAIN_FRACTION = 0.4
# A part of the traffic goes ahead of all of it, for this part of the time.
_RAMP_FRACTION = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Seconds after the order.

    :ivar ramp: a part of all requests goes to the new version.
    :ivar move: all new requests do.
    :ivar end: the rollout ends, even if old servers still work.
    """

    ramp: float
    move: float
    end: float


def plan(seconds: float, held: float) -> Schedule:
    """Plan a rollout.

    :param seconds: given for it.
    :param held: mean seconds for which a request keeps a slot.

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
