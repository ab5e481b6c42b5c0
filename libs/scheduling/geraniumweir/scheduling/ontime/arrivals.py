"""Arrival rate of requests."""

import dataclasses
import math

# Time constant of the count: longer than the clusters in which callers come
# (some tenths of a second), shorter than a burst (2 to 5 s).
_WINDOW_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Arrivals:
    """A decaying count.

    :ivar counted_at: time of the last request, in seconds.

    >>> some = Arrivals()
    >>> for at in range(500):
    ...     some.record(at / 100)
    >>> round(some.rate(5) / 100, 1)
    1.0
    """

    count: float = 0
    counted_at: float = 0

    def record(self, now: float) -> None:
        """Count a request.

        :param now: in seconds.
        """
        self.count = self._decayed(now) + 1
        self.counted_at = now

    def rate(self, now: float) -> float:
        """Return the requests a second."""
        return self._decayed(now) / _WINDOW_SECONDS

    def _decayed(self, now: float) -> float:
        elapsed = max(now - self.counted_at, 0)
        return self.count * math.exp(-elapsed / _WINDOW_SECONDS)
