"""How often requests of a pool may be sent once more.

Over any window, the servers of a pool get retries up to a part of the requests
for it and a fixed number besides, from all entry hosts together. Whoever
coordinates counts them, as it counts quotas. A retry is counted from when it
is admitted, and is within the window until its length after the grant.

Entry hosts tell a new coordinator what others granted them. Until all have, or
a window has passed, its predecessor may have granted all that it keeps to, and
it grants what its predecessor left.

Of the fixed number only one host may grant at a time, the leader of the
replicated log. Hosts that are cut off from it grant the part of the requests
that they are asked for, which nobody else counts.

References
==========
.. [1] B. Beyer et al., "Site Reliability Engineering", 2016, chapter 21,
   "Handling Overload": retry budgets.
"""

import collections
import dataclasses
import functools
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import retrycounts, windows

# Part of a budget that is granted, so that what reaches servers a little later
# than it was granted, and what a lost predecessor granted, is within the rest.
_GRANTED = 0.8
# Entry hosts turn to a new coordinator within so long, in seconds.
_TURN_SECONDS = 1.0


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
class Scope:
    """Whom a coordinator counts for.

    :ivar leads: whether it is the one that may grant of the fixed number.
    :ivar hosts: gives how many entry hosts there are.
    """

    leads: typing.Callable[[], bool]
    hosts: typing.Callable[[], float]


def _never() -> bool:
    return False


def _unknown() -> float:
    return math.inf


ALONE: typing.Final = Scope(_never, _unknown)


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """What a pool's budget holds at a moment.

    :ivar used: retries that count.
    :ivar allowed: retries that may count.
    """

    used: float
    allowed: float

    @property
    def is_full(self) -> bool:
        """Tell whether there is no room for one more."""
        return self.used + 1 > self.allowed


@dataclasses.dataclass(slots=True)
class _Pool:
    """What was asked and granted here.

    :ivar pending: retries that were admitted and aren't granted yet.
    """

    requests: windows.Window
    retries: windows.Window
    pending: int = 0


class RetryBudgets:
    """The budgets of all pools, as one coordinator counts them.

    >>> scope = Scope(leads=lambda: True, hosts=lambda: 6)
    >>> budgets = RetryBudgets(Budget(0, 10, 5), scope, 0)
    >>> pool = ids.PoolName('pool')
    >>> [budgets.take(pool, now) for now in (1, 11, 11, 11, 11, 11)]
    [False, True, True, True, True, False]
    """

    def __init__(self, budget: Budget, scope: Scope, start: float) -> None:
        """Begin to grant.

        :param start: when, in seconds.
        """
        self._budget = budget
        self._scope = scope
        self._start = start
        self._told: dict[ids.HostId, list[retrycounts.HostReport]] = {}
        self._sums = retrycounts.Sums()
        self._pools: collections.defaultdict[ids.PoolName, _Pool] = (
            collections.defaultdict(
                functools.partial(_new_pool, budget.window),
            )
        )

    def begin(self, now: float) -> None:
        """Begin to grant anew, after others did."""
        self._start = now
        self._told.clear()
        self._sums = retrycounts.Sums()

    def apply_report(
        self,
        host_id: ids.HostId,
        counts: retrycounts.Counts,
        now: float,
    ) -> None:
        """Take what an entry host was granted.

        What it tells again replaces what it told before; a process that
        started since knows nothing of that.
        """
        newest = retrycounts.HostReport(counts, now)
        oldest = now - self._budget.window
        self._sums.forget_before(oldest)
        kept = [newest]
        for told in self._told.get(host_id, ()):
            if told.at >= newest.known_from:
                self._sums.remove(told)
            elif told.at > oldest:
                kept.append(told)
        self._told[host_id] = kept
        self._sums.add(newest)

    def note_request(self, pool: ids.PoolName, now: float) -> None:
        """Count a request that asks for the first time."""
        self._pools[pool].requests.add(1, now)

    def take(self, pool: ids.PoolName, now: float) -> bool:
        """Admit a retry if there is budget for it."""
        if self.level(pool, now).is_full:
            return False
        self._pools[pool].pending += 1
        return True

    def granted(self, pool: ids.PoolName, now: float) -> None:
        """Take that an admitted retry may be sent now."""
        found = self._pools[pool]
        found.pending -= 1
        found.retries.add(1, now)

    def refund(self, pool: ids.PoolName, granted_at: float | None) -> None:
        """Take that an admitted retry won't reach a server.

        :param granted_at: None where it wasn't granted.
        """
        found = self._pools[pool]
        if granted_at is None:
            found.pending -= 1
        else:
            found.retries.refund(1, granted_at)

    def level(self, pool: ids.PoolName, now: float) -> Level:
        """Tell what a pool's budget holds.

        What was granted here is within what was asked here, and all that is
        known within all. The second alone wouldn't do: another host that
        coordinates may grant for the same requests of before.
        """
        found = self._pools[pool]
        asked = found.requests.used(now)
        own = found.retries.used(now) + found.pending
        if not self._knows_all(now):
            return Level(own, (1 - _GRANTED) * self._budget.ratio * asked)
        slack = self._budget.slack if self._scope.leads() else 0
        here = Level(own, self._allowed(asked, slack))
        told = self._sums.beside(
            pool,
            dict(found.retries.bins(now)),
            now - self._budget.window,
        )
        everywhere = Level(
            own + told.retries,
            self._allowed(asked + told.requests, slack),
        )
        return min(here, everywhere, key=_room)

    def _allowed(self, asked: float, slack: float) -> float:
        return _GRANTED * (self._budget.ratio * asked + slack)

    def _knows_all(self, now: float) -> bool:
        """Tell whether all retries within the window are known."""
        if now - self._start >= self._budget.window + windows.BIN_SECONDS:
            return True
        if now - self._start < _TURN_SECONDS:
            return False
        since = now - self._budget.window
        knowing = sum(
            any(one.known_from <= since for one in told)
            for told in self._told.values()
        )
        return knowing >= self._scope.hosts()


def _new_pool(seconds: float) -> _Pool:
    return _Pool(windows.Window(seconds), windows.Window(seconds))


def _room(level: Level) -> float:
    return level.allowed - level.used
