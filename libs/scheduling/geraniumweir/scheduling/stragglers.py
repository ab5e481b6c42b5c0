"""Notices backend servers that stall, and lets them back bit by bit.

A server that answers health checks but not work shows only by progress that
stops: a first token that does not come, or tokens that stop coming. It gets
no new work then. After a pause, which doubles with each relapse, it gets one
request at a time, then two, four, and so on, as long as these end well.
"""

import dataclasses
import enum

_FIRST_COOLDOWN_SECONDS = 2.0
_MAX_COOLDOWN_SECONDS = 60.0
_GROWTH = 2
_TRUSTED_ALLOWANCE = 64
_MIN_TIMEOUT_SECONDS = 2.5
_TIMEOUT_FACTOR = 5.0
_SLOW_FACTOR = 6.0
_MAX_SLOW_IN_ROW = 3
_MAX_FAILED_IN_ROW = 3


class Standing(enum.Enum):
    """How far a server is trusted with new work."""

    trusted = 'trusted'
    probation = 'probation'
    stalled = 'stalled'


@dataclasses.dataclass(slots=True)
class Health:
    """A server's standing.

    :ivar allowance: most requests at a time while in probation.
    :ivar until: end of the pause, in seconds on the leader's clock.
    """

    standing: Standing = Standing.trusted
    allowance: int = 1
    cooldown_seconds: float = _FIRST_COOLDOWN_SECONDS
    cooldown_ends_at: float = 0
    slow_in_row: int = 0
    failed_in_row: int = 0

    def capacity(self, limit: int) -> int:
        """Return how many requests the server may run.

        :param limit: its learnt concurrency limit.
        """
        match self.standing:
            case Standing.trusted:
                return limit
            case Standing.probation:
                return min(limit, self.allowance)
            case Standing.stalled:
                return 0

    def stall(self, now: float) -> None:
        """Stop new work for a pause."""
        if self.standing is Standing.stalled:
            return
        self.standing = Standing.stalled
        self.cooldown_ends_at = now + self.cooldown_seconds
        self.cooldown_seconds = min(
            self.cooldown_seconds * _GROWTH, _MAX_COOLDOWN_SECONDS
        )
        self.allowance = 1

    def probe(self) -> None:
        """Let a little work in, as after a restart."""
        self.standing = Standing.probation
        self.allowance = 1
        self.slow_in_row = 0

    def end_cooldown(self, now: float) -> bool:
        """End the pause if it is over.

        :returns: whether the server takes work again.
        """
        if self.standing is not Standing.stalled or now < self.cooldown_ends_at:
            return False
        self.probe()
        return True

    def record_success(self) -> None:
        """Take that a request ended well."""
        self.slow_in_row = 0
        self.failed_in_row = 0
        if self.standing is not Standing.probation:
            return
        self.allowance *= _GROWTH
        if self.allowance >= _TRUSTED_ALLOWANCE:
            self.standing = Standing.trusted
            self.cooldown_seconds = _FIRST_COOLDOWN_SECONDS

    def record_failure(self, now: float) -> None:
        """Take that a request failed; several in a row are a stall.

        A server that fails at once would else look like the fastest.
        """
        self.failed_in_row += 1
        if self.failed_in_row >= _MAX_FAILED_IN_ROW:
            self.failed_in_row = 0
            self.stall(now)

    def record_duration(
        self, seconds: float, expected: float, now: float
    ) -> None:
        """Take how long something took against what was learnt."""
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
