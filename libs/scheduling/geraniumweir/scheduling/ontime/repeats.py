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
_REMEMBER_SECONDS = 15.0
# At the peak of 2,500 requests a second half of which are refused, this is
# about six seconds of refusals; the oldest are forgotten first.
_MOST = 8192


@dataclasses.dataclass(slots=True)
class Repeats:
    """First arrivals of refused requests, by content."""

    first: collections.OrderedDict[ids.Fingerprint, float] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def refused(self, content: ids.Fingerprint, arrived: float) -> None:
        """Take that a request was refused.

        :param arrived: when it, or the one that it repeats, came, in seconds.
        """
        self.first.setdefault(content, arrived)
        if len(self.first) > _MOST:
            self.first.popitem(last=False)

    def waited(self, content: ids.Fingerprint, now: float) -> float:
        """Give the seconds since a caller first asked, 0 for a newcomer.

        >>> some = Repeats()
        >>> some.refused(ids.Fingerprint(7), 1)
        >>> some.waited(ids.Fingerprint(7), 3), some.waited(
        ...     ids.Fingerprint(8), 3
        ... )
        (2, 0)
        """
        arrived = self.first.get(content)
        if arrived is None or now - arrived > _REMEMBER_SECONDS:
            self.first.pop(content, None)
            return 0
        return now - arrived
