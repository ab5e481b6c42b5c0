"""Share of slots and of timely service for each class of requests.

A class is what shares a tier and a rank. Counts decay, so that they cover about
the last ten seconds.

In lasting overload the important classes would take all slots, and a class that
needs few of them would get none. A class that is served too seldom has a
deficit: it gets a fraction of the slot time before more important classes of
its tier. A higher tier never yields to a lower one.
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

# Time constant of the counts: longer than bursts (2 to 5 s), so that a class
# that yields during a burst doesn't count as starved.
_WINDOW_SECONDS = 10.0
# A class has a deficit while a smaller fraction of its callers was served in
# time.
_MIN_IN_TIME_RATIO = 0.35
# The same for a class that all its callers together need little slot time for:
# refusing them frees hardly a slot for more important ones.
_MAX_IN_TIME_RATIO = 0.7
# Fraction of the slot time up to which a class is served that often.
_LIGHT_SHARE = 0.15
# Fraction of the slot time for classes with a deficit, so that the most
# important class can have a third of it, whatever else arrives.
_MAX_DEFICIT_FRACTION = 0.65
# A class with fewer callers in the window isn't judged.
_MIN_CALLERS = 5.0
# Weights grow exponentially and are scaled down after so many windows, long
# before they overflow.
_MAX_WINDOWS = 14.0


class Class(typing.NamedTuple):
    """Requests of the same importance; the lowest goes first."""

    tier: ids.Tier
    rank: int


@dataclasses.dataclass(slots=True)
class _Counts:
    """Decaying counts of one class, with a greater weight for newer events.

    :ivar arrivals: callers with a first request.
    :ivar in_time: grants to requests that could meet their targets.
    :ivar hold_seconds: predicted slot time of all grants, also of late ones.
    :ivar granted_ahead: the part of it that was granted because of a deficit.
    """

    arrivals: float = 0
    in_time: float = 0
    hold_seconds: float = 0
    granted_ahead: float = 0

    def scale_down(self, elapsed_windows: float) -> None:
        """Scale the counts to a new epoch of the weights.

        :param elapsed_windows: time since the last epoch, in windows.
        """
        remaining = math.exp(-elapsed_windows)
        self.arrivals *= remaining
        self.in_time *= remaining
        self.hold_seconds *= remaining
        self.granted_ahead *= remaining


class Shares:
    """Counts by class.

    >>> shares = Shares()
    >>> one = Class(ids.Tier.normal, 0)
    >>> for at in range(4):
    ...     shares.record_arrival(one, at)
    >>> shares.record_grant(one, 0.5, late=False, now=4)
    >>> round(shares.in_time_ratio(one), 1), shares.slot_share(one)
    (0.3, 1.0)
    """

    def __init__(self) -> None:
        """Initialize without counts."""
        self._counts: dict[Class, _Counts] = {}
        self._epoch = float('-inf')

    def record_arrival(self, request_class: Class, now: float) -> None:
        """Count a first request of a caller."""
        weight = self._weight(now)
        self._of(request_class).arrivals += weight

    def record_grant(
        self,
        request_class: Class,
        hold_seconds: float,
        *,
        late: bool,
        now: float,
        for_deficit: bool = False,
    ) -> None:
        """Count a grant.

        :param hold_seconds: predicted time for which it holds a slot.
        :param late: whether its target can't be met any more.
        :param for_deficit: whether it went before more important requests.
        """
        weight = self._weight(now)
        counts = self._of(request_class)
        counts.hold_seconds += hold_seconds * weight
        if for_deficit:
            counts.granted_ahead += hold_seconds * weight
        if not late:
            counts.in_time += weight

    def in_time_ratio(self, request_class: Class) -> float:
        """Return the fraction of a class's callers that were served in time."""
        counts = self._of(request_class)
        return (
            min(counts.in_time / counts.arrivals, 1) if counts.arrivals else 1
        )

    def slot_share(self, request_class: Class) -> float:
        """Return the fraction of the slot time that a class got."""
        total = self._total()
        return self._of(request_class).hold_seconds / total if total else 0

    def deficits(self, now: float) -> dict[Class, float]:
        """Return the classes that go before more important ones.

        Classes that got the least slot time for their deficit come first, so
        that one that needs few slots isn't starved by one that needs many.

        :returns: the fraction of their callers that were served in time, by
            class.
        """
        remaining = _MAX_DEFICIT_FRACTION * self._total()
        selected = {}
        for one in sorted(self._starved(now), key=self._ahead):
            remaining -= self._ahead(one)
            if remaining > 0:
                selected[one] = self.in_time_ratio(one)
        return selected

    def by_importance(self) -> list[Class]:
        """List the classes, the most important first."""
        return sorted(self._counts)

    def log_summary(self) -> dict[str, str]:
        """Return what each class got, for the log."""
        return {
            f'{request_class.tier:d}/{request_class.rank}': (
                f'in time {self.in_time_ratio(request_class):.2f} '
                f'slots {self.slot_share(request_class):.2f}'
            )
            for request_class in self.by_importance()
        }

    def _starved(self, now: float) -> list[Class]:
        """List the classes that are served too seldom.

        A class that is served as often as the ones it would go before isn't
        listed.
        """
        min_arrivals = _MIN_CALLERS * self._weight(now)
        selected = []
        lowest: dict[ids.Tier, float] = {}
        for one in self.by_importance():
            in_time_ratio = self.in_time_ratio(one)
            above = lowest.get(one.tier, 0)
            if (
                in_time_ratio < min(self._min_ratio(one), above)
                and self._of(one).arrivals > min_arrivals
            ):
                selected.append(one)
            lowest[one.tier] = min(lowest.get(one.tier, 1), in_time_ratio)
        return selected

    def _min_ratio(self, request_class: Class) -> float:
        """Return the fraction of a class's callers to serve in time.

        What the class would need for all of its callers is predicted from what
        it got for those that were served.
        """
        in_time_ratio = self.in_time_ratio(request_class)
        if not in_time_ratio:
            return _MIN_IN_TIME_RATIO
        needed_share = self.slot_share(request_class) / in_time_ratio
        if not needed_share:
            return _MAX_IN_TIME_RATIO
        affordable = _LIGHT_SHARE / needed_share
        return min(max(affordable, _MIN_IN_TIME_RATIO), _MAX_IN_TIME_RATIO)

    def _ahead(self, request_class: Class) -> float:
        return self._of(request_class).granted_ahead

    def _total(self) -> float:
        return sum(counts.hold_seconds for counts in self._counts.values())

    def _of(self, request_class: Class) -> _Counts:
        return self._counts.setdefault(request_class, _Counts())

    def _weight(self, now: float) -> float:
        """Return the weight of an event now, relative to the epoch."""
        elapsed_windows = (now - self._epoch) / _WINDOW_SECONDS
        if elapsed_windows < _MAX_WINDOWS:
            return math.exp(elapsed_windows)
        self._epoch = now
        for counts in self._counts.values():
            counts.scale_down(elapsed_windows)
        return 1


def class_of(slot_request: requests.SlotRequest) -> Class:
    """Return the class of a request."""
    return Class(slot_request.tier, slot_request.rank)
