"""Notices backend servers that stall, and lets them back bit by bit.

A server that answers health checks but not work shows only by progress that
stops: a first token that does not come, or tokens that stop coming. It gets
no new work then. After a pause, which doubles with each relapse, it gets one
request at a time, then two, four, and so on, as long as these end well.
"""

import dataclasses
import enum

_FIRST_PAUSE = 2.0
_LONGEST_PAUSE = 60.0
_GROWTH = 2
_TRUSTED_AT = 64
_LEAST_PATIENCE = 2.5
_PATIENCE_FACTOR = 5.0
_SLOW_FACTOR = 6.0
_SLOW_IN_ROW = 3
_FAILED_IN_ROW = 3


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
    pause: float = _FIRST_PAUSE
    until: float = 0
    slow_in_row: int = 0
    failed_in_row: int = 0

    def most(self, limit: int) -> int:
        """Give how many requests the server may run.

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
        self.until = now + self.pause
        self.pause = min(self.pause * _GROWTH, _LONGEST_PAUSE)
        self.allowance = 1

    def probe(self) -> None:
        """Let a little work in, as after a restart."""
        self.standing = Standing.probation
        self.allowance = 1
        self.slow_in_row = 0

    def wake(self, now: float) -> bool:
        """End the pause if it is over.

        :returns: whether the server takes work again.
        """
        if self.standing is not Standing.stalled or now < self.until:
            return False
        self.probe()
        return True

    def good(self) -> None:
        """Take that a request ended well."""
        self.slow_in_row = 0
        self.failed_in_row = 0
        if self.standing is not Standing.probation:
            return
        self.allowance *= _GROWTH
        if self.allowance >= _TRUSTED_AT:
            self.standing = Standing.trusted
            self.pause = _FIRST_PAUSE

    def failed(self, now: float) -> None:
        """Take that a request failed; several in a row are a stall.

        A server that fails at once would else look like the fastest.
        """
        self.failed_in_row += 1
        if self.failed_in_row >= _FAILED_IN_ROW:
            self.failed_in_row = 0
            self.stall(now)

    def compare(self, seconds: float, expected: float, now: float) -> None:
        """Take how long something took against what was learnt."""
        if seconds < max(expected * _SLOW_FACTOR, 1):
            self.slow_in_row = 0
            return
        self.slow_in_row += 1
        if self.slow_in_row >= _SLOW_IN_ROW:
            self.slow_in_row = 0
            self.stall(now)


def patience(expected: float) -> float:
    """Give the seconds without progress after which a server has stalled.

    :param expected: predicted seconds to the next sign of progress.

    >>> patience(0.1)
    2.5
    >>> patience(2.0)
    10.0
    """
    return max(_LEAST_PATIENCE, expected * _PATIENCE_FACTOR)
