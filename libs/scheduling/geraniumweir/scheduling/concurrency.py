"""Learns how many requests a backend server runs well at a time.

Engines admit in arrival order and know no tiers, so what waits inside one
can't be overtaken: the limit keeps their own queues near empty. It falls by a
part when answers are far slower than the best that the server has shown, and
grows by one for a window of good answers [1]_; comparing with the least
latency seen is the idea of delay-based congestion control [2]_.

References
==========
.. [1] D. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
   for Congestion Avoidance in Computer Networks", Computer Networks and ISDN
   Systems 17, 1989.
.. [2] L. Brakmo, L. Peterson, "TCP Vegas: End to End Congestion Avoidance on
   a Global Internet", IEEE JSAC 13(8), 1995.
"""

import dataclasses

_DECREASE = 0.85
_TOLERANCE = 4.0
_DRIFT = 1.01
_MIN_GAP = 1.0
_PATIENCE = 2
_FRESH_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class Baseline:
    """The least seconds by token seen, which drifts up slowly."""

    least: float = 0

    def slowness(self, sample: float) -> float:
        """Compare a sample with the least and learn from it.

        >>> baseline = Baseline()
        >>> baseline.slowness(0.5)
        1.0
        >>> round(baseline.slowness(1.0), 1)
        2.0
        """
        if self.least == 0 or sample < self.least:
            self.least = sample
        else:
            self.least = min(self.least * _DRIFT, sample)
        return sample / self.least if self.least else 1.0


@dataclasses.dataclass(slots=True)
class Limit:
    """A server's concurrency limit.

    :ivar slots: the most that the server announced.
    :ivar current: the learnt limit.
    :ivar whole: the same as a number of requests.
    """

    slots: int
    current: float = 0
    prefill: Baseline = dataclasses.field(default_factory=Baseline)
    decode: Baseline = dataclasses.field(default_factory=Baseline)
    whole: int = 1
    slow_in_row: int = 0
    lowered_at: float = float('-inf')

    def __post_init__(self) -> None:
        """Trust the announcement first."""
        self._set(self.current or float(self.slots))

    def observe(self, slowness: float, running: int, now: float) -> None:
        """Learn from an answer.

        :param slowness: of :meth:`Baseline.slowness`.
        :param running: requests that ran beside it, itself included.
        """
        if slowness > _TOLERANCE:
            self.slow_in_row += 1
            if self.slow_in_row >= _PATIENCE:
                self._lower(running, now)
            return
        self.slow_in_row = 0
        if running + 1 >= self.whole:
            self._set(self.current + 1 / max(self.current, 1))

    def report(self, waiting: int, age: float, now: float) -> None:
        """Learn from an engine's own queue.

        :param waiting: requests that wait inside the engine.
        :param age: seconds since it counted them.
        """
        if waiting and age <= _FRESH_SECONDS:
            self._lower(self.whole, now)

    def _lower(self, running: int, now: float) -> None:
        # One decrease shows its effect before the next is made.
        if now - self.lowered_at < _MIN_GAP:
            return
        self.lowered_at = now
        self.slow_in_row = 0
        self._set(min(self.current, float(running)) * _DECREASE)

    def _set(self, current: float) -> None:
        self.current = max(1.0, min(current, float(self.slots)))
        self.whole = int(self.current)
