"""Remembers when callers first asked for what they ask for again.

A caller that was refused comes back with the same content under a new id. Its
wait began with its first request, so a repeat that comes late has no target
to meet any more, and a newcomer that still has one goes before it.
"""

import collections
import dataclasses

from geraniumweir.common import ids

# The longest time that a caller waits in all, in seconds, by the routes of
# the users; an older refusal was somebody else's.
_KEPT_SECONDS = 15.0
# At the peak of 2,500 requests a second half of which are refused, this is
# about six seconds of refusals; the oldest are forgotten first.
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
        """Take that a request was refused.

        :param arrived_at: when it, or the one that it repeats, came, in seconds.
        """
        self.first_arrivals.setdefault(content, arrived_at)
        if len(self.first_arrivals) > _MAX_REFUSALS:
            self.first_arrivals.popitem(last=False)

    def waited_seconds(self, content: ids.Fingerprint, now: float) -> float:
        """Give the seconds since a caller first asked, 0 for a newcomer.

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
