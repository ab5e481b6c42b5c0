"""Counts that decay exponentially."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Count:
    """A count of recent events.

    :ivar window_seconds: time constant of the decay.
    :ivar amount: the count at the time of the last event.
    :ivar counted_at: time of the last event, in seconds.

    >>> some = Count(window_seconds=10)
    >>> for at in range(1000):
    ...     some.add(at / 100)
    >>> round(some.at(10)), round(some.at(20))
    (632, 232)
    """

    window_seconds: float
    amount: float = 0
    counted_at: float = 0

    def add(self, now: float, amount: float = 1) -> None:
        """Count an event.

        :param now: in seconds.
        """
        self.amount = self.at(now) + amount
        self.counted_at = now

    def at(self, now: float) -> float:
        """Return the decayed count.

        :param now: in seconds.
        """
        elapsed = max(now - self.counted_at, 0)
        return self.amount * math.exp(-elapsed / self.window_seconds)
