"""Quotas of customers, counted by the coordinator.

The coordinator counts each slot request once, for all pools together, before
it may wait in a queue. Requests that are not served in the end are refunded. A
coordinator that reaches only some of the entry hosts grants their share of
each quota.

A quota holds over any window of a fixed length: it allows the rate for that
time plus the burst. A token bucket with the burst alone would refuse much that
a window allows, as the cost of single requests differs by a factor of a
hundred: it refused 29 of 255 long requests on a calm day. A new coordinator
gets the earlier usage from the entry hosts' reports, and counts what it grants
itself from then on. Taking the windows as fully used until a customer's first
request instead would refuse much of the first seconds of a calm load.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import recent_usage, windows

# A smaller share amounts to none and would lead to endless waits.
_MIN_SHARE = 0.01
# Fraction of a quota that is reserved from each rank below the highest.
# Customers use 55 % of their quota on ordinary days, and the lowest rank may
# use 80 %, so it is refused only where the customer is about to exceed it.
_RESERVED_FRACTION_BY_RANK = 0.1
# From this rank on the reserved fraction is the same.
_LOWEST_RESERVED_RANK = 2
# Fraction of the quotas' tolerance that is granted while earlier usage is
# unknown; the rest is for what others grant at the same time. Single requests
# take up to a tenth of a window, and an eighth of what a burst allows would
# admit none of the long ones.
_TOLERANCE_FRACTION = 0.5


# Returns the share of all quotas that is granted here.
Share = typing.Callable[[], float]


def _one() -> int:
    return 1


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Quota of a customer over all entry hosts.

    :ivar per_second: rate, in the unit of the requests' cost.
    :ivar burst: amount that may be used at once, in the same unit.
    """

    per_second: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """Excess over a quota that is allowed where earlier usage is unknown.

    :ivar part: as a fraction of the quota.
    :ivar amount: added to it, in the unit of the requests' cost.
    """

    part: float = 0
    amount: float = 0

    def tolerated(self, full_window: float, burst: float) -> float:
        """Return the amount that may be granted beyond a window.

        Unknown earlier usage is counted at the full rate, but the burst may
        have been used as well, so it is subtracted.

        >>> Tolerance(0.1, 50).tolerated(1000, 100)
        25.0
        """
        allowed = self.part * full_window + self.amount
        return max(allowed - burst, 0) * _TOLERANCE_FRACTION


_NO_TOLERANCE: typing.Final = Tolerance()


class _EarlierUsage:
    """Usage that others granted before this host began to coordinate.

    Entry hosts report what they were granted. While a report is missing, and
    for times before the start of an entry host's process, customers are
    assumed to have used their full rate.
    """

    def __init__(self, seconds: float, started_at: float) -> None:
        """Initialize without reports.

        :param seconds: length of the windows.
        :param started_at: time in seconds from which this host grants.
        """
        self._seconds = seconds
        self._started_bin = windows.bin_of(started_at)
        self._newest = self._started_bin
        self._reported: set[ids.HostId] = set()
        self._complete_reports: collections.Counter[int] = collections.Counter()
        self._amounts: dict[ids.CustomerName, collections.Counter[int]] = {}

    def apply_report(
        self,
        host_id: ids.HostId,
        usage: recent_usage.RecentUsage,
        now: float,
    ) -> None:
        """Apply the first report of an entry host.

        Later reports are ignored: what they add was granted here.
        """
        if host_id in self._reported:
            return
        self._reported.add(host_id)
        newest = windows.bin_of(now)
        self._newest = max(self._newest, newest)
        known = windows.bin_of(now - usage.known_seconds)
        self._complete_reports.update(range(known, self._started_bin))
        for customer, amounts in usage.customers.items():
            counted = self._amounts.setdefault(customer, collections.Counter())
            for ago, amount in amounts.items():
                counted[newest - ago] += amount

    def is_expired(self, now: float) -> bool:
        """Return whether all earlier usage has left the window."""
        return windows.bin_of(now - self._seconds) >= self._newest

    def has_unknown_bins(self, hosts: int, now: float) -> bool:
        """Return whether reports are missing for a part of the window."""
        oldest = windows.bin_of(now - self._seconds)
        return any(
            self._is_unknown(number, hosts)
            for number in range(oldest, self._started_bin)
        )

    def granted_by_others(
        self,
        customer: ids.CustomerName,
        granted_here: typing.Mapping[int, float],
        rate: float,
        hosts: int,
        now: float,
    ) -> dict[int, float]:
        """Return by bin the usage that was granted by other hosts.

        :param granted_here: granted by this host when it coordinated before;
            the reports of entry hosts contain it too, so the larger of both
            counts.
        :param rate: of the customer's quota, per second.
        :param hosts: number of entry hosts.
        """
        oldest = windows.bin_of(now - self._seconds)
        reported = self._amounts.get(customer, {})
        full = rate * windows.BIN_SECONDS
        used: dict[int, float] = {}
        for number in range(oldest, self._newest + 1):
            used[number] = reported.get(number, 0)
            if self._is_unknown(number, hosts):
                used[number] = max(used[number], full)
            if number < self._started_bin:
                used[number] = max(
                    used[number] - granted_here.get(number, 0), 0
                )
        return used

    def _is_unknown(self, number: int, hosts: int) -> bool:
        """Return whether an entry host's report of a bin is missing.

        That host may have had most of a customer's usage.
        """
        return (
            number < self._started_bin
            and self._complete_reports[number] < hosts
        )


class Quotas:
    """Usage windows of all customers.

    >>> quotas = Quotas(lambda _: Allowance(10, 20), lambda: 1, 2, start=0)
    >>> [quotas.take(ids.CustomerName('c'), 15, now) > 0 for now in (0, 0, 2)]
    [False, True, False]
    """

    def __init__(
        self,
        allowance: typing.Callable[[ids.CustomerName], Allowance | None],
        share: Share,
        seconds: float,
        start: float,
        hosts: typing.Callable[[], int] = _one,
        tolerance: Tolerance = _NO_TOLERANCE,
    ) -> None:
        """Initialize the quotas of a coordinator.

        :param allowance: returns a customer's quota, or None for no limit.
        :param share: returns the share of the quotas that is granted here.
        :param seconds: length of the windows.
        :param start: time in seconds from which this host grants.
        :param hosts: returns the number of entry hosts, with or without a
            report.
        :param tolerance: for unknown earlier usage.
        """
        self._allowance = allowance
        self._share = share
        self._seconds = seconds
        self._hosts = hosts
        self._tolerance = tolerance
        self._windows = windows.by_customer(seconds)
        self._earlier = _EarlierUsage(seconds, start)

    def begin(self, now: float) -> None:
        """Restart granting at a time, after other hosts coordinated.

        Without this, a host that was partitioned twice kept the windows of
        the first partition and granted its share of a whole window at once in
        the second: a customer that took all it could get from two hosts got
        1.4 quotas in 8 s, and 1.11 with the restart.
        """
        self._earlier = _EarlierUsage(self._seconds, now)

    def apply_report(
        self,
        host_id: ids.HostId,
        usage: recent_usage.RecentUsage,
        now: float,
    ) -> None:
        """Apply an entry host's report of what others granted it."""
        self._earlier.apply_report(host_id, usage, now)

    def take(
        self,
        customer: ids.CustomerName,
        cost: float,
        now: float,
        rank: int = 0,
    ) -> float:
        """Charge a customer.

        A request that costs more than a full window is admitted by an empty
        one. The last part of a quota is reserved for more important requests,
        as small requests of low rank would otherwise leave nothing to the
        long ones. Requests that generate no tokens cost almost nothing.

        :param now: time in seconds.
        :param rank: importance of the request, 0 is the highest.
        :returns: 0 when charged, else the seconds until a charge may succeed.
        """
        allowed = self._allowance(customer)
        if allowed is None or cost <= 0:
            return 0
        share = max(self._share(), _MIN_SHARE)
        full_window = (
            allowed.per_second * self._seconds + allowed.burst
        ) * share
        full_window += self._tolerated(allowed, now) * share
        limit = full_window * (
            1 - _RESERVED_FRACTION_BY_RANK * min(rank, _LOWEST_RESERVED_RANK)
        )
        window = self._windows[customer]
        granted_by_others: dict[int, float] = {}
        if not self._earlier.is_expired(now):
            granted_by_others = self._earlier.granted_by_others(
                customer,
                dict(window.bins(now)),
                allowed.per_second * share,
                self._hosts(),
                now,
            )
        used = window.used(now) + sum(granted_by_others.values())
        over = used + min(cost, limit) - limit
        if over > 0:
            bins = collections.Counter(granted_by_others)
            bins.update(dict(window.bins(now)))
            return self._wait(bins, over, now)
        window.add(cost, now)
        return 0

    def refund(
        self,
        customer: ids.CustomerName,
        cost: float,
        at: float,
    ) -> None:
        """Refund a charge.

        :param at: time of the charge, in seconds.
        """
        window = self._windows.get(customer)
        if window is not None:
            window.refund(cost, at)

    def _tolerated(self, allowed: Allowance, now: float) -> float:
        """Return the amount that may be granted beyond a quota now.

        The tolerance matters where all hosts restarted, or had no
        coordinator: they are assumed to have used the full rate before.
        """
        if not self._earlier.has_unknown_bins(self._hosts(), now):
            return 0
        full_window = allowed.per_second * self._seconds + allowed.burst
        return self._tolerance.tolerated(full_window, allowed.burst)

    def _wait(
        self,
        bins: typing.Mapping[int, float],
        amount: float,
        now: float,
    ) -> float:
        """Return the seconds until an amount has left the window."""
        for number in sorted(bins):
            amount -= bins[number]
            if amount <= 0:
                out = (number + 1) * windows.BIN_SECONDS + self._seconds
                return max(out - now, windows.BIN_SECONDS)
        return self._seconds
