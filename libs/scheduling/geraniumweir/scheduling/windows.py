"""Sliding windows of usage, counted in bins of time."""

import collections
import functools
import math
import typing

from geraniumweir.common import ids

# A fortieth of the windows of 8 s that are usual, so that the error of one bin
# is within the tolerance of the quota rule.
BIN_SECONDS = 0.2


def bin_of(at: float) -> int:
    """Return the number of the bin that contains a time in seconds."""
    return math.floor(at / BIN_SECONDS)


class Window:
    """Usage within a window that ends now.

    >>> window = Window(seconds=2)
    >>> window.add(5, at=10)
    >>> window.used(11), window.used(13)
    (5, 0)
    """

    def __init__(self, seconds: float) -> None:
        """Initialize an empty window.

        :param seconds: its length.
        """
        self._seconds = seconds
        self._bins: collections.deque[list[float]] = collections.deque()
        self._total: float = 0

    def used(self, now: float) -> float:
        """Return the amount used within the window."""
        oldest = (now - self._seconds) / BIN_SECONDS
        while self._bins and self._bins[0][0] + 1 <= oldest:
            self._total -= self._bins.popleft()[1]
        return self._total

    def add(self, amount: float, at: float) -> None:
        """Add an amount; times never go back by more than a bin."""
        number = bin_of(at)
        if not self._bins or self._bins[-1][0] < number:
            self._bins.append([number, 0])
        self._bins[-1][1] += amount
        self._total += amount

    def refund(self, amount: float, at: float) -> None:
        """Subtract an amount from the bin to which it was added.

        Subtracted from the current bin instead, the refund would stay in the
        window after the amount itself has left it, and would admit that much
        more than is allowed.
        """
        number = bin_of(at)
        for counted in reversed(self._bins):
            if counted[0] == number:
                counted[1] -= amount
                self._total -= amount
                return

    def bins(self, now: float) -> typing.Iterator[tuple[int, float]]:
        """Yield number and amount of the bins in the window, oldest first."""
        self.used(now)
        for number, amount in self._bins:
            yield int(number), amount


def by_customer(
    seconds: float,
) -> collections.defaultdict[ids.CustomerName, Window]:
    """Return a table of windows that creates each on first access."""
    return collections.defaultdict(functools.partial(Window, seconds))
