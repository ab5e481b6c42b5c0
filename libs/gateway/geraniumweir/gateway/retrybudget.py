"""How often a host may send requests once more, by pool.

All hosts share a budget: over a window, a part of the requests of a pool, and
a fixed number besides. Each host keeps to that part of its own requests, so
that the parts add up without a word between them, and to an even share of
the fixed number.

References
==========
.. [1] B. Beyer et al., "Site Reliability Engineering", 2016, chapter 21,
   "Handling Overload": retry budgets by client.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids

# Of what is allowed, this part is used: requests that the callers made and
# that never reached a server are counted here but may not be counted by
# whoever checks, and clocks differ.
_USED = 0.8
# The fixed number is shared as if there were so many hosts at least, so that
# hosts that don't know each other stay within it together.
_LEAST_HOSTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What all hosts together may send again.

    :ivar ratio: of the requests of the window.
    :ivar window: in seconds.
    :ivar slack: number besides in each window.
    """

    ratio: float
    window: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """What a budget holds at a moment.

    :ivar used: retries within the window.
    :ivar allowed: retries that it may hold.
    :ivar hosts: that share the fixed number.
    """

    used: int
    allowed: float
    hosts: int


class RetryBudgets:
    """The budgets of one host, by pool."""

    def __init__(
        self,
        budget: Budget,
        hosts: typing.Callable[[], int],
    ) -> None:
        """Start with nothing sent.

        :param hosts: tells how many entry hosts there are.
        """
        self._budget = budget
        self._hosts = hosts
        self._requests: dict[ids.PoolName, collections.deque[float]] = {}
        self._repeats: dict[ids.PoolName, collections.deque[float]] = {}

    def note_request(self, pool: ids.PoolName, now: float) -> None:
        """Count a caller's request.

        :param now: in seconds.
        """
        self._recent(self._requests, pool, now).append(now)

    def take(self, pool: ids.PoolName, now: float) -> bool:
        """Count a repeat if there is budget for it.

        >>> budgets = RetryBudgets(Budget(0.5, 10, 0), lambda: 1)
        >>> pool = ids.PoolName('pool')
        >>> budgets.note_request(pool, 0), budgets.note_request(pool, 0)
        (None, None)
        >>> budgets.note_request(pool, 0), budgets.take(pool, 1)
        (None, True)
        >>> budgets.take(pool, 1)
        False
        """
        level = self.level(pool, now)
        if level.used + 1 > level.allowed:
            return False
        self._recent(self._repeats, pool, now).append(now)
        return True

    def level(self, pool: ids.PoolName, now: float) -> Level:
        """Tell what a pool's budget holds.

        :param now: in seconds.
        """
        requests = len(self._recent(self._requests, pool, now))
        hosts = max(self._hosts(), _LEAST_HOSTS)
        slack = self._budget.slack / hosts
        return Level(
            len(self._recent(self._repeats, pool, now)),
            _USED * (self._budget.ratio * requests + slack),
            hosts,
        )

    def _recent(
        self,
        counts: dict[ids.PoolName, collections.deque[float]],
        pool: ids.PoolName,
        now: float,
    ) -> collections.deque[float]:
        found = counts.setdefault(pool, collections.deque())
        while found and found[0] < now - self._budget.window:
            found.popleft()
        return found
