"""How hosts keep together to the request rates that backend servers name.

See Also
========
geraniumweir.scheduling.notices
"""

import dataclasses

# Where a server takes none at all, one request tries so often whether it still
# says so, by the second: no other answer of it would tell.
_PROBE_PER_SECOND = 0.1
# A host whose part of a limit comes to less than a request in so long, in
# seconds, takes part by lot: what each of hundreds saves up for its first
# request would together be many times the limit.
_DRAW_PERIOD_SECONDS = 4.0
# Of the limit so much goes to those that the lot falls on: how many they are is
# by chance, and each has saved up a request.
_DRAW_FRACTION = 0.5
# So much of a limit may be saved up for requests that come at once, in seconds.
_BURST_SECONDS = 0.5
# Tokens are sums of fractions; a whole one may come short by so much.
_ROUNDING = 1e-6


def share_of_limit(per_second: float, share: float, draw: float) -> float:
    """Give the requests a second that one host may grant of a limit.

    :param share: the host's part of all requests.
    :param draw: drawn once for this host and server, from 0 to 1.

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
    """Spaces out the requests that a server gets, as a token bucket does.

    It starts empty: what others granted a moment before isn't known.

    >>> one = Throttle(2, at=10)
    >>> one.ready(10), one.ready(10.5), one.ready(99)
    (0, 1, 1)
    >>> one.take()
    >>> one.ready(99)
    0

    :ivar per_second: requests that may be granted.
    :ivar at: when the tokens were last counted, in seconds.
    """

    per_second: float
    at: float
    _tokens: float = 0

    def ready(self, now: float) -> int:
        """Give how many requests may be granted now."""
        max_tokens = max(self.per_second * _BURST_SECONDS, 1)
        gained = (now - self.at) * self.per_second
        self._tokens = min(self._tokens + gained, max_tokens)
        self.at = now
        return max(int(self._tokens + _ROUNDING), 0)

    def change(self, per_second: float, now: float) -> None:
        """Grant by another rate from now on."""
        if per_second != self.per_second:
            self.ready(now)
            self.per_second = per_second

    def take(self) -> None:
        """Count a request that was granted."""
        self._tokens -= 1
