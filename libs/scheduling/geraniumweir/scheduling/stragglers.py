"""Detection of backend servers that stall, and their gradual return.

A server that answers health checks but does no work is detected only by
missing progress: a first token that does not arrive, or tokens that stop
arriving. It then gets no new work. After a cooldown, which doubles with each
relapse, it gets one request at a time, then two, four, and so on, as long as
these requests succeed.
"""

import dataclasses
import enum

_FIRST_COOLDOWN_SECONDS = 2.0
_MAX_COOLDOWN_SECONDS = 60.0
_GROWTH = 2
_TRUSTED_ALLOWANCE = 64
# Progress counts as late after a multiple of its estimate, and after no less
# than this time.
_MIN_TIMEOUT_SECONDS = 2.5
_TIMEOUT_FACTOR = 5.0
_SLOW_FACTOR = 6.0
_MAX_SLOW_IN_ROW = 3
_MAX_FAILED_IN_ROW = 3


class Standing(enum.Enum):
    """Degree to which a server gets new work."""

    trusted = 'trusted'
    probation = 'probation'
    stalled = 'stalled'


@dataclasses.dataclass(slots=True)
class Health:
    """Health of a server, as its requests show it.

    :ivar allowance: most requests at a time during probation.
    :ivar cooldown_ends_at: end of the cooldown, in seconds on the leader's
        clock.
    """

    standing: Standing = Standing.trusted
    allowance: int = 1
    cooldown_seconds: float = _FIRST_COOLDOWN_SECONDS
    cooldown_ends_at: float = 0
    slow_in_row: int = 0
    failed_in_row: int = 0

    def capacity(self, limit: int) -> int:
        """Return how many requests the server may run at a time.

        :param limit: its estimated concurrency limit.
        """
        match self.standing:
            case Standing.trusted:
                return limit
            case Standing.probation:
                return min(limit, self.allowance)
            case Standing.stalled:
                return 0

    def stall(self, now: float) -> None:
        """Start a cooldown, during which the server gets no new work."""
        if self.standing is Standing.stalled:
            return
        self.standing = Standing.stalled
        self.cooldown_ends_at = now + self.cooldown_seconds
        self.cooldown_seconds = min(
            self.cooldown_seconds * _GROWTH, _MAX_COOLDOWN_SECONDS
        )
        self.allowance = 1

    def probe(self) -> None:
        """Start probation, in which the server gets one request at first."""
        self.standing = Standing.probation
        self.allowance = 1
        self.slow_in_row = 0

    def end_cooldown(self, now: float) -> bool:
        """End the cooldown if it is over.

        :returns: whether the server gets work again.
        """
        if self.standing is not Standing.stalled or now < self.cooldown_ends_at:
            return False
        self.probe()
        return True

    def record_success(self) -> None:
        """Record a request that succeeded."""
        self.slow_in_row = 0
        self.failed_in_row = 0
        if self.standing is not Standing.probation:
            return
        self.allowance *= _GROWTH
        if self.allowance >= _TRUSTED_ALLOWANCE:
            self.standing = Standing.trusted
            self.cooldown_seconds = _FIRST_COOLDOWN_SECONDS

    def record_failure(self, now: float) -> None:
        """Record a request that failed; several in a row start a cooldown.

        Without this, a server that fails at once would look like the fastest.
        """
        self.failed_in_row += 1
        if self.failed_in_row >= _MAX_FAILED_IN_ROW:
            self.failed_in_row = 0
            self.stall(now)

    def record_duration(
        self, seconds: float, expected: float, now: float
    ) -> None:
        """Record the duration of a prefill or of decoding.

        Several in a row that are slow against their estimates start a
        cooldown.

        :param seconds: measured duration.
        :param expected: estimated duration, in seconds.
        """
        if seconds < max(expected * _SLOW_FACTOR, 1):
            self.slow_in_row = 0
            return
        self.slow_in_row += 1
        if self.slow_in_row >= _MAX_SLOW_IN_ROW:
            self.slow_in_row = 0
            self.stall(now)


def stall_timeout(expected: float) -> float:
    """Return the seconds without progress after which a server has stalled.

    :param expected: predicted seconds to the next sign of progress.

    >>> stall_timeout(0.1)
    2.5
    >>> stall_timeout(2.0)
    10.0
    """
    return max(_MIN_TIMEOUT_SECONDS, expected * _TIMEOUT_FACTOR)
