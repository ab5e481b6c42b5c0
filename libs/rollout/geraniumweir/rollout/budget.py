"""Budget of requests for a new version before it is trusted.

The number of requests that a bad version may get from its order to its time
limit is bounded. Canaries use up to half of that bound, in proportion to the
requests of the pool so far; the other half is left for the ramp.
"""

import collections
import dataclasses
import math

from geraniumweir.rollout import orders

# Fraction of the bound on a bad version that canaries may use.
_CANARY_FRACTION = 0.5
# Fraction of the pool's requests for the new version during the ramp.
_RAMP_SHARE = 0.3
# A batch starts when the budget fills the slots of one server this many times.
_BATCH_SERVER_FILLS = 3.0
# A batch ends at the latest when the pool got this many times its requests,
# because some routes get requests too seldom to use their share.
_MAX_BATCH_DURATION_FACTOR = 30
# A batch is at most this fraction of the whole allowance of the canaries.
_MAX_BATCH_FRACTION = 0.5
# Fraction of a batch that is divided evenly among the routes, so that routes
# with few requests are tested too.
_EVEN_FRACTION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bound on the requests of a bad version until its time limit.

    :ivar share: fraction of all requests of the pool.
    :ivar slack: requests in addition to it.
    """

    share: float = 0.1
    slack: float = 50

    def allowed(self, requests: float) -> float:
        """Return the bound for a number of requests of the pool."""
        return self.share * requests + self.slack


@dataclasses.dataclass(slots=True)
class _Batch:
    """Canaries that are granted together, to test servers under load.

    :ivar size: number of requests over all routes.
    :ivar requests_at_start: requests of the pool before the batch.
    :ivar by_rule: requests granted from the batch by route.
    """

    size: float
    requests_at_start: int
    by_rule: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def is_over(self, requests: int) -> bool:
        """Return whether the batch is used up or has lasted too long.

        :param requests: requests of the pool so far.
        """
        consumed = self.by_rule.total() >= self.size
        return (
            consumed
            or requests - self.requests_at_start
            > self.size * _MAX_BATCH_DURATION_FACTOR
        )


@dataclasses.dataclass(slots=True)
class Budget:
    """Budget of one rollout order.

    :ivar bounds: bound on the requests of a bad version.
    :ivar consumed: requests that the new version may have got.
    :ivar requests: requests of the pool.
    :ivar batches: number of batches of canaries so far.

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
        """Return how many requests canaries may have got by now."""
        return self.bounds.allowed(self.requests) * _CANARY_FRACTION

    def has_canaries_left(self, reserved: int) -> bool:
        """Return whether the new version may get one more request.

        :param reserved: requests reserved for it in the replicated log.
        """
        return min(self.canary_allowance(), reserved) - self.consumed >= 1

    def record_grant(
        self, rule: str, phase: orders.Phase, *, new: bool
    ) -> None:
        """Record a request that was granted to a server of the pool.

        :param rule: route of the request.
        :param new: whether the server has the new version.
        """
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
        """Return whether the new version may get a request of a route.

        :param reserved: requests reserved for it in the replicated log.
        :param slots: slots of one of its servers.
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
        """Return the current batch of canaries, None without one.

        :param remaining: requests left in the budget.
        """
        if self._batch is not None and self._batch.is_over(self.requests):
            self._batch = None
        max_size = max(self.canary_allowance() * _MAX_BATCH_FRACTION, 1)
        size = min(slots * _BATCH_SERVER_FILLS, max_size)
        if self._batch is None and remaining >= size:
            self._batch = _Batch(size, self.requests)
            self.batches += 1
        return self._batch
