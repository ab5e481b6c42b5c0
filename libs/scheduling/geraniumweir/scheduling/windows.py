"""What was used of a quota within the last seconds, in bins of time."""

import collections
import functools
import math
import typing

from geraniumweir.common import ids

# A fortieth of the users' windows of 8 s, so that a bin more or less is
# within the slack of the rule that they hold. In seconds.
BIN_SECONDS = 0.2


def bin_of(at: float) -> int:
    """Give the number of the bin that a time lies in."""
    return math.floor(at / BIN_SECONDS)


class Window:
    """What was used within a window that ends now.

    >>> window = Window(seconds=2)
    >>> window.add(5, at=10)
    >>> window.used(11), window.used(13)
    (5, 0)
    """

    def __init__(self, seconds: float) -> None:
        """Start empty.

        :param seconds: length of the window.
        """
        self._seconds = seconds
        self._bins: collections.deque[list[float]] = collections.deque()
        self._total: float = 0

    def used(self, now: float) -> float:
        """Give what was used within the window."""
        oldest = (now - self._seconds) / BIN_SECONDS
        while self._bins and self._bins[0][0] + 1 <= oldest:
            self._total -= self._bins.popleft()[1]
        return self._total

    def add(self, amount: float, at: float) -> None:
        """Count what is used; times never go back by more than a bin."""
        number = bin_of(at)
        if not self._bins or self._bins[-1][0] < number:
            self._bins.append([number, 0])
        self._bins[-1][1] += amount
        self._total += amount

    def refund(self, amount: float, at: float) -> None:
        """Undo what was added, where it was added.

        Taken off now instead, it would stay in the window after what it
        undoes has left it, and let so much more through than is allowed.
        """
        number = bin_of(at)
        for counted in reversed(self._bins):
            if counted[0] == number:
                counted[1] -= amount
                self._total -= amount
                return

    def bins(self, now: float) -> typing.Iterator[tuple[int, float]]:
        """Give the bins within the window by number, oldest first."""
        self.used(now)
        for number, amount in self._bins:
            yield int(number), amount


def by_customer(
    seconds: float,
) -> collections.defaultdict[ids.CustomerName, Window]:
    """Make a table of windows; each is made when it is first looked up."""
    return collections.defaultdict(functools.partial(Window, seconds))
