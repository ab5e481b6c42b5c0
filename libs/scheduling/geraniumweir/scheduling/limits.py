"""Limits that a rule sets, counted where the whole failure domain asks.

The pool leader of a failure domain sees every ask of a rule there, since a
rule routes to one pool; so limits counted here hold over all entry hosts of
the domain. The numbers come with each ask, the counts are kept by a key of
the leader's choice, a rule or a rule with a customer. Time is given, never
read.

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

_MS = 1000
_MAX_KEYS = 4096
Key = typing.Hashable


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a rule allows; None allows all.

    :ivar rate_per_s: asks a second; a second's worth may come at once.
    :ivar max_running: asks on backend servers at a time.
    :ivar max_waiting: asks in the queue at a time.
    """

    rate_per_s: float | None = None
    max_running: int | None = None
    max_waiting: int | None = None


class Limit(enum.Enum):
    """Which limit kept an ask out."""

    rate = 'rate'
    waiting = 'waiting'


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """An ask that a limit keeps out.

    :ivar retry_after_ms: when asking again may help, 0 where unknown.
    """

    limit: Limit
    retry_after_ms: int = 0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Lets a rate through, with a second's worth at once and at least one.

    :ivar level: tokens at the time :attr:`filled_at`.

    >>> bucket = TokenBucket(rate=2, filled_at=0)
    >>> [bucket.take(now) for now in (0, 0, 0, 0.5)]
    [0, 0, 0.5, 0]
    """

    rate: float
    filled_at: float
    level: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Start full."""
        self.level = self.size

    @property
    def size(self) -> float:
        """Return the most tokens there can be."""
        return max(self.rate, 1)

    def take(self, now: float) -> float:
        """Take a token.

        :param now: in seconds; an earlier time than before adds nothing.
        :returns: 0 when taken, else the seconds until there will be one.
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
    """Counts asks against the rates of rules, by rule.

    An ask counts once, where it is asked first: its owner sends it without
    its rate to any other leader. A new leader starts with full buckets, so
    that a change of leader lets through at most one second's worth more.

    >>> rates = Rates()
    >>> [rates.take('rule', 1, now) for now in (0, 0.25)]
    [0, 0.75]
    """

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets: dict[Key, TokenBucket] = {}

    def take(self, key: Key, rate: float | None, now: float) -> float:
        """Count an ask.

        :param rate: asks a second, or None where there is no limit.
        :param now: in seconds.
        :returns: 0 when it may go on, else the seconds until one may.
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
    """Counts what waits and runs, by key.

    Every call is safe to repeat: an ask is known by its request id, so that
    one adopted twice after a change of leader counts once.
    """

    def __init__(self) -> None:
        """Start with nothing waiting or running."""
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
        """Let an ask into the queue, or tell which limit keeps it out.

        The rate is charged here; an ask that may run at once isn't held to
        the limit on waiting, so that 0 means "run or refuse".

        :param now: in seconds.
        """
        if request_id in self._waiting or request_id in self._running:
            return None
        count = self._count(key)
        if self._is_full(count, limits):
            return Breach(Limit.waiting)
        wait = _take(count, limits.rate_per_s, now)
        if wait:
            return Breach(Limit.rate, max(round(wait * _MS), 1))
        self._waiting[request_id] = key
        count.waiting += 1
        return None

    def may_run(self, key: Key, limits: Limits) -> bool:
        """Return whether one more ask may go to a backend server."""
        if limits.max_running is None:
            return True
        count = self._counts.get(key)
        return count is None or count.running < limits.max_running

    def start(self, request_id: ids.RequestId, key: Key) -> None:
        """Count an ask as running, also one adopted from another leader."""
        if request_id in self._running:
            return
        self._stop_waiting(request_id)
        self._running[request_id] = key
        self._count(key).running += 1

    def end(self, request_id: ids.RequestId) -> None:
        """Forget an ask that was withdrawn, denied or released."""
        self._stop_waiting(request_id)
        key = self._running.pop(request_id, None)
        if key is not None:
            self._counts[key].running -= 1

    def counts(self, key: Key) -> tuple[int, int]:
        """Return how many asks run and wait."""
        count = self._counts.get(key, _Count())
        return count.running, count.waiting

    def _is_full(self, count: _Count, limits: Limits) -> bool:
        if limits.max_waiting is None or count.waiting < limits.max_waiting:
            return False
        # With none allowed to wait, one may pass through the queue to run.
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
