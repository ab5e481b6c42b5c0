"""Limits that a rule sets, counted for a whole failure domain.

The pool leader of a failure domain receives all slot requests of a rule there,
since a rule routes to one pool; so limits counted here hold over all entry
hosts of the domain. The limits come with each slot request. The counts are
kept by a key that the leader chooses: a rule, or a rule with a customer. Time
is a parameter; no clock is read.

References
==========
.. [1] J. Turner, "New directions in communications (or which way to the
   information age?)", IEEE Communications Magazine 24(10), 1986: the token
   bucket.
"""

import dataclasses
import enum
import typing

from geraniumweir.common import ids

_MS_PER_SECOND = 1000
_MAX_KEYS = 4096
Key = typing.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a rule; None stands for no limit.

    :ivar rate_per_s: requests per second; a burst of one second's worth may
        pass.
    :ivar max_running: requests on backend servers at a time.
    :ivar max_waiting: requests in the queue at a time.
    """

    rate_per_s: float | None = None
    max_running: int | None = None
    max_waiting: int | None = None


class Limit(enum.Enum):
    """Limit that rejected a request."""

    rate = 'rate'
    waiting = 'waiting'


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """Rejection of a request by a limit.

    :ivar retry_after_ms: when another attempt may succeed, 0 where unknown.
    """

    limit: Limit
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket with the size of one second's rate, at least one token.

    :ivar level: tokens at the time :attr:`filled_at`.

    >>> bucket = TokenBucket(rate=2, filled_at=0)
    >>> [bucket.take(now) for now in (0, 0, 0, 0.5)]
    [0, 0, 0.5, 0]
    """

    rate: float
    filled_at: float
    level: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Initialize with a full bucket."""
        self.level = self.size

    @property
    def size(self) -> float:
        """The largest number of tokens."""
        return max(self.rate, 1)

    def take(self, now: float) -> float:
        """Take a token if there is one.

        :param now: in seconds; an earlier time than before adds nothing.
        :returns: 0 if a token was taken, else the seconds until there is one.
        """
        passed = max(now - self.filled_at, 0)
        self.filled_at = max(now, self.filled_at)
        self.level = min(self.level + passed * self.rate, self.size)
        if self.level >= 1:
            self.level -= 1
            return 0
        return (1 - self.level) / self.rate


@dataclasses.dataclass(slots=True)
class _Count:
    running: int = 0
    waiting: int = 0
    bucket: TokenBucket | None = None


class Rates:
    """Rates of rules, by rule.

    A request counts once, at the first leader that gets it: its owner sends it
    without its rate to any other leader. A new leader starts with full
    buckets, so a change of leader lets through at most one second's worth
    more.

    >>> rates = Rates()
    >>> [rates.take('rule', 1, now) for now in (0, 0.25)]
    [0, 0.75]
    """

    def __init__(self) -> None:
        """Initialize with full buckets."""
        self._buckets: dict[Key, TokenBucket] = {}

    def take(self, key: Key, rate: float | None, now: float) -> float:
        """Count a request against a rate.

        :param rate: requests per second, or None where there is no limit.
        :param now: in seconds.
        :returns: 0 if it may go on, else the seconds until one may.
        """
        if rate is None:
            return 0
        found = self._buckets.get(key)
        # A changed rule starts with a full bucket of its new rate.
        if found is None or found.rate != rate:
            self._discard_full(now)
            found = TokenBucket(rate, now)
            self._buckets[key] = found
        return found.take(now)

    def _discard_full(self, now: float) -> None:
        if len(self._buckets) >= _MAX_KEYS:
            self._buckets = {
                key: bucket
                for key, bucket in self._buckets.items()
                if now - bucket.filled_at < 1
            }


class Limiter:
    """Counts of waiting and running requests, by key.

    Every method may be repeated: a request is identified by its id, so one
    that is adopted twice after a change of leader counts once.
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._counts: dict[Key, _Count] = {}
        self._waiting: dict[ids.RequestId, Key] = {}
        self._running: dict[ids.RequestId, Key] = {}

    def arrive(
        self,
        request_id: ids.RequestId,
        key: Key,
        limits: Limits,
        now: float,
    ) -> Breach | None:
        """Record a request in the queue, or return the limit that rejects it.

        The rate is charged here. A request that may run at once is not subject
        to the limit on waiting, so 0 means "run or reject".

        :param now: in seconds.
        """
        if request_id in self._waiting or request_id in self._running:
            return None
        count = self._count(key)
        if self._is_full(count, limits):
            return Breach(Limit.waiting)
        wait = _take(count, limits.rate_per_s, now)
        if wait:
            return Breach(Limit.rate, max(round(wait * _MS_PER_SECOND), 1))
        self._waiting[request_id] = key
        count.waiting += 1
        return None

    def may_run(self, key: Key, limits: Limits) -> bool:
        """Return whether one more request may go to a backend server."""
        if limits.max_running is None:
            return True
        count = self._counts.get(key)
        return count is None or count.running < limits.max_running

    def start(self, request_id: ids.RequestId, key: Key) -> None:
        """Count a request as running, also one adopted from another leader."""
        if request_id in self._running:
            return
        self._stop_waiting(request_id)
        self._running[request_id] = key
        self._count(key).running += 1

    def end(self, request_id: ids.RequestId) -> None:
        """Remove a request that was withdrawn, denied or released."""
        self._stop_waiting(request_id)
        key = self._running.pop(request_id, None)
        if key is not None:
            self._counts[key].running -= 1

    def counts(self, key: Key) -> tuple[int, int]:
        """Return how many requests run and wait."""
        count = self._counts.get(key, _Count())
        return count.running, count.waiting

    def _is_full(self, count: _Count, limits: Limits) -> bool:
        if limits.max_waiting is None or count.waiting < limits.max_waiting:
            return False
        # Where none may wait, one may pass through the queue in order to run.
        most = limits.max_running
        could_run = most is None or count.running + count.waiting < most
        return limits.max_waiting > 0 or count.waiting > 0 or not could_run

    def _stop_waiting(self, request_id: ids.RequestId) -> None:
        key = self._waiting.pop(request_id, None)
        if key is not None:
            self._counts[key].waiting -= 1

    def _count(self, key: Key) -> _Count:
        found = self._counts.get(key)
        if found is None:
            self._discard_idle()
            found = _Count()
            self._counts[key] = found
        return found

    def _discard_idle(self) -> None:
        if len(self._counts) < _MAX_KEYS:
            return
        busy = {
            key: count
            for key, count in self._counts.items()
            if count.running or count.waiting
        }
        self._counts = busy


def _take(count: _Count, rate: float | None, now: float) -> float:
    if rate is None:
        return 0
    # A changed rule starts with a full bucket of its new rate.
    if count.bucket is None or count.bucket.rate != rate:
        count.bucket = TokenBucket(rate, now)
    return count.bucket.take(now)
