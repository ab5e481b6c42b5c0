"""Retry budgets of pools.

Over any window, the servers of a pool get retries up to a ratio of the pool's
requests plus a fixed number, from all entry hosts together. The coordinator
counts them, as it counts quotas. A retry counts from its admission, and leaves
the window one window length after its grant.

Entry hosts report to a new coordinator what others granted them. Until all
have reported, or a window has passed, the predecessor may have granted up to
its own limit, so the new coordinator grants only the remaining fraction.

Only one host at a time may grant of the fixed number, the leader of the
replicated log. Hosts partitioned from it grant the ratio of the requests sent
to them, which no other host counts.

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

# Fraction of a budget that is granted. The rest covers retries that reach
# servers some time after their grant, and those that a lost predecessor
# granted.
_GRANTED_FRACTION = 0.8
# Entry hosts switch to a new coordinator within this time.
_COORDINATOR_CHANGE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Limit of the retries of a pool from all hosts together.

    :ivar ratio: retries allowed per request in the window.
    :ivar window: its length in seconds.
    :ivar slack: additional retries in each window.
    """

    ratio: float
    window: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Part of the system for which a coordinator counts.

    :ivar leads: returns whether it leads the replicated log, and so may
        grant of the fixed number.
    :ivar hosts: returns the number of entry hosts.
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
    """Usage of a pool's budget at a point in time.

    :ivar used: retries counted.
    :ivar allowed: retries that may be counted.
    """

    used: float
    allowed: float

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more retry."""
        return self.used + 1 > self.allowed


@dataclasses.dataclass(slots=True)
class _Pool:
    """Requests and retries of a pool that this host counted.

    :ivar pending: retries that are admitted but not granted yet.
    """

    requests: windows.Window
    retries: windows.Window
    pending: int = 0


class RetryBudgets:
    """Budgets of all pools, as one coordinator counts them.

    >>> scope = Scope(leads=lambda: True, hosts=lambda: 6)
    >>> budgets = RetryBudgets(Budget(0, 10, 5), scope, 0)
    >>> pool = ids.PoolName('pool')
    >>> [budgets.take(pool, now) for now in (1, 11, 11, 11, 11, 11)]
    [False, True, True, True, True, False]
    """

    def __init__(self, budget: Budget, scope: Scope, start: float) -> None:
        """Initialize the budgets of a coordinator.

        :param start: time in seconds from which it grants.
        """
        self._budget = budget
        self._scope = scope
        self._start = start
        self._reports: dict[ids.HostId, list[retrycounts.HostReport]] = {}
        self._sums = retrycounts.ReportSums()
        self._pools: collections.defaultdict[ids.PoolName, _Pool] = (
            collections.defaultdict(
                functools.partial(_new_pool, budget.window),
            )
        )

    def begin(self, now: float) -> None:
        """Restart granting at a time, after other hosts coordinated."""
        self._start = now
        self._reports.clear()
        self._sums = retrycounts.ReportSums()

    def apply_report(
        self,
        host_id: ids.HostId,
        counts: retrycounts.Counts,
        now: float,
    ) -> None:
        """Apply an entry host's report of what it was granted.

        A later report replaces the earlier ones of its time span. Earlier
        reports stay where the host's process has restarted since, as its new
        reports don't cover that time.
        """
        newest = retrycounts.HostReport(counts, now)
        oldest = now - self._budget.window
        self._sums.remove_before(oldest)
        kept = [newest]
        for report in self._reports.get(host_id, ()):
            if report.reported_at >= newest.known_from:
                self._sums.remove(report)
            elif report.reported_at > oldest:
                kept.append(report)
        self._reports[host_id] = kept
        self._sums.add(newest)

    def note_request(self, pool: ids.PoolName, now: float) -> None:
        """Count the first slot request of a request."""
        self._pools[pool].requests.add(1, now)

    def take(self, pool: ids.PoolName, now: float) -> bool:
        """Admit a retry if there is budget for it."""
        if self.level(pool, now).is_full:
            return False
        self._pools[pool].pending += 1
        return True

    def granted(self, pool: ids.PoolName, now: float) -> None:
        """Record the grant of an admitted retry."""
        found = self._pools[pool]
        found.pending -= 1
        found.retries.add(1, now)

    def refund(self, pool: ids.PoolName, granted_at: float | None) -> None:
        """Refund an admitted retry that did not reach a server.

        :param granted_at: time of its grant in seconds, None where it was
            not granted.
        """
        found = self._pools[pool]
        if granted_at is None:
            found.pending -= 1
        else:
            found.retries.refund(1, granted_at)

    def level(self, pool: ids.PoolName, now: float) -> Level:
        """Return the usage of a pool's budget.

        Two limits hold: retries granted here are limited by the requests
        counted here, and all known retries by all known requests. The second
        limit alone is not enough, as another coordinating host may grant
        retries for the same earlier requests.
        """
        found = self._pools[pool]
        requested = found.requests.used(now)
        own = found.retries.used(now) + found.pending
        if not self._has_all_reports(now):
            return Level(
                own, (1 - _GRANTED_FRACTION) * self._budget.ratio * requested
            )
        slack = self._budget.slack if self._scope.leads() else 0
        here = Level(own, self._allowed(requested, slack))
        others = self._sums.other_counts(
            pool,
            dict(found.retries.bins(now)),
            now - self._budget.window,
        )
        everywhere = Level(
            own + others.retries,
            self._allowed(requested + others.requests, slack),
        )
        return min(here, everywhere, key=_headroom)

    def _allowed(self, requested: float, slack: float) -> float:
        return _GRANTED_FRACTION * (self._budget.ratio * requested + slack)

    def _has_all_reports(self, now: float) -> bool:
        """Return whether all retries within the window are known."""
        if now - self._start >= self._budget.window + windows.BIN_SECONDS:
            return True
        if now - self._start < _COORDINATOR_CHANGE_SECONDS:
            return False
        since = now - self._budget.window
        complete_reports = sum(
            any(one.known_from <= since for one in reports)
            for reports in self._reports.values()
        )
        return complete_reports >= self._scope.hosts()


def _new_pool(seconds: float) -> _Pool:
    return _Pool(windows.Window(seconds), windows.Window(seconds))


def _headroom(level: Level) -> float:
    return level.allowed - level.used
