"""Learns how many requests a backend server runs well at a time.

Engines admit in arrival order and know no tiers, so what waits inside one
can't be overtaken: the limit keeps their own queues near empty. It falls by a
part when answers are far slower than predicted for as many as ran beside
them, or when the engine reports a queue of its own again and again, and it
comes back with good answers [1]_. Comparing with what is expected without
queueing is the idea of delay-based congestion control [2]_; the expectation
is the learnt speed of all servers of the kind, because the least latency ever
seen is that of a cached prompt on an empty engine, against which all else is
slow. A part of the announced slots always stays, so that wrong evidence
can't close a server.

References
==========
.. [1] D. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
   for Congestion Avoidance in Computer Networks", Computer Networks and ISDN
   Systems 17, 1989.
.. [2] L. Brakmo, L. Peterson, "TCP Vegas: End to End Congestion Avoidance on
   a Global Internet", IEEE JSAC 13(8), 1995.
"""

import dataclasses

_DECREASE_FACTOR = 0.85
_INCREASE_STEP = 0.5
_SLOW_FACTOR = 4.0
_MIN_SLOW_SECONDS = 1.0
_MIN_SLOTS_RATIO = 0.5
_MIN_LOWER_SECONDS = 1.0
_MAX_SLOW_IN_ROW = 3
_MAX_QUEUED_IN_ROW = 2
_MAX_REPORT_AGE_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class Limit:
    """A server's concurrency limit.

    :ivar slots: the most that the server announced.
    :ivar current: the learnt limit.
    :ivar rounded: the same as a number of requests.
    """

    slots: int
    current: float = 0
    rounded: int = 1
    slow_in_row: int = 0
    queued_in_row: int = 0
    lowered_at: float = float('-inf')

    def __post_init__(self) -> None:
        """Trust the announcement first."""
        self._set(self.current or float(self.slots))

    def observe(self, seconds: float, expected: float, now: float) -> None:
        """Learn from an answer.

        :param seconds: that a first token or the tokens after it took.
        :param expected: seconds predicted for servers of this kind.

        >>> limit = Limit(16)
        >>> for _ in range(3):
        ...     limit.observe(9, 1, now=0)
        >>> limit.rounded
        13
        """
        if seconds > max(expected * _SLOW_FACTOR, _MIN_SLOW_SECONDS):
            self.slow_in_row += 1
            if self.slow_in_row >= _MAX_SLOW_IN_ROW:
                self._lower(now)
            return
        self.slow_in_row = 0
        self._set(self.current + _INCREASE_STEP)

    def report(self, waiting: int, age: float, now: float) -> None:
        """Learn from an engine's own queue.

        One report may only show what came in the middle of a step.

        :param waiting: requests that wait inside the engine.
        :param age: seconds since it counted them.
        """
        if age > _MAX_REPORT_AGE_SECONDS:
            return
        self.queued_in_row = self.queued_in_row + 1 if waiting else 0
        if self.queued_in_row >= _MAX_QUEUED_IN_ROW:
            self._lower(now)

    def _lower(self, now: float) -> None:
        # One decrease shows its effect before the next is made.
        if now - self.lowered_at < _MIN_LOWER_SECONDS:
            return
        self.lowered_at = now
        self.slow_in_row = 0
        self._set(self.current * _DECREASE_FACTOR)

    def _set(self, current: float) -> None:
        least = max(1.0, self.slots * _MIN_SLOTS_RATIO)
        self.current = max(least, min(current, float(self.slots)))
        self.rounded = int(self.current)
