"""Recent times that requests of each route spent at servers.

The routes of a document bound the table; each keeps a few samples.
"""

import collections
import dataclasses

from geraniumweir.common import ids

_MAX_SAMPLES = 128
# Fewer samples say little about the longest requests of a route.
_MIN_SAMPLES = 16
_MAX_ROUTES = 4096


@dataclasses.dataclass(slots=True)
class _Samples:
    """Samples of one route.

    :ivar since: when the first request was sent, in loop time.
    """

    since: float
    seconds: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_SAMPLES),
    )


class WorkTimes:
    """Samples of completed requests, by route."""

    def __init__(self) -> None:
        """Initialize without samples."""
        self._by_route: dict[ids.RuleName, _Samples] = {}

    def record(
        self, route: ids.RuleName, seconds: float, completed_at: float
    ) -> None:
        """Add the time of a request that a server completed.

        :param completed_at: in loop time.
        """
        found = self._by_route.get(route)
        if found is None:
            if len(self._by_route) >= _MAX_ROUTES:
                self._by_route.pop(next(iter(self._by_route)))
            found = _Samples(completed_at - seconds)
            self._by_route[route] = found
        found.seconds.append(seconds)

    def quantile(
        self, route: ids.RuleName, share: float, limit: float, now: float
    ) -> float:
        """Return the time within which a share of the requests completed.

        :param share: 1 for the longest.
        :param limit: the longest that any may take. It is returned while there
            are too few samples, or while they are too young for the longest
            requests to be among them.
        :param now: in loop time.
        """
        found = self._by_route.get(route)
        if found is None or len(found.seconds) < _MIN_SAMPLES:
            return limit
        if now - found.since < limit:
            return limit
        rank = min(int(share * len(found.seconds)), len(found.seconds) - 1)
        return sorted(found.seconds)[rank]
