"""Arrival rate of requests."""

import dataclasses

from geraniumweir.common import decay

# Time constant of the count: longer than the clusters in which callers come
# (some tenths of a second), shorter than a burst (2 to 5 s).
_WINDOW_SECONDS = 1.0


def _make_count() -> decay.Count:
    return decay.Count(_WINDOW_SECONDS)


@dataclasses.dataclass(slots=True)
class Arrivals:
    """A decaying count.

    >>> some = Arrivals()
    >>> for at in range(500):
    ...     some.record(at / 100)
    >>> round(some.rate(5) / 100, 1)
    1.0
    """

    count: decay.Count = dataclasses.field(default_factory=_make_count)

    def record(self, now: float) -> None:
        """Count a request.

        :param now: in seconds.
        """
        self.count.add(now)

    def rate(self, now: float) -> float:
        """Return the requests a second."""
        return self.count.at(now) / _WINDOW_SECONDS
