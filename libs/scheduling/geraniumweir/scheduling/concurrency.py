"""Estimate of how many requests a backend server runs well at a time.

Engines admit in order of arrival and have no tiers, so a request that waits
inside an engine cannot be overtaken: the limit keeps the engines' own queues
near empty. It is multiplied by a factor below 1 when answers are far slower
than predicted for the number of concurrent requests, or when the engine
reports a queue of its own several times in a row, and it grows with each good
answer [1]_. Comparing with the duration expected without queueing is the idea
of delay-based congestion control [2]_. The expected duration is the estimated
speed of all servers of the kind: the least latency ever seen is that of a
cached prompt on an empty engine, against which everything else is slow. The
limit keeps a minimum fraction of the announced slots, so that wrong evidence
cannot close a server.

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
# Evidence has to repeat before the limit is lowered.
_MAX_SLOW_IN_ROW = 3
_MAX_QUEUED_IN_ROW = 2
_MAX_REPORT_AGE_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class Limit:
    """Concurrency limit of a server.

    :ivar slots: the number of slots that the server announced.
    :ivar current: the estimated limit.
    :ivar rounded: the estimated limit as a whole number of requests.
    """

    slots: int
    current: float = 0
    rounded: int = 1
    slow_in_row: int = 0
    queued_in_row: int = 0
    lowered_at: float = float('-inf')

    def __post_init__(self) -> None:
        """Initialize with the announced slots."""
        self._set(self.current or float(self.slots))

    def observe(self, seconds: float, expected: float, now: float) -> None:
        """Adjust the limit by the duration of an answer.

        :param seconds: duration of a prefill or of the tokens after it.
        :param expected: duration predicted for servers of this kind, in
            seconds.

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
        """Adjust the limit by an engine's own queue.

        A single report may only show requests that arrived in the middle of a
        step.

        :param waiting: requests that wait inside the engine.
        :param age: seconds since they were counted.
        """
        if age > _MAX_REPORT_AGE_SECONDS:
            return
        self.queued_in_row = self.queued_in_row + 1 if waiting else 0
        if self.queued_in_row >= _MAX_QUEUED_IN_ROW:
            self._lower(now)

    def _lower(self, now: float) -> None:
        # The effect of a decrease has to show before the next one.
        if now - self.lowered_at < _MIN_LOWER_SECONDS:
            return
        self.lowered_at = now
        self.slow_in_row = 0
        self._set(self.current * _DECREASE_FACTOR)

    def _set(self, current: float) -> None:
        least = max(1.0, self.slots * _MIN_SLOTS_RATIO)
        self.current = max(least, min(current, float(self.slots)))
        self.rounded = int(self.current)
