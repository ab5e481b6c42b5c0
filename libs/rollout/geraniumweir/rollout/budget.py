"""What a new version may get before it is trusted, and what it got.

A bad version may get a part of all requests from its order to its time limit.
Canaries spend half of that, in proportion to what the pool was asked for so
far, so that the other half is left for the moments in which its traffic grows.
"""

import collections
import dataclasses
import math

from geraniumweir.rollout import orders

# Of what a bad version may get, canaries take this part.
_CANARY_FRACTION = 0.5
# While the traffic grows, the new version gets this part of it.
_RAMP_SHARE = 0.3
# The budget is let through when it fills the slots of a server so many times.
_BATCH_SERVER_FILLS = 3.0
# It ends when the pool has got so many times its requests: some routes are
# asked for too seldom.
_MAX_BATCH_DURATION_FACTOR = 30
# But no more than this part of all that canaries may have got is saved up.
_MAX_BATCH_FRACTION = 0.5
# This part of it goes to all routes evenly: a rare one must show what it does.
_EVEN_FRACTION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What a bad version may get from its order to its time limit.

    :ivar share: part of all requests that reach the pool.
    :ivar slack: requests besides.
    """

    share: float = 0.1
    slack: float = 50

    def allowed(self, requests: float) -> float:
        """Give the requests that it may have got of so many."""
        return self.share * requests + self.slack


@dataclasses.dataclass(slots=True)
class _Batch:
    """Canaries that are let through together: a server must bear many at once.

    :ivar size: requests, all routes together.
    :ivar requests_at_start: requests that the pool had got when it began.
    """

    size: float
    requests_at_start: int
    by_rule: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def is_over(self, requests: int) -> bool:
        """Tell whether it is spent, or some routes are hardly asked for.

        :param requests: that the pool got.
        """
        consumed = self.by_rule.total() >= self.size
        return (
            consumed
            or requests - self.requests_at_start
            > self.size * _MAX_BATCH_DURATION_FACTOR
        )


@dataclasses.dataclass(slots=True)
class Budget:
    """Counts of one order.

    :ivar consumed: requests that the new version may have got.
    :ivar requests: that the pool got.
    :ivar batches: how often canaries were let through.

    >>> some = Budget(Bounds(), 0, 0)
    >>> some.canary_allowance()
    25.0
    >>> some.record_grant('r', orders.Phase.canary, new=False)
    >>> some.may_grant_new_version('r', orders.Phase.canary, 40, 6)
    True
    """

    bounds: Bounds
    consumed: int
    requests: int
    batches: int = 0
    _batch: _Batch | None = None
    _by_rule: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    _ramp_requests: int = 0
    _ramp_consumed: int = 0

    def canary_allowance(self) -> float:
        """Give the requests that canaries may have got by now."""
        return self.bounds.allowed(self.requests) * _CANARY_FRACTION

    def record_grant(
        self, rule: str, phase: orders.Phase, *, new: bool
    ) -> None:
        """Count a request that a server of the pool gets."""
        ramps = phase is orders.Phase.ramp
        self.requests += 1
        self._by_rule[rule] += 1
        self._ramp_requests += ramps
        if new:
            self.consumed += 1
            self._ramp_consumed += ramps
            if self._batch is not None:
                self._batch.by_rule[rule] += 1

    def may_grant_new_version(
        self,
        rule: str,
        phase: orders.Phase,
        reserved: int,
        slots: int,
    ) -> bool:
        """Tell whether the new version may get a request of a route.

        :param reserved: requests that the log says it may have got.
        :param slots: of one of its servers.
        """
        if phase is orders.Phase.ramp:
            return self._ramp_consumed <= self._ramp_requests * _RAMP_SHARE
        remaining = min(self.canary_allowance(), reserved) - self.consumed
        batch = self._next_batch(remaining, slots)
        if batch is None or remaining < 1:
            return False
        return batch.by_rule[rule] < math.ceil(
            batch.size * self._route_share(rule)
        )

    def _route_share(self, rule: str) -> float:
        request_share = self._by_rule[rule] / max(self._by_rule.total(), 1)
        even_share = 1 / max(len(self._by_rule), 1)
        return (
            request_share * (1 - _EVEN_FRACTION) + even_share * _EVEN_FRACTION
        )

    def _next_batch(self, remaining: float, slots: int) -> _Batch | None:
        """Give the pulse that canaries belong to now, if there is one.

        :param remaining: requests of the budget.
        """
        if self._batch is not None and self._batch.is_over(self.requests):
            self._batch = None
        max_size = max(self.canary_allowance() * _MAX_BATCH_FRACTION, 1)
        size = min(slots * _BATCH_SERVER_FILLS, max_size)
        if self._batch is None and remaining >= size:
            self._batch = _Batch(size, self.requests)
            self.batches += 1
        return self._batch
