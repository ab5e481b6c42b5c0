"""How much each class of requests gets of what it asks for, lately.

A class is what shares a tier and a rank. Counts decay, so that they are over
about the last ten seconds.

In lasting overload the important classes take all slots if they may, and a
class that needs few of them gets none. One that is served too seldom is owed
a part of the slots' time, which it gets ahead of more important classes of
its tier: a higher tier never gives way to a lower one.
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

# The counts are over about so many seconds: longer than bursts (2 to 5 s), so
# that a class that gives way during one isn't taken for one that starves.
_WINDOW_SECONDS = 10.0
# A class is owed slots while less than this part of its callers was served in
# time.
_MIN_IN_TIME_RATIO = 0.35
# So much of the slots' time goes to such classes at most, so that what is most
# important may have a third of it, however much else comes.
_MAX_DEFICIT_FRACTION = 0.65
# A class that was asked for so seldom lately isn't judged, in callers.
_MIN_CALLERS = 5.0
# Weights begin anew after so many times that, long before they overflow.
_MAX_WINDOWS = 14.0


class Class(typing.NamedTuple):
    """What requests of the same importance share; the least goes first."""

    tier: ids.Tier
    rank: int


@dataclasses.dataclass(slots=True)
class _Counts:
    """What came of one class, newer ones at a greater weight.

    :ivar arrivals: callers that asked for the first time.
    :ivar in_time: requests granted that could be on time.
    :ivar hold_seconds: seconds for which they were to keep a slot, late ones too.
    :ivar granted_ahead: of these, those that were granted because they were owed.
    """

    arrivals: float = 0
    in_time: float = 0
    hold_seconds: float = 0
    granted_ahead: float = 0

    def scale_down(self, elapsed_windows: float) -> None:
        """Begin weights anew.

        :param elapsed_windows: since they began, in the times that counts are over.
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
        """Begin without any."""
        self._counts: dict[Class, _Counts] = {}
        self._epoch = float('-inf')

    def record_arrival(self, request_class: Class, now: float) -> None:
        """Count a caller that asks for the first time."""
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

        :param hold_seconds: seconds for which it is to keep a slot.
        :param for_deficit: it went ahead of what is more important.
        """
        weight = self._weight(now)
        counts = self._of(request_class)
        counts.hold_seconds += hold_seconds * weight
        if for_deficit:
            counts.granted_ahead += hold_seconds * weight
        if not late:
            counts.in_time += weight

    def in_time_ratio(self, request_class: Class) -> float:
        """Give the part of a class's callers that were served in time."""
        counts = self._of(request_class)
        return (
            min(counts.in_time / counts.arrivals, 1) if counts.arrivals else 1
        )

    def slot_share(self, request_class: Class) -> float:
        """Give the part of the slots' time that a class got."""
        total = self._total()
        return self._of(request_class).hold_seconds / total if total else 0

    def deficits(self, now: float) -> dict[Class, float]:
        """Give the classes that go ahead of more important ones.

        Those that took least of what is owed come first, so that one that
        needs few slots isn't kept from them by one that needs many.

        :returns: with the part of their callers that were served in time.
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
        """Give what each class got, for the log."""
        return {
            f'{request_class.tier:d}/{request_class.rank}': (
                f'in time {self.in_time_ratio(request_class):.2f} '
                f'slots {self.slot_share(request_class):.2f}'
            )
            for request_class in self.by_importance()
        }

    def _starved(self, now: float) -> list[Class]:
        """List the classes that are served too seldom.

        None that is served as often as what it would go ahead of.
        """
        min_arrivals = _MIN_CALLERS * self._weight(now)
        selected = []
        lowest: dict[ids.Tier, float] = {}
        for one in self.by_importance():
            in_time_ratio = self.in_time_ratio(one)
            above = lowest.get(one.tier, 0)
            if (
                in_time_ratio < min(_MIN_IN_TIME_RATIO, above)
                and self._of(one).arrivals > min_arrivals
            ):
                selected.append(one)
            lowest[one.tier] = min(lowest.get(one.tier, 1), in_time_ratio)
        return selected

    def _ahead(self, request_class: Class) -> float:
        return self._of(request_class).granted_ahead

    def _total(self) -> float:
        return sum(counts.hold_seconds for counts in self._counts.values())

    def _of(self, request_class: Class) -> _Counts:
        return self._counts.setdefault(request_class, _Counts())

    def _weight(self, now: float) -> float:
        """Give how much something counts now, beside what came before."""
        elapsed_windows = (now - self._epoch) / _WINDOW_SECONDS
        if elapsed_windows < _MAX_WINDOWS:
            return math.exp(elapsed_windows)
        self._epoch = now
        for counts in self._counts.values():
            counts.scale_down(elapsed_windows)
        return 1


def class_of(slot_request: requests.Ask) -> Class:
    """Give the class of a request."""
    return Class(slot_request.tier, slot_request.rank)
