"""Quotas of customers, counted where all entry hosts ask.

Whoever coordinates counts each ask once, for all pools together, before it
may wait. What isn't served in the end is given back. A coordinator that hears
only a part of the entry hosts grants that part of each quota.

References
==========
.. [1] J. Turner, "New directions in communications (or which way to the
   information age?)", IEEE Communications Magazine 24(10), 1986: the token
   bucket.
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

_MS = 1000
# A share below this is as good as none and would make waits without end.
_LEAST_SHARE = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What a customer may ask for, over all entry hosts.

    :ivar per_second: in the unit of the asks' cost.
    :ivar burst: may come at once.
    """

    per_second: float
    burst: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    filled_at: float


class Quotas:
    """Buckets by customer.

    >>> quotas = Quotas(lambda _: Allowance(10, 20), lambda: 1)
    >>> [quotas.take(ids.CustomerName('c'), 15, now) for now in (0, 0, 1)]
    [0, 1.0, 0]
    """

    def __init__(
        self,
        allowance: typing.Callable[[ids.CustomerName], Allowance | None],
        share: typing.Callable[[], float],
    ) -> None:
        """Start with full buckets.

        :param allowance: gives a customer's, or None for no limit.
        :param share: gives the part of it that is granted here.
        """
        self._allowance = allowance
        self._share = share
        self._buckets: dict[ids.CustomerName, _Bucket] = {}

    def take(
        self,
        customer: ids.CustomerName,
        cost: float,
        now: float,
    ) -> float:
        """Charge a customer.

        A request that costs more than the whole burst is let through by a
        full bucket, which owes the rest.

        :param now: in seconds.
        :returns: 0 when charged, else the seconds until it may be.
        """
        allowed = self._allowance(customer)
        if allowed is None or cost <= 0:
            return 0
        share = max(self._share(), _LEAST_SHARE)
        burst = allowed.burst * share
        rate = allowed.per_second * share
        bucket = self._filled(customer, rate, burst, now)
        needed = min(cost, burst)
        if bucket.level >= needed:
            bucket.level -= cost
            return 0
        return (needed - bucket.level) / rate

    def give_back(self, customer: ids.CustomerName, cost: float) -> None:
        """Undo a charge."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level += cost

    def _filled(
        self,
        customer: ids.CustomerName,
        rate: float,
        burst: float,
        now: float,
    ) -> _Bucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(burst, now)
            self._buckets[customer] = bucket
        passed = max(now - bucket.filled_at, 0)
        bucket.level = min(bucket.level + passed * rate, burst)
        bucket.filled_at = max(now, bucket.filled_at)
        return bucket


class Gate:
    """Lets asks within their customers' quotas to a pool leader."""

    def __init__(
        self,
        quotas: Quotas,
        now: typing.Callable[[], float],
        on_ask: typing.Callable[[requests.Ask], None] | None = None,
    ) -> None:
        """Count against buckets that all pools share.

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
        seconds = self._quotas.take(ask.customer, ask.quota_cost, self._now())
        if not seconds:
            return None
        return requests.Denial(
            ask.request_id,
            requests.DenialReason.over_quota,
            max(math.ceil(seconds * _MS), 1),
        )

    def undo(self, ask: requests.Ask) -> None:
        """Give back the charge of an ask that wasn't served."""
        self._quotas.give_back(ask.customer, ask.quota_cost)
