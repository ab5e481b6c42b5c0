"""Division of the request rate limits of backend servers among hosts.

See Also
========
geraniumweir.scheduling.notices
"""

import dataclasses

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
