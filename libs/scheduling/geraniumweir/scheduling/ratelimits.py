"""Division of the limits that backend servers set among hosts.

See Also
========
geraniumweir.scheduling.notices
"""

import collections
import dataclasses
import math

# Rate of the requests that probe a server with a limit of zero: without any
# request there is no answer that could lift the limit.
_PROBE_PER_SECOND = 0.1
# A host whose share of a limit is less than one request in this time gets its
# share at random: the tokens that hundreds of hosts save up for their first
# request would add up to many times the limit.
_DRAW_PERIOD_SECONDS = 4.0
# Fraction of the limit that goes to the hosts chosen at random: their number
# varies, and each has saved up the tokens of a request.
_DRAW_FRACTION = 0.5
# Time for which tokens accumulate, for requests that arrive at once.
_BURST_SECONDS = 0.5
# Servers count rejections over a second; releases that report them are delayed
# by a few milliseconds.
_REJECTION_WINDOW_SECONDS = 1.1
# Tokens are sums of fractions; a whole token may fall short by this much.
_ROUNDING = 1e-6


def share_of_limit(per_second: float, share: float, draw: float) -> float:
    """Return the requests per second that one host may grant of a limit.

    :param share: the host's share of all requests.
    :param draw: random number from 0 to 1, constant for host and server.

    >>> share_of_limit(2, 1, 0.9), share_of_limit(2, 0.5, 0.9)
    (2, 1.0)
    >>> share_of_limit(1, 0.01, 0.9), share_of_limit(1, 0.01, 0.01)
    (0, 0.25)
    """
    host_rate = max(per_second, _PROBE_PER_SECOND) * share
    if share >= 1 or host_rate * _DRAW_PERIOD_SECONDS >= 1:
        return host_rate
    chance = host_rate * _DRAW_PERIOD_SECONDS * _DRAW_FRACTION
    return 1 / _DRAW_PERIOD_SECONDS if draw < chance else 0


@dataclasses.dataclass(slots=True)
class Throttle:
    """Token bucket that limits the rate of requests to a server.

    It starts empty, as what others granted just before is unknown.

    >>> one = Throttle(2, at=10)
    >>> one.ready(10), one.ready(10.5), one.ready(99)
    (0, 1, 1)
    >>> one.take()
    >>> one.ready(99)
    0

    :ivar per_second: requests that may be granted per second.
    :ivar at: time in seconds when the tokens were last updated.
    """

    per_second: float
    at: float
    _tokens: float = 0

    def ready(self, now: float) -> int:
        """Return how many requests may be granted now."""
        max_tokens = max(self.per_second * _BURST_SECONDS, 1)
        gained = (now - self.at) * self.per_second
        self._tokens = min(self._tokens + gained, max_tokens)
        self.at = now
        return max(int(self._tokens + _ROUNDING), 0)

    def change(self, per_second: float, now: float) -> None:
        """Change the rate at a time in seconds."""
        if per_second != self.per_second:
            self.ready(now)
            self.per_second = per_second

    def take(self) -> None:
        """Count a request that was granted."""
        self._tokens -= 1


def share_of_rejections(per_second: float, share: float, draw: float) -> int:
    """Return the rejections per second that one host may cause of a limit.

    Of a limit of zero, all hosts together may still have one request on its
    way: without any there is no answer that could lift the limit.

    :param share: the host's share of all requests.
    :param draw: random number from 0 to 1, constant for host and server.

    >>> share_of_rejections(5, 1, 0.5), share_of_rejections(5, 0.5, 0.9)
    (5, 2)
    >>> share_of_rejections(5, 0.01, 0.9), share_of_rejections(5, 0.01, 0.01)
    (0, 1)
    >>> share_of_rejections(0, 1, 0.5), share_of_rejections(0, 0.01, 0.5)
    (1, 0)
    """
    part = max(per_second, 1) * min(share, 1)
    whole = math.floor(part)
    return whole + (draw < part - whole)


@dataclasses.dataclass(slots=True)
class RejectionBudget:
    """Rejections that may still be caused at a server within a second.

    Any request that the server didn't begin to answer may be rejected yet.

    >>> one = RejectionBudget(3)
    >>> one.record(10)
    >>> one.allowed(1, 10.5), one.allowed(2, 10.5), one.allowed(1, 11.2)
    (1, 0, 2)

    :ivar per_second: rejections that may be caused here.
    """

    per_second: int
    _rejected_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def record(self, now: float) -> None:
        """Record a rejection, at a time in seconds."""
        self._rejected_at.append(now)

    def allowed(self, unanswered: int, now: float) -> int:
        """Return how many more requests may be granted.

        :param unanswered: requests that may be rejected yet.
        """
        oldest = now - _REJECTION_WINDOW_SECONDS
        while self._rejected_at and self._rejected_at[0] < oldest:
            self._rejected_at.popleft()
        return max(self.per_second - unanswered - len(self._rejected_at), 0)
