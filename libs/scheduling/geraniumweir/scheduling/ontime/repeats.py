"""First arrivals of refused requests that callers repeat.

A refused caller returns with the same content under a new id. Its wait began
with its first request. So a late repeat can't meet its target any more, and a
new request that still can goes before it.
"""

import collections
import dataclasses

from geraniumweir.common import ids

# Longest total wait of a caller on the users' routes; an older refusal was one
# of another caller.
_KEPT_SECONDS = 15.0
# About six seconds of refusals, at a peak of 2,500 requests a second of which
# half are refused; the oldest are discarded first.
_MAX_REFUSALS = 8192


@dataclasses.dataclass(slots=True)
class Repeats:
    """First arrivals of refused requests, by content."""

    first_arrivals: collections.OrderedDict[ids.Fingerprint, float] = (
        dataclasses.field(
            default_factory=collections.OrderedDict,
        )
    )

    def record_refusal(
        self, content: ids.Fingerprint, arrived_at: float
    ) -> None:
        """Record a refused request.

        :param arrived_at: when it, or the request that it repeats, came, in
            seconds.
        """
        self.first_arrivals.setdefault(content, arrived_at)
        if len(self.first_arrivals) > _MAX_REFUSALS:
            self.first_arrivals.popitem(last=False)

    def waited_seconds(self, content: ids.Fingerprint, now: float) -> float:
        """Return the seconds since a caller's first request, 0 for a new one.

        >>> some = Repeats()
        >>> some.record_refusal(ids.Fingerprint(7), 1)
        >>> some.waited_seconds(ids.Fingerprint(7), 3), some.waited_seconds(
        ...     ids.Fingerprint(8), 3
        ... )
        (2, 0)
        """
        arrived_at = self.first_arrivals.get(content)
        if arrived_at is None or now - arrived_at > _KEPT_SECONDS:
            self.first_arrivals.pop(content, None)
            return 0
        return now - arrived_at
