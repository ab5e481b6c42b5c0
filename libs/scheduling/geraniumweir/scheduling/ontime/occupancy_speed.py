"""Speed of a server by how many requests run there, and its slow spells.

Load: engines that slow down as they fill up, and engines that are slow for some
tenths of a second. The time for an output token is a line over the number of
running requests, fitted by least squares over decaying sums. Until a server's
own samples are spread over different numbers, its slope is that of the pool,
which is kept relative to each server's mean: servers differ in speed, and the
slow ones run fewer requests.
"""

import dataclasses

# Each further sample reduces the weight of older ones by this factor, as for
# first tokens.
_DECAY = 0.97
# Sum of squared deviations of the number of running requests from its mean at
# which a server's own slope counts as much as that of the pool.
_PRIOR_SPREAD = 8.0
# A predicted time is at least this fraction of the mean, whatever the slope.
_MIN_RATIO = 0.25
# A sample shows a slow spell if it took longer than predicted by this factor
# and this time; a jitter of milliseconds is no spell.
_SLOW_FACTOR = 2.0
_MIN_EXCESS_SECONDS = 0.02
# Upper bound of how much slower a server is predicted: one sample may have
# waited for a lost packet.
_MAX_FACTOR = 4.0
# Spells last this long; samples from before say nothing about the present.
SPELL_SECONDS = 0.6


@dataclasses.dataclass(slots=True)
class RunningCount:
    """Number of running requests of a server, summed over time.

    :ivar request_seconds: sum of the run times of all requests.
    :ivar counted_at: time up to which it is summed, in seconds.
    """

    request_seconds: float = 0
    counted_at: float = 0

    def advance(self, running: int, now: float) -> None:
        """Add the time since the last call.

        :param running: number of requests that ran since then.
        """
        self.request_seconds += running * (now - self.counted_at)
        self.counted_at = now


@dataclasses.dataclass(slots=True)
class DecodeLine:
    """Seconds for an output token by the number of running requests.

    >>> line = DecodeLine()
    >>> for running in (1, 3, 6) * 30:
    ...     line.add(running, 0.002 + running * 0.001)
    >>> round(line.predict(5, 0), 3)
    0.007
    """

    weight: float = 0
    sum_x: float = 0
    sum_y: float = 0
    sum_xx: float = 0
    sum_xy: float = 0

    def add(self, running: float, seconds: float) -> None:
        """Add a sample."""
        self.weight = self.weight * _DECAY + 1
        self.sum_x = self.sum_x * _DECAY + running
        self.sum_y = self.sum_y * _DECAY + seconds
        self.sum_xx = self.sum_xx * _DECAY + running**2
        self.sum_xy = self.sum_xy * _DECAY + running * seconds

    def mean_running(self) -> float:
        """Return the mean number of running requests of the samples."""
        return self.sum_x / self.weight

    def mean_seconds(self) -> float:
        """Return the mean seconds for an output token."""
        return self.sum_y / self.weight

    def predict(
        self,
        running: float,
        relative_slope: float,
        *,
        mixed: bool = False,
    ) -> float:
        """Predict the seconds for an output token; needs a sample.

        :param relative_slope: increase with each request in the pool, as a
            fraction of the mean.
        :param mixed: whether the samples are of servers of different speeds, so
            that they show no slope.
        """
        mean = self.mean_seconds()
        slope = relative_slope * mean
        if not mixed:
            slope = self._own_slope(slope)
        # A steeper line would be below zero for an empty server.
        slope = min(max(slope, 0), mean / max(self.mean_running(), 1))
        predicted = mean + slope * (running - self.mean_running())
        return max(predicted, mean * _MIN_RATIO)

    def _own_slope(self, prior: float) -> float:
        spread = self.sum_xx - self.sum_x**2 / self.weight
        product = self.sum_xy - self.sum_x * self.sum_y / self.weight
        return (product + _PRIOR_SPREAD * prior) / (
            max(spread, 0) + _PRIOR_SPREAD
        )


@dataclasses.dataclass(slots=True)
class PoolSlope:
    """Relative increase of the time for an output token with each request.

    Samples are compared with the mean of their own server.
    """

    product: float = 0
    spread: float = 0

    def add(self, line: DecodeLine, running: float, seconds: float) -> None:
        """Add a sample of a server.

        :param line: of the server, without this sample.
        """
        if not line.weight or not line.sum_y:
            return
        difference = running - line.mean_running()
        ratio = seconds / line.mean_seconds() - 1
        self.product = self.product * _DECAY + difference * ratio
        self.spread = self.spread * _DECAY + difference**2

    def get(self) -> float:
        """Return the slope; it starts at 0."""
        return max(self.product / (self.spread + _PRIOR_SPREAD), 0)


@dataclasses.dataclass(slots=True)
class Spell:
    """Slow spells of a server, as its last two samples show them.

    >>> some = Spell()
    >>> some.add(0.25, 0.1, 10)
    >>> some.add(0.3, 0.1, 10.2)
    >>> some.factor(10.3), some.factor(10.7)
    (2.5, 1)
    """

    _last: tuple[float, float] = (1, 0)
    _before: tuple[float, float] = (1, 0)

    def add(self, seconds: float, predicted: float, now: float) -> None:
        """Add a sample.

        :param seconds: that it took.
        :param predicted: that it takes out of a spell.
        """
        ratio: float = 1
        if seconds - predicted > _MIN_EXCESS_SECONDS:
            ratio = seconds / max(predicted, _MIN_EXCESS_SECONDS)
        self._before = self._last
        self._last = (ratio, now)

    def factor(self, now: float) -> float:
        """Return how many times as long the server takes now."""
        ratio = min(self._last[0], self._before[0])
        if ratio <= _SLOW_FACTOR or now - self._before[1] > SPELL_SECONDS:
            return 1
        return min(ratio, _MAX_FACTOR)
