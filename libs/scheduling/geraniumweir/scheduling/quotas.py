"""Quotas of customers, counted where all entry hosts ask.

Whoever coordinates counts each ask once, for all pools together, before it
may wait. What isn't served in the end is given back. A coordinator that hears
only a part of the entry hosts grants that part of each quota.

A quota holds over any window of some seconds: the rate for so long, and the
burst. A bucket of the burst alone refuses much that a window allows, as
single requests differ a hundredfold: with it, 29 of 255 long requests on a
calm day. A coordinator that is new takes the window before its start as used,
since it can't know what another one granted; what it grants itself it knows
for each customer from then on, also for one that comes later. Windows that
were taken as used up to a customer's first request instead cost a fifth of
the worth of the first 4 s of a calm day.
"""

import collections
import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

_MS = 1000
# A share below this is as good as none and would make waits without end.
_LEAST_SHARE = 0.01
# What is used is counted in bins of so many seconds: a fortieth of the users'
# windows of 8 s, so that a bin more or less is within the rule's slack.
_BIN_SECONDS = 0.2
# What is added for a bin counts at its middle.
_HALF = 0.5
# Part of a quota kept from each rank below the highest. Customers use 55 in
# 100 of theirs on ordinary days, so that the lowest rank, which may use 80,
# is refused by it only where the customer is about to exceed it.
_KEPT_BY_RANK = 0.1
# Ranks from here on leave the same part.
_LOWEST_RANK = 2
# Others of the same customer take what gets free next; a caller that comes
# back sooner than this is mostly refused again, and it comes
# back once. In seconds.
_LEAST_WAIT_SECONDS = 2.0


# Gives the part of all quotas that is granted here.
Share = typing.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What a customer may ask for, over all entry hosts.

    :ivar per_second: in the unit of the asks' cost.
    :ivar burst: may come at once.
    """

    per_second: float
    burst: float


class _Window:
    """What a customer used within a window of time, in bins.

    :ivar filled_at: up to when it was taken as used, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self.filled_at = float('-inf')
        self._seconds = seconds
        self._bins: collections.deque[list[float]] = collections.deque()
        self._total: float = 0

    def fill(self, rate: float, now: float) -> None:
        """Take the time before now as used at a rate, or at what is counted.

        Where more is counted, that stays.
        """
        self.filled_at = now
        count = round(self._seconds / _BIN_SECONDS)
        newest = int(now / _BIN_SECONDS)
        counted = {int(number): used for number, used in self._bins}
        self._bins.clear()
        self._total = 0
        for number in range(newest - count, newest + 1):
            least = rate * _BIN_SECONDS if number < newest else 0
            used = max(counted.get(number, 0), least)
            self.add(used, (number + _HALF) * _BIN_SECONDS)

    def used(self, now: float) -> float:
        """Give what was used within the window that ends now."""
        oldest = (now - self._seconds) / _BIN_SECONDS
        while self._bins and self._bins[0][0] + 1 <= oldest:
            self._total -= self._bins.popleft()[1]
        return self._total

    def add(self, amount: float, now: float) -> None:
        """Count what is used now."""
        number = int(now / _BIN_SECONDS)
        if not self._bins or self._bins[-1][0] < number:
            self._bins.append([number, 0])
        self._bins[-1][1] += amount
        self._total += amount

    def give_back(self, amount: float, at: float) -> None:
        """Undo what was added, where it was added.

        Taken off now instead, it would stay in the window after what it
        undoes has left it, and let so much more through than is allowed.
        """
        number = int(at / _BIN_SECONDS)
        for counted in reversed(self._bins):
            if counted[0] == number:
                counted[1] -= amount
                self._total -= amount
                return

    def wait(self, amount: float, now: float) -> float:
        """Give the seconds until so much of what was used is out of it."""
        for number, used in self._bins:
            amount -= used
            if amount <= 0:
                out = (number + 1) * _BIN_SECONDS + self._seconds
                return max(out - now, _BIN_SECONDS)
        return self._seconds


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
    ) -> None:
        """Start with windows that were used at the rate until now.

        :param allowance: gives a customer's, or None for no limit.
        :param share: gives the part of it that is granted here.
        :param seconds: length of the windows.
        :param start: since when this host knows what it grants, in seconds.
        """
        self._allowance = allowance
        self._share = share
        self._seconds = seconds
        self._windows: dict[ids.CustomerName, _Window] = {}
        self._used_till = start

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
        share = self._granted_here()
        whole = (allowed.per_second * self._seconds + allowed.burst) * share
        limit = whole * (1 - _KEPT_BY_RANK * min(rank, _LOWEST_RANK))
        window = self._window(customer, allowed.per_second * share)
        over = window.used(now) + min(cost, limit) - limit
        if over > 0:
            return window.wait(over, now)
        window.add(cost, now)
        return 0

    def take_as_used(self, now: float) -> None:
        """Take the time before now as used at the rate that is granted here.

        For a host that begins to grant: what others granted before isn't
        counted here. A host that was cut off twice found the windows of its
        first cut empty at the second and granted its part of a whole window
        at once: 1.4 quotas in 8 s for a customer that took all it could get
        from two hosts, 1.11 with this. Windows are filled as they are asked
        for, since 1,400 at once would take 30 ms.
        """
        self._used_till = now

    def give_back(
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
            window.give_back(cost, at)

    def _granted_here(self) -> float:
        return max(self._share(), _LEAST_SHARE)

    def _window(self, customer: ids.CustomerName, rate: float) -> _Window:
        window = self._windows.get(customer)
        if window is None:
            window = _Window(self._seconds)
            self._windows[customer] = window
        if window.filled_at < self._used_till:
            window.fill(rate, self._used_till)
        return window


class Gate:
    """Lets asks within their customers' quotas to a pool leader."""

    def __init__(
        self,
        quotas: Quotas,
        now: typing.Callable[[], float],
        on_ask: typing.Callable[[requests.Ask], None] | None = None,
    ) -> None:
        """Count in windows that all pools share.

        :param now: gives the time in seconds.
        :param on_ask: told of each ask, whether it is let through or not.
        """
        self._quotas = quotas
        self._now = now
        self._on_ask = on_ask

    def admit(self, ask: requests.Ask) -> requests.Denial | None:
        """Charge an ask, or tell when it may come again."""
        if self._on_ask is not None:
            self._on_ask(ask)
        seconds = self._quotas.take(
            ask.customer,
            ask.quota_cost,
            self._now(),
            ask.rank if ask.streams else 0,
        )
        if not seconds:
            return None
        return requests.Denial(
            ask.request_id,
            requests.DenialReason.over_quota,
            math.ceil(max(seconds, _LEAST_WAIT_SECONDS) * _MS),
        )

    def undo(self, ask: requests.Ask, at: float) -> None:
        """Give back the charge of an ask that wasn't served.

        :param at: when it was let through, in seconds.
        """
        self._quotas.give_back(ask.customer, ask.quota_cost, at)
