"""Schedules the move of the traffic within the time limit of a rollout.

The traffic moves late, because a version may turn bad some time after its
start and requests before that count as exposure. It moves early enough that
nearly all requests on old servers have ended when these stop, as they stop
without draining. Shortly before that, requests without a first event are moved;
begun streams can't be, so the end waits for them.
"""

import dataclasses

from geraniumweir.rollout import orders

# The rollout ends before its time limit by this fraction of it and at least by
# this time: the end must be stored, and the operator must read it.
_MARGIN_FRACTION = 0.025
_MIN_MARGIN_SECONDS = 0.3
# Time for moving the requests that still run on old servers to others, as a
# fraction of the time limit.
_MOVE_RUNNING_FRACTION = 0.035
# Requests occupy slots for different times; nearly all end within this factor
# of the mean plus this time.
_DRAIN_FACTOR = 5.0
_DRAIN_SECONDS = 0.3
# Longest time for draining old servers, as a fraction of the time limit.
_MAX_DRAIN_FRACTION = 0.4
# Streams that still run on old servers at the planned end are waited for, until
# this factor of the time limit at most.
_LATEST_END_FACTOR = 1.5
# Duration of the ramp before the move, as a fraction of the time limit.
_RAMP_FRACTION = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Times of a rollout, in seconds after the order.

    :ivar ramp: a fraction of all requests goes to the new version.
    :ivar move: all new requests go to it.
    :ivar move_running: requests that still run on old servers move too.
    :ivar end: the rollout ends, if nothing is known to run on old servers.
    :ivar latest_end: it ends whatever runs there.
    """

    ramp: float
    move: float
    move_running: float
    end: float
    latest_end: float

    def latest_end_time(self, started: float, moved_at: float) -> float:
        """Return until when running requests are waited for, in seconds.

        :param started: time of the order.
        :param moved_at: time at which the traffic moved.
        """
        return max(started + self.latest_end, self.end_time(started, moved_at))

    def end_time(self, started: float, moved_at: float) -> float:
        """Return the planned end of the rollout, in seconds.

        Running requests get the planned time even if the traffic moved late.

        :param started: time of the order.
        :param moved_at: time at which the traffic moved.
        """
        drain_seconds = self.move_running - self.move
        return max(started + self.end, moved_at + drain_seconds)


def end_seconds(seconds: float) -> float:
    """Return the planned end of a rollout, in seconds after the order.

    :param seconds: time limit of the rollout.
    """
    end = seconds - max(seconds * _MARGIN_FRACTION, _MIN_MARGIN_SECONDS)
    return max(end, seconds / 2)


def move_running_seconds(seconds: float) -> float:
    """Return when requests on old servers move, in seconds after the order.

    :param seconds: time limit of the rollout.
    """
    moving_seconds = seconds * _MOVE_RUNNING_FRACTION
    return max(end_seconds(seconds) - moving_seconds, seconds / 2)


def moves_running(rollout: orders.Rollout, elapsed: float) -> bool:
    """Return whether requests on old servers move to others now.

    :param elapsed: seconds since the order.
    """
    return (
        rollout.state is orders.State.running
        and rollout.phase is orders.Phase.moved
        and elapsed >= move_running_seconds(rollout.seconds)
    )


def plan(seconds: float, held: float) -> Schedule:
    """Return the schedule of a rollout.

    :param seconds: time limit of the rollout.
    :param held: mean seconds for which a request occupies a slot.

    >>> found = plan(12, 1)
    >>> round(found.move, 1), round(found.move_running, 1), round(found.end, 1)
    (6.5, 11.3, 11.7)
    """
    end = end_seconds(seconds)
    move_running = move_running_seconds(seconds)
    drain = held * _DRAIN_FACTOR + _DRAIN_SECONDS
    move = move_running - min(drain, seconds * _MAX_DRAIN_FRACTION)
    move = max(move, 0)
    ramp = max(move - seconds * _RAMP_FRACTION, 0)
    return Schedule(ramp, move, move_running, end, seconds * _LATEST_END_FACTOR)
