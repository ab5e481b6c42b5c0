"""Notices backend servers that are down, full, hang or fail.

Reports and health checks say little of it: a server can be silent to control
hosts and work, or answer checks and hang. So a server is judged by its own
answers. One that can't be reached, or breaks off, rests for a moment that
doubles with each repeat, then gets one request at a time until one ends well.
One that turns requests away is full: it gets fewer at a time, and more again
with each answer, as a congestion window is cut and grows [1]_.

References
==========
.. [1] D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
   for Congestion Avoidance in Computer Networks", 1989.
"""

import dataclasses

# The first rest, in seconds: a connection that was lost on the way is no
# reason to leave a server out for long; a restart takes seconds.
_MIN_COOLDOWN_SECONDS = 0.25
# A server that came back is tried again within this, in seconds.
_MAX_COOLDOWN_SECONDS = 4.0
_COOLDOWN_GROWTH = 2
# Requests that break off on a sound server are rare; two in a row aren't.
_TRUNCATED_IN_ROW = 2
# One connection that fails may be the path's fault or its host's.
_UNREACHABLE_IN_ROW = 2
# A server that is full keeps this part of what it had.
_LIMIT_CUT_FACTOR = 0.7
# One that turns away all that it gets takes a few cuts to be left alone.
_MIN_LIMIT = 1
# Share of answers that were failures of the server itself, by a decaying
# mean over about ten answers.
_FAILURE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Condition:
    """What is thought of one server.

    :ivar cooldown_until: end of its rest, in seconds.
    :ivar cooldown_started_at: when its last rest began; what was sent before says
        nothing about it any more.
    :ivar trusted: it may get as many requests as it has slots.
    :ivar failure_ratio: share of answers that were failures, lately.
    :ivar concurrency_limit: requests that it takes at a time, where it was full lately.
    """

    cooldown_until: float = float('-inf')
    cooldown_started_at: float = float('-inf')
    trusted: bool = True
    failure_ratio: float = 0
    concurrency_limit: float = float('inf')
    _cooldown_seconds: float = _MIN_COOLDOWN_SECONDS
    _truncated_in_row: int = 0
    _unreachable_in_row: int = 0
    _limit_cut_at: float = float('-inf')

    def max_requests(self, slots: int, now: float) -> int:
        """Give how many requests it may run.

        >>> tired = Condition()
        >>> tired.record_hang(10)
        True
        >>> tired.max_requests(8, 10.1), tired.max_requests(8, 11)
        (0, 1)
        >>> tired.record_success()
        >>> tired.max_requests(8, 11)
        8
        """
        if now < self.cooldown_until:
            return 0
        return self._allowed(slots) if self.trusted else 1

    def expected_requests(self, slots: int, now: float) -> int:
        """Give how many requests it is thought to run before long.

        A first short rest is no reason to send callers away.
        """
        if (
            now - self.cooldown_started_at
            < _MIN_COOLDOWN_SECONDS * _COOLDOWN_GROWTH
        ):
            return self._allowed(slots)
        return max(self.max_requests(slots, now), 1)

    def record_hang(self, now: float) -> bool:
        """Take that nothing came of all that it was sent.

        :returns: whether a rest begins.
        """
        return self._start_cooldown(now)

    def record_unreachable(self, now: float) -> bool:
        """Take that it couldn't be reached.

        :returns: whether a rest begins.
        """
        self._unreachable_in_row += 1
        if self.trusted and self._unreachable_in_row < _UNREACHABLE_IN_ROW:
            return False
        return self._start_cooldown(now)

    def record_rejection(
        self, running: int, granted_at: float, now: float
    ) -> bool:
        """Take that it was full.

        What was granted before the last cut says nothing of the present
        limit.

        :param running: requests that it has besides.
        :param granted_at: when the one that it turned away was, in seconds.
        :returns: whether a rest begins.
        """
        if granted_at < self._limit_cut_at:
            return False
        self._limit_cut_at = now
        if running < _MIN_LIMIT or not self.trusted:
            return self._start_cooldown(now)
        self.concurrency_limit = max(
            min(self.concurrency_limit, running) * _LIMIT_CUT_FACTOR, _MIN_LIMIT
        )
        return False

    def record_truncation(self, now: float) -> bool:
        """Take that an answer broke off or never came.

        :returns: whether a rest begins.
        """
        self._truncated_in_row += 1
        return (
            self._truncated_in_row >= _TRUNCATED_IN_ROW
            and self._start_cooldown(now)
        )

    def record_answer(self, *, well: bool) -> None:
        """Take a whole answer; it may be a failure of its application."""
        difference = float(not well) - self.failure_ratio
        self.failure_ratio += difference * _FAILURE_WEIGHT
        self.concurrency_limit += 1 / self.concurrency_limit
        self.record_success()

    def record_success(self) -> None:
        """Take a sign that it works."""
        self.trusted = True
        self._truncated_in_row = 0
        self._unreachable_in_row = 0
        self._cooldown_seconds = _MIN_COOLDOWN_SECONDS
        self.cooldown_until = float('-inf')

    def _allowed(self, slots: int) -> int:
        return int(min(slots, max(self.concurrency_limit, _MIN_LIMIT)))

    def _start_cooldown(self, now: float) -> bool:
        if now < self.cooldown_until:
            return False
        self.trusted = False
        self.cooldown_started_at = now
        self.cooldown_until = now + self._cooldown_seconds
        self._cooldown_seconds = min(
            self._cooldown_seconds * _COOLDOWN_GROWTH, _MAX_COOLDOWN_SECONDS
        )
        return True
