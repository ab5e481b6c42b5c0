"""Weighted fair shares of slot time among customers.

The load: customers whose combined demand exceeds the slots, one of which sends
several times its usual number of requests. Without shares it gets slots in
proportion to what it sends, and all other customers are refused as often as it
is.

Slot time and demand are counted by class and customer and decay within some
seconds. The fair shares are max-min [1]_: each customer gets its demand, or the
slot time in proportion to its weight if that is less, and what a customer
doesn't use is divided among the others. A customer above its fair share has an
excess, and :mod:`geraniumweir.scheduling.ontime.ordering` orders its requests
after those of others of the same class, so it still gets the slots that others
leave.

Cost: a recorded arrival or grant updates one entry. Fair shares are computed
for all customers of a class at once, in time proportional to their number and
with a sort, but at most every 10 ms and at most every 0.2 ms for each customer:
for 1,400 customers that is 1.6 to 3 ms every 280 ms. The lookup for a request
is one access to a dictionary that holds only the customers above their shares.
Memory is bounded by the number of customers in the routing document for each
class, as others aren't counted.

References
==========
.. [1] D. Bertsekas, R. Gallager, "Data Networks", 2nd edition, Prentice Hall
   1992, section 6.5.2: max-min flow control.
"""

import dataclasses
import math
import types
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling.ontime import classes, max_min

Weights = typing.Mapping[ids.CustomerName, float]
Excess = typing.Mapping[tuple[classes.Class, ids.CustomerName], int]

# Time constant of the counts: as long as a burst, so that a new leader, which
# has no counts, has fair shares again within 5 s.
_WINDOW_SECONDS = 5.0
# A customer is limited above this multiple of its fair share, so that small
# differences don't reorder requests.
_LIMIT_RATIO = 1.25
# A large customer is limited earlier: its dead band is at most this fraction of
# the slot time, as all of it is taken from the others.
_MAX_BAND = 0.03
# It is no longer limited once it uses less than this fraction: its demand fell.
_RELEASE_RATIO = 0.8
# A limited customer with more than this multiple yields to other limited ones.
_HIGH_RATIO = 1.5
# Slot time that was free for use mustn't be paid back for long: usage counts up
# to this multiple of the fair share, so that it is below the share again after
# 3.5 s without a grant.
_MAX_RATIO = 2.0
# Usage beyond the share that limits nobody, in usual requests: a few long
# requests of a small customer aren't an excess.
_SLACK_REQUESTS = 2.0
# Initial guess of the time for which a request holds a slot, in seconds.
_GUESS_SECONDS = 1.0
# Minimum time between two computations of fair shares, and for each customer.
_REFRESH_SECONDS = 0.01
_REFRESH_SECONDS_PER_CUSTOMER = 2e-4
# Customers count as above their shares for so long after the last computation,
# which takes place only while the pool is crowded.
_REPORT_SECONDS = 1.0
# Weights of events grow exponentially and are scaled down after so many
# windows, long before they overflow.
_MAX_WINDOWS = 14.0
# Customers with fewer arrivals and grants in the window are forgotten.
_MIN_EVENTS = 0.01
# Excess of customers without weight, which get only what all others leave.
_LAST = 3

_NO_WEIGHTS: typing.Final[Weights] = types.MappingProxyType({})


def no_weights() -> Weights:
    """Return no weights, so that there are no shares."""
    return _NO_WEIGHTS


@dataclasses.dataclass(slots=True)
class _Counts:
    """Decaying counts of one customer, with a greater weight for newer events.

    :ivar arrivals: first requests of callers.
    :ivar grants: granted requests.
    :ivar used_seconds: predicted slot time of the grants.
    :ivar limited: whether its usage is held at its fair share.
    """

    arrivals: float = 0
    grants: float = 0
    used_seconds: float = 0
    limited: bool = False

    def scale(self, factor: float) -> None:
        """Scale the counts to a new epoch of the weights."""
        self.arrivals *= factor
        self.grants *= factor
        self.used_seconds *= factor

    def mean_seconds(self, guess_seconds: float, guess_weight: float) -> float:
        """Return the slot time of a granted request.

        :param guess_seconds: initial guess.
        :param guess_weight: number of grants for which the guess counts.
        """
        total_seconds = self.used_seconds + guess_seconds * guess_weight
        return total_seconds / (self.grants + guess_weight)


@dataclasses.dataclass(frozen=True, slots=True)
class _Bounds:
    """Usage beyond the fair share that limits no customer.

    :ivar slack_seconds: of a customer with any share.
    :ivar band_seconds: upper bound of the further usage in proportion to the
        share.
    """

    slack_seconds: float
    band_seconds: float

    def dead_band(self, fair_seconds: float) -> float:
        """Return the usage beyond a fair share that doesn't limit."""
        band_seconds = fair_seconds * (_LIMIT_RATIO - 1)
        return min(band_seconds, self.band_seconds) + self.slack_seconds


class CustomerShares:
    """Fair shares of the customers in one class.

    :ivar levels: excess of the customers above their fair shares.

    >>> a, b = ids.CustomerName('a'), ids.CustomerName('b')
    >>> shares = CustomerShares()
    >>> for at in range(10):
    ...     shares.record_arrival(a, at / 10)
    ...     shares.record_arrival(b, at / 10)
    ...     shares.record_grant(a, 1, at / 10)
    >>> shares.refresh({a: 1, b: 1}, 1)
    True
    >>> shares.levels
    {'a': 2}
    """

    def __init__(self) -> None:
        """Initialize without usage."""
        self.levels: dict[ids.CustomerName, int] = {}
        self._counts: dict[ids.CustomerName, _Counts] = {}
        self._total = _Counts()
        self._epoch = float('-inf')
        self._refreshed_at = float('-inf')

    def record_arrival(self, customer: ids.CustomerName, now: float) -> None:
        """Count a first request of a caller as demand."""
        weight = self._event_weight(now)
        self._of(customer).arrivals += weight

    def record_grant(
        self,
        customer: ids.CustomerName,
        hold_seconds: float,
        now: float,
    ) -> None:
        """Count a grant as usage.

        :param hold_seconds: predicted time for which it holds a slot.
        """
        weight = self._event_weight(now)
        for counts in (self._of(customer), self._total):
            counts.grants += weight
            counts.used_seconds += hold_seconds * weight

    def refresh(self, weights: Weights, now: float) -> bool:
        """Compute the excess of each customer if that is due.

        :returns: whether it was computed.
        """
        delay = max(
            _REFRESH_SECONDS, len(self._counts) * _REFRESH_SECONDS_PER_CUSTOMER
        )
        if now - self._refreshed_at < delay:
            return False
        self._refreshed_at = now
        self._remove_idle(weights, now)
        self._update_levels(weights, self._event_weight(now))
        return True

    def is_limited(self, customer: ids.CustomerName) -> bool:
        """Return whether a customer is held at its fair share."""
        counts = self._counts.get(customer)
        return counts is not None and counts.limited

    def above(self, now: float) -> list[ids.CustomerName]:
        """List the customers that are limited to their fair shares."""
        if now - self._refreshed_at > _REPORT_SECONDS:
            return []
        return [name for name, counts in self._counts.items() if counts.limited]

    def _update_levels(self, weights: Weights, event_weight: float) -> None:
        """Compute the excess of each customer.

        :param event_weight: weight of an event now.
        """
        usual_seconds = self._total.mean_seconds(_GUESS_SECONDS, event_weight)
        level = max_min.fair_level(
            self._demands(weights, usual_seconds, event_weight),
            self._total.used_seconds,
        )
        bounds = _Bounds(
            slack_seconds=_SLACK_REQUESTS * usual_seconds * event_weight,
            band_seconds=_MAX_BAND * self._total.used_seconds,
        )
        self.levels = {}
        for customer, counts in self._counts.items():
            excess = _update_excess(counts, weights[customer], level, bounds)
            if excess:
                self.levels[customer] = excess

    def _demands(
        self,
        weights: Weights,
        usual_seconds: float,
        event_weight: float,
    ) -> list[tuple[float, float]]:
        """Return the weight and the demand of each customer, in slot time.

        The demand is that of all arrivals, each of which counts as a usual
        grant to the customer.
        """
        demands = []
        for customer, counts in self._counts.items():
            mean_seconds = counts.mean_seconds(usual_seconds, event_weight)
            demand = max(counts.arrivals * mean_seconds, counts.used_seconds)
            demands.append((weights[customer], demand))
        return demands

    def _remove_idle(self, weights: Weights, now: float) -> None:
        """Remove customers without events or that the document doesn't name."""
        minimum = _MIN_EVENTS * self._event_weight(now)
        self._counts = {
            name: counts
            for name, counts in self._counts.items()
            if name in weights and counts.arrivals + counts.grants > minimum
        }

    def _of(self, customer: ids.CustomerName) -> _Counts:
        return self._counts.setdefault(customer, _Counts())

    def _event_weight(self, now: float) -> float:
        """Return the weight of an event now, relative to the epoch."""
        elapsed_windows = (now - self._epoch) / _WINDOW_SECONDS
        if elapsed_windows < _MAX_WINDOWS:
            return math.exp(elapsed_windows)
        self._epoch = now
        factor = math.exp(-elapsed_windows)
        self._total.scale(factor)
        for counts in self._counts.values():
            counts.scale(factor)
        return 1


class SharesByClass:
    """Fair shares of the customers in each class of a pool.

    Shares are kept by class, so that what a customer uses in a class of lower
    importance doesn't count against its more important requests.

    :ivar weights: returns the weights of the customers, none to keep no shares.
    """

    def __init__(self) -> None:
        """Initialize without weights."""
        self.weights: typing.Callable[[], Weights] = no_weights
        self._shares: dict[classes.Class, CustomerShares] = {}
        self._excess: dict[tuple[classes.Class, ids.CustomerName], int] = {}

    def record_arrival(
        self,
        request_class: classes.Class,
        customer: ids.CustomerName,
        now: float,
    ) -> None:
        """Count a first request of a caller."""
        if customer in self.weights():
            self._of(request_class).record_arrival(customer, now)

    def record_grant(
        self,
        request_class: classes.Class,
        customer: ids.CustomerName,
        hold_seconds: float,
        now: float,
    ) -> None:
        """Count a grant.

        :param hold_seconds: predicted time for which it holds a slot.
        """
        if customer in self.weights():
            self._of(request_class).record_grant(customer, hold_seconds, now)

    def excess(self, now: float) -> Excess:
        """Return the excess of the customers above their fair shares."""
        weights = self.weights()
        if not weights:
            self._shares.clear()
            self._excess.clear()
            return self._excess
        refreshed = [
            shares.refresh(weights, now) for shares in self._shares.values()
        ]
        if any(refreshed):
            self._excess = {
                (request_class, customer): level
                for request_class, shares in self._shares.items()
                for customer, level in shares.levels.items()
            }
        return self._excess

    def is_limited(
        self, request_class: classes.Class, customer: ids.CustomerName
    ) -> bool:
        """Return whether a customer is held at its fair share of a class."""
        shares = self._shares.get(request_class)
        return shares is not None and shares.is_limited(customer)

    def above(self, now: float) -> list[ids.CustomerName]:
        """List the customers limited to their fair shares of any class."""
        return sorted(
            {
                customer
                for shares in self._shares.values()
                for customer in shares.above(now)
            }
        )

    def _of(self, request_class: classes.Class) -> CustomerShares:
        return self._shares.setdefault(request_class, CustomerShares())


def _update_excess(
    counts: _Counts,
    weight: float,
    level: float,
    bounds: _Bounds,
) -> int:
    """Limit or release a customer and return its excess.

    A limited customer is held at its fair share itself, not at the upper end of
    the dead band: its excess is above 0 whenever its usage is above the share.

    :param level: fair share for each unit of weight, in slot time.
    """
    if not weight:
        counts.limited = True
        return _LAST
    fair_seconds = weight * level
    used_seconds = min(
        counts.used_seconds, fair_seconds * _MAX_RATIO + bounds.slack_seconds
    )
    counts.used_seconds = used_seconds
    if used_seconds > fair_seconds + bounds.dead_band(fair_seconds):
        counts.limited = True
    elif used_seconds < fair_seconds * _RELEASE_RATIO:
        counts.limited = False
    if not counts.limited or used_seconds <= fair_seconds:
        return 0
    return 1 if used_seconds <= fair_seconds * _HIGH_RATIO else 2
