"""How much each class of requests gets of what it asks for, lately.

A class is what shares a tier and a rank. Counts decay, so that they are over
about the last ten seconds.
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

# The counts are over about so many seconds: longer than bursts (2 to 5 s), so
# that a class that gives way during one isn't taken for one that starves.
_SECONDS = 10.0
# Weights begin anew when they have grown so much.
_LARGEST_WEIGHT = 1e6


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
    """

    asked: float = 0
    in_time: float = 0
    held: float = 0

    def shrink(self, weight: float) -> None:
        """Count in a greater unit."""
        self.asked /= weight
        self.in_time /= weight
        self.held /= weight


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
        self._since = float(0)

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
    ) -> None:
        """Count a grant.

        :param held: seconds for which it is to keep a slot.
        """
        weight = self._weight(now)
        counts = self._of(found)
        counts.held += held * weight
        if not late:
            counts.in_time += weight

    def share(self, found: Class) -> float:
        """Give the part of a class's callers that were served in time."""
        counts = self._of(found)
        return min(counts.in_time / counts.asked, 1) if counts.asked else 1

    def part(self, found: Class) -> float:
        """Give the part of the slots' time that a class got."""
        whole = sum(counts.held for counts in self._counts.values())
        return self._of(found).held / whole if whole else 0

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

    def _of(self, found: Class) -> _Counts:
        return self._counts.setdefault(found, _Counts())

    def _weight(self, now: float) -> float:
        """Give how much something counts now, beside what came before."""
        weight = math.exp((now - self._since) / _SECONDS)
        if weight < _LARGEST_WEIGHT:
            return weight
        self._since = now
        for counts in self._counts.values():
            counts.shrink(weight)
        return 1


def class_of(ask: requests.Ask) -> Class:
    """Give the class of a request."""
    return Class(ask.tier, ask.rank)
