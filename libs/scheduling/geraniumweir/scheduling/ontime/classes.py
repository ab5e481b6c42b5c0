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
_SECONDS = 10.0
# A class is owed slots while less than this part of its callers was served in
# time.
_LEAST_SHARE = 0.35
# So much of the slots' time goes to such classes at most, so that what is most
# important may have a third of it, however much else comes.
_OWED_PART = 0.65
# A class that was asked for so seldom lately isn't judged, in callers.
_FEW = 5.0
# Weights begin anew after so many times that, long before they overflow.
_LONGEST = 14.0


class Class(typing.NamedTuple):
    """What requests of the same importance share; the least goes first."""

    tier: ids.Tier
    rank: int


@dataclasses.dataclass(slots=True)
class _Counts:
    """What came of one class, newer ones at a greater weight.

    :ivar asked: callers that asked for the first time.
    :ivar in_time: requests granted that could be on time.
    :ivar held: seconds for which they were to keep a slot, late ones too.
    :ivar ahead: of these, those that were granted because they were owed.
    """

    asked: float = 0
    in_time: float = 0
    held: float = 0
    ahead: float = 0

    def shrink(self, passed: float) -> None:
        """Begin weights anew.

        :param passed: since they began, in the times that counts are over.
        """
        left = math.exp(-passed)
        self.asked *= left
        self.in_time *= left
        self.held *= left
        self.ahead *= left


class Shares:
    """Counts by class.

    >>> shares = Shares()
    >>> one = Class(ids.Tier.normal, 0)
    >>> for at in range(4):
    ...     shares.asked(one, at)
    >>> shares.granted(one, 0.5, late=False, now=4)
    >>> round(shares.share(one), 1), shares.part(one)
    (0.3, 1.0)
    """

    def __init__(self) -> None:
        """Begin without any."""
        self._counts: dict[Class, _Counts] = {}
        self._since = float('-inf')

    def asked(self, found: Class, now: float) -> None:
        """Count a caller that asks for the first time."""
        weight = self._weight(now)
        self._of(found).asked += weight

    def granted(
        self,
        found: Class,
        held: float,
        *,
        late: bool,
        now: float,
        owed: bool = False,
    ) -> None:
        """Count a grant.

        :param held: seconds for which it is to keep a slot.
        :param owed: it went ahead of what is more important.
        """
        weight = self._weight(now)
        counts = self._of(found)
        counts.held += held * weight
        if owed:
            counts.ahead += held * weight
        if not late:
            counts.in_time += weight

    def share(self, found: Class) -> float:
        """Give the part of a class's callers that were served in time."""
        counts = self._of(found)
        return min(counts.in_time / counts.asked, 1) if counts.asked else 1

    def part(self, found: Class) -> float:
        """Give the part of the slots' time that a class got."""
        whole = self._whole()
        return self._of(found).held / whole if whole else 0

    def owed(self, now: float) -> dict[Class, float]:
        """Give the classes that go ahead of more important ones.

        Those that took least of what is owed come first, so that one that
        needs few slots isn't kept from them by one that needs many.

        :returns: with the part of their callers that were served in time.
        """
        left = _OWED_PART * self._whole()
        found = {}
        for one in sorted(self._starving(now), key=self._ahead):
            left -= self._ahead(one)
            if left > 0:
                found[one] = self.share(one)
        return found

    def known(self) -> list[Class]:
        """List the classes, the most important first."""
        return sorted(self._counts)

    def outline(self) -> dict[str, str]:
        """Give what each class got, for the log."""
        return {
            f'{found.tier:d}/{found.rank}': (
                f'in time {self.share(found):.2f} slots {self.part(found):.2f}'
            )
            for found in self.known()
        }

    def _starving(self, now: float) -> list[Class]:
        """List the classes that are served too seldom.

        None that is served as often as what it would go ahead of.
        """
        few = _FEW * self._weight(now)
        found = []
        least: dict[ids.Tier, float] = {}
        for one in self.known():
            share = self.share(one)
            above = least.get(one.tier, 0)
            if share < min(_LEAST_SHARE, above) and self._of(one).asked > few:
                found.append(one)
            least[one.tier] = min(least.get(one.tier, 1), share)
        return found

    def _ahead(self, found: Class) -> float:
        return self._of(found).ahead

    def _whole(self) -> float:
        return sum(counts.held for counts in self._counts.values())

    def _of(self, found: Class) -> _Counts:
        return self._counts.setdefault(found, _Counts())

    def _weight(self, now: float) -> float:
        """Give how much something counts now, beside what came before."""
        passed = (now - self._since) / _SECONDS
        if passed < _LONGEST:
            return math.exp(passed)
        self._since = now
        for counts in self._counts.values():
            counts.shrink(passed)
        return 1


def class_of(slot_request: requests.SlotRequest) -> Class:
    """Give the class of a request."""
    return Class(slot_request.tier, slot_request.rank)
