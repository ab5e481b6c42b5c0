"""Requests of one class by the time for which they hold a slot.

Load: a class whose requests differ a hundredfold in length, above the capacity
of its pool. A tenth of them holds nearly half of the slot time, so one long
request takes the place of many short ones. Where not all can be served, the
number of callers that are served in time is largest if the longest requests
give way first [1]_.

Long requests are useful too: a band of them that is served much less often than
the whole class goes before the other requests of its class, until it has caught
up.

References
==========
.. [1] J. M. Moore, "An n Job, One Machine Sequencing Algorithm for Minimizing
   the Number of Late Jobs", Management Science 15(1), 1968.
"""

import dataclasses
import enum
import math

from geraniumweir.common import decay
from geraniumweir.scheduling.ontime import classes

# Time constant of the counts: several times the duration of most requests, so
# that a band with a tenth of the requests has enough of them to be judged.
_WINDOW_SECONDS = 10.0
# The longest requests must be served at least half as often as their class.
# Counts of a few requests vary, so bands are kept above that.
_MIN_BAND_RATIO = 0.7
# A band with fewer requests in the window isn't judged.
_MIN_REQUESTS = 3.0
# Fraction by which an estimated quantile moves with each request.
_QUANTILE_STEP = 0.05


class Band(enum.IntEnum):
    """Requests of a class by their length."""

    usual = 0
    long = 1
    longest = 2


# The longest tenth, and the fifth below it.
_QUANTILES = ((Band.longest, 0.9), (Band.long, 0.7))


def _make_count() -> decay.Count:
    return decay.Count(_WINDOW_SECONDS)


@dataclasses.dataclass(slots=True)
class _BandCounts:
    """Requests of a band, or of a class, and those granted in time."""

    arrivals: decay.Count = dataclasses.field(default_factory=_make_count)
    in_time: decay.Count = dataclasses.field(default_factory=_make_count)

    def ratio(self, now: float) -> float:
        """Return the fraction granted in time, 1 for too few to tell."""
        arrivals = self.arrivals.at(now)
        if arrivals < _MIN_REQUESTS:
            return 1
        return min(self.in_time.at(now) / arrivals, 1)


class _ClassLengths:
    """Lengths and counts of one class."""

    def __init__(self) -> None:
        self._limits: dict[Band, float] = {}
        self._counts = {band: _BandCounts() for band in Band}
        self._whole = _BandCounts()

    def record_arrival(self, hold_seconds: float, now: float) -> Band:
        band = self._band(hold_seconds)
        self._move_limits(hold_seconds)
        self._counts[band].arrivals.add(now)
        self._whole.arrivals.add(now)
        return band

    def record_in_time(self, band: Band, now: float) -> None:
        self._counts[band].in_time.add(now)
        self._whole.in_time.add(now)

    def starved(self, now: float) -> frozenset[Band]:
        wanted = self._whole.ratio(now) * _MIN_BAND_RATIO
        return frozenset(
            band
            for band in (Band.long, Band.longest)
            if self._counts[band].ratio(now) < wanted
        )

    def _band(self, hold_seconds: float) -> Band:
        for band, _ in _QUANTILES:
            if hold_seconds > self._limits.get(band, math.inf):
                return band
        return Band.usual

    def _move_limits(self, hold_seconds: float) -> None:
        """Move the estimated quantiles by stochastic approximation."""
        for band, quantile in _QUANTILES:
            limit = self._limits.setdefault(band, hold_seconds)
            step = quantile if hold_seconds > limit else quantile - 1
            self._limits[band] = limit * math.exp(step * _QUANTILE_STEP)


class Lengths:
    """Lengths of requests, and how often each band of them is served.

    >>> from geraniumweir.common import ids
    >>> lengths = Lengths()
    >>> one = classes.Class(ids.Tier.normal, 0)
    >>> bands = [
    ...     lengths.record_arrival(one, 1 + number % 10, number / 100)
    ...     for number in range(2000)
    ... ]
    >>> [str(band.name) for band in bands[-10:]].count('longest')
    1
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._classes: dict[classes.Class, _ClassLengths] = {}

    def record_arrival(
        self, request_class: classes.Class, hold_seconds: float, now: float
    ) -> Band:
        """Count a caller's first request and return its band.

        :param hold_seconds: predicted time for which it holds a slot.
        """
        return self._of(request_class).record_arrival(hold_seconds, now)

    def record_grant(
        self, request_class: classes.Class, band: Band, now: float
    ) -> None:
        """Count a grant to a request that could meet its target."""
        self._of(request_class).record_in_time(band, now)

    def starved(self, now: float) -> dict[classes.Class, frozenset[Band]]:
        """Return the bands that are served too seldom, by class."""
        return {
            request_class: lengths.starved(now)
            for request_class, lengths in self._classes.items()
        }

    def _of(self, request_class: classes.Class) -> _ClassLengths:
        found = self._classes.get(request_class)
        if found is None:
            found = self._classes.setdefault(request_class, _ClassLengths())
        return found
