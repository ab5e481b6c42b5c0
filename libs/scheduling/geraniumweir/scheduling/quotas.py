"""Quotas of customers, counted where all entry hosts ask.

Whoever coordinates counts each ask once, for all pools together, before it
may wait. What isn't served in the end is given back. A coordinator that hears
only a part of the entry hosts grants that part of each quota.

A quota holds over any window of some seconds: the rate for so long, and the
burst. A bucket of the burst alone refuses much that a window allows, as
single requests differ a hundredfold: with it, 29 of 255 long requests on a
calm day. A coordinator that is new learns from the entry hosts what others
granted before; what it grants itself it knows for each customer from then on.
Windows taken as used up to a customer's first request instead would refuse
much of the first seconds of a calm load.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import recent_usage, windows

# A share below this is as good as none and would make waits without end.
_LEAST_SHARE = 0.01
# Part of a quota kept from each rank below the highest. Customers use 55 in
# 100 of theirs on ordinary days, so that the lowest rank, which may use 80,
# is refused by it only where the customer is about to exceed it.
_KEPT_BY_RANK = 0.1
# Ranks from here on leave the same part.
_LOWEST_RANK = 2
# Part of the tolerance of quotas that is granted while it isn't known what was
# used before; the rest is for what others grant at the same moment. Single
# requests take up to a tenth of a window, and an eighth of what a burst allows
# lets none of the long ones through.
_USED_OF_TOLERANCE = 0.5


# Gives the part of all quotas that is granted here.
Share = typing.Callable[[], float]


def _one() -> int:
    return 1


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What a customer may ask for, over all entry hosts.

    :ivar per_second: in the unit of the asks' cost.
    :ivar burst: may come at once.
    """

    per_second: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much more than a quota may be granted where it isn't known.

    :ivar part: of the quota.
    :ivar amount: besides, in the unit of the asks' cost.
    """

    part: float = 0
    amount: float = 0

    def spare(self, whole: float, burst: float) -> float:
        """Give what may be granted beyond a window.

        What was used before counts at the full rate; the burst may have been
        used as well.

        >>> Tolerance(0.1, 50).spare(1000, 100)
        25.0
        """
        allowed = self.part * whole + self.amount
        return max(allowed - burst, 0) * _USED_OF_TOLERANCE


_NO_TOLERANCE: typing.Final = Tolerance()


class _Before:
    """What others granted before this host began to coordinate.

    Entry hosts tell what they were granted. As long as one of them doesn't,
    and for times at which one was not there yet, customers are taken to have
    used their full rate.
    """

    def __init__(self, seconds: float, until: float) -> None:
        """Know of no entry host.

        :param seconds: length of the windows.
        :param until: this host grants from then on, in seconds.
        """
        self._seconds = seconds
        self._until = windows.bin_of(until)
        self._newest = self._until
        self._told: set[ids.HostId] = set()
        self._knowing: collections.Counter[int] = collections.Counter()
        self._amounts: dict[ids.CustomerName, collections.Counter[int]] = {}

    def apply_report(
        self,
        host_id: ids.HostId,
        spent: recent_usage.RecentUsage,
        now: float,
    ) -> None:
        """Take what an entry host was granted, once.

        What it tells a second time was granted here.
        """
        if host_id in self._told:
            return
        self._told.add(host_id)
        newest = windows.bin_of(now)
        self._newest = max(self._newest, newest)
        known = windows.bin_of(now - spent.known_seconds)
        self._knowing.update(range(known, self._until))
        for customer, amounts in spent.customers.items():
            counted = self._amounts.setdefault(customer, collections.Counter())
            for ago, amount in amounts.items():
                counted[newest - ago] += amount

    def is_over(self, now: float) -> bool:
        """Tell whether nothing of it is within the window any more."""
        return windows.bin_of(now - self._seconds) >= self._newest

    def is_unknown(self, hosts: int, now: float) -> bool:
        """Tell whether an entry host tells nothing of a part of the window."""
        oldest = windows.bin_of(now - self._seconds)
        return any(
            self._is_unknown(number, hosts)
            for number in range(oldest, self._until)
        )

    def beside(
        self,
        customer: ids.CustomerName,
        own: typing.Mapping[int, float],
        rate: float,
        hosts: int,
        now: float,
    ) -> dict[int, float]:
        """Give what was used beside what was granted here, by bin.

        :param own: granted here, when this host coordinated before; entry
            hosts tell of that as well, so that the larger of both counts.
        :param rate: of the customer's quota, a second.
        :param hosts: entry hosts that there are.
        """
        oldest = windows.bin_of(now - self._seconds)
        told = self._amounts.get(customer, {})
        full = rate * windows.BIN_SECONDS
        used: dict[int, float] = {}
        for number in range(oldest, self._newest + 1):
            used[number] = told.get(number, 0)
            if self._is_unknown(number, hosts):
                used[number] = max(used[number], full)
            if number < self._until:
                used[number] = max(used[number] - own.get(number, 0), 0)
        return used

    def _is_unknown(self, number: int, hosts: int) -> bool:
        """Tell whether an entry host tells nothing of a bin.

        It may have had most of what a customer used.
        """
        return number < self._until and self._knowing[number] < hosts


class Quotas:
    """Windows by customer.

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
        """Begin to grant.

        :param allowance: gives a customer's, or None for no limit.
        :param share: gives the part of it that is granted here.
        :param seconds: length of the windows.
        :param start: when, in seconds.
        :param hosts: gives how many entry hosts there are, also those that
            tell nothing.
        :param tolerance: for what was used before and isn't known.
        """
        self._allowance = allowance
        self._share = share
        self._seconds = seconds
        self._hosts = hosts
        self._tolerance = tolerance
        self._windows = windows.by_customer(seconds)
        self._before = _Before(seconds, start)

    def begin(self, now: float) -> None:
        """Begin to grant anew, after others did.

        A host that was cut off twice kept the windows of its first cut and
        granted its part of a whole one at once at the second: 1.4 quotas in
        8 s for a customer that took all it could get from two hosts, 1.11
        with this.
        """
        self._before = _Before(self._seconds, now)

    def apply_report(
        self,
        host_id: ids.HostId,
        spent: recent_usage.RecentUsage,
        now: float,
    ) -> None:
        """Take what an entry host was granted by others."""
        self._before.apply_report(host_id, spent, now)

    def take(
        self,
        customer: ids.CustomerName,
        cost: float,
        now: float,
        rank: int = 0,
    ) -> float:
        """Charge a customer.

        A request that costs more than a whole window is let through by an
        empty one. Of the last of a quota a part is kept for what is more
        important, as small requests of little worth would else leave none
        of it to the long ones. Plain calls cost next to nothing.

        :param now: in seconds.
        :param rank: importance of the request, 0 is the highest.
        :returns: 0 when charged, else the seconds until it may be.
        """
        allowed = self._allowance(customer)
        if allowed is None or cost <= 0:
            return 0
        share = max(self._share(), _LEAST_SHARE)
        whole = (allowed.per_second * self._seconds + allowed.burst) * share
        whole += self._spare(allowed, now) * share
        limit = whole * (1 - _KEPT_BY_RANK * min(rank, _LOWEST_RANK))
        window = self._windows[customer]
        beside: dict[int, float] = {}
        if not self._before.is_over(now):
            beside = self._before.beside(
                customer,
                dict(window.bins(now)),
                allowed.per_second * share,
                self._hosts(),
                now,
            )
        used = window.used(now) + sum(beside.values())
        over = used + min(cost, limit) - limit
        if over > 0:
            bins = collections.Counter(beside)
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
        """Undo a charge.

        :param at: when it was taken, in seconds.
        """
        window = self._windows.get(customer)
        if window is not None:
            window.refund(cost, at)

    def _spare(self, allowed: Allowance, now: float) -> float:
        """Give what may be granted beyond a quota just now.

        Hosts that all started again, or were left without a coordinator, are
        taken to have used the full rate before.
        """
        if not self._before.is_unknown(self._hosts(), now):
            return 0
        whole = allowed.per_second * self._seconds + allowed.burst
        return self._tolerance.spare(whole, allowed.burst)

    def _wait(
        self,
        bins: typing.Mapping[int, float],
        amount: float,
        now: float,
    ) -> float:
        """Give the seconds until so much of what was used is out of it."""
        for number in sorted(bins):
            amount -= bins[number]
            if amount <= 0:
                out = (number + 1) * windows.BIN_SECONDS + self._seconds
                return max(out - now, windows.BIN_SECONDS)
        return self._seconds
