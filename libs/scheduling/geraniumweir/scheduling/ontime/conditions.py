"""Health of a backend server, as its own responses show it.

Reports and health checks don't suffice: a server can be unreachable for control
hosts and work, or answer checks and hang. So a server is judged by its own
responses. One that can't be reached, or closes connections early, gets nothing
during a cooldown that doubles with each repeat, then one request at a time
until one succeeds. One that rejects requests is full: its concurrency limit is
cut and grows again with each response, like a congestion window [1]_.

References
==========
.. [1] D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms
   for Congestion Avoidance in Computer Networks", 1989.
"""

import dataclasses

# First cooldown: a connection that was lost on the path is no reason to leave a
# server out for long, while a restart takes seconds.
_MIN_COOLDOWN_SECONDS = 0.25
# A server that came back is probed within this time.
_MAX_COOLDOWN_SECONDS = 4.0
_COOLDOWN_GROWTH = 2
# Incomplete responses of a sound server are rare; two in a row show a fault.
_TRUNCATED_IN_ROW = 2
# One connection that fails may be due to the path or the entry host.
_UNREACHABLE_IN_ROW = 2
# A full server keeps this fraction of its concurrency.
_LIMIT_CUT_FACTOR = 0.7
# A server that rejects everything needs a few cuts until its cooldown starts.
_MIN_LIMIT = 1
# Weight of one response in the failure ratio: a decaying mean over about ten.
_FAILURE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Condition:
    """Health of one server.

    :ivar cooldown_until: end of its cooldown, in seconds.
    :ivar cooldown_started_at: start of its last cooldown, in seconds; what was
        sent before says nothing about it any more.
    :ivar trusted: whether it may get as many requests as it has slots.
    :ivar failure_ratio: fraction of recent responses that were failures.
    :ivar concurrency_limit: concurrent requests that it takes, where it was
        full lately.
    :ivar queues: whether it queues requests beyond its slots, as far as known.
    """

    cooldown_until: float = float('-inf')
    cooldown_started_at: float = float('-inf')
    trusted: bool = True
    failure_ratio: float = 0
    concurrency_limit: float = float('inf')
    queues: bool = True
    _cooldown_seconds: float = _MIN_COOLDOWN_SECONDS
    _truncated_in_row: int = 0
    _unreachable_in_row: int = 0
    _limit_cut_at: float = float('-inf')

    def max_requests(self, slots: int, now: float, max_queued: int = 0) -> int:
        """Return the number of requests that it may get now.

        :param max_queued: requests beyond its slots that it may queue if it is
            not known to be full sooner.

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
        return self._allowed(slots, max_queued) if self.trusted else 1

    def expected_requests(
        self, slots: int, now: float, max_queued: int = 0
    ) -> int:
        """Return the number of requests that it is expected to get soon.

        A first short cooldown is no reason to refuse callers.
        """
        if (
            now - self.cooldown_started_at
            < _MIN_COOLDOWN_SECONDS * _COOLDOWN_GROWTH
        ):
            return self._allowed(slots, max_queued)
        return max(self.max_requests(slots, now, max_queued), 1)

    def record_hang(self, now: float) -> bool:
        """Record that no response came to any request it was sent.

        :returns: whether a cooldown starts.
        """
        return self._start_cooldown(now)

    def record_unreachable(self, now: float) -> bool:
        """Record a connection that failed.

        :returns: whether a cooldown starts.
        """
        self._unreachable_in_row += 1
        if self.trusted and self._unreachable_in_row < _UNREACHABLE_IN_ROW:
            return False
        return self._start_cooldown(now)

    def record_rejection(
        self, running: int, granted_at: float, now: float, slots: int
    ) -> bool:
        """Record that it rejected a request as it was full.

        Rejections of requests granted before the last cut don't show that the
        present limit is too high. With all of its slots in use, it only shows
        that it queues nothing.

        :param running: number of its other requests.
        :param granted_at: when the rejected request was granted, in seconds.
        :returns: whether a cooldown starts.
        """
        if granted_at < self._limit_cut_at:
            return False
        self._limit_cut_at = now
        if self.queues and running >= slots:
            self.queues = False
            return False
        if running < _MIN_LIMIT or not self.trusted:
            return self._start_cooldown(now)
        self.concurrency_limit = max(
            min(self.concurrency_limit, running) * _LIMIT_CUT_FACTOR, _MIN_LIMIT
        )
        return False

    def record_truncation(self, now: float) -> bool:
        """Record a response that was incomplete or never came.

        :returns: whether a cooldown starts.
        """
        self._truncated_in_row += 1
        return (
            self._truncated_in_row >= _TRUNCATED_IN_ROW
            and self._start_cooldown(now)
        )

    def record_answer(self, *, well: bool) -> None:
        """Record a complete response.

        :param well: False if it was a failure of the application.
        """
        difference = float(not well) - self.failure_ratio
        self.failure_ratio += difference * _FAILURE_WEIGHT
        self.concurrency_limit += 1 / self.concurrency_limit
        self.record_success()

    def record_success(self) -> None:
        """Record a sign that it works."""
        self.trusted = True
        self._truncated_in_row = 0
        self._unreachable_in_row = 0
        self._cooldown_seconds = _MIN_COOLDOWN_SECONDS
        self.cooldown_until = float('-inf')

    def _allowed(self, slots: int, max_queued: int) -> int:
        most = slots + max_queued if self.queues else slots
        return int(min(most, max(self.concurrency_limit, _MIN_LIMIT)))

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
