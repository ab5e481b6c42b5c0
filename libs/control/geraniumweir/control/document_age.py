"""The time since the document in force was last confirmed as the newest."""

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import logevents

# A gap of this length without an up-to-date answer is logged: twice the
# duration of a watch without news.
_MIN_LOGGED_GAP_SECONDS = 1.0
_SECONDS_DIGITS = 3


class DocumentAge:
    """Age of the last confirmation.

    :ivar confirmed_at: when it was confirmed, in seconds.
    """

    def __init__(self, clock: timers.TimerService) -> None:
        """Initialize without a confirmation."""
        self.confirmed_at = float('-inf')
        self._clock = clock

    def seconds(self) -> float | None:
        """Return the seconds since then, None before the first time."""
        age = self._clock.now() - self.confirmed_at
        return None if age == float('inf') else round(age, _SECONDS_DIGITS)

    def confirm(self, version: ids.Version, at: float) -> None:
        """Record that the document in force was the newest.

        :param at: when it was, in seconds.
        """
        gap = at - self.confirmed_at
        if _MIN_LOGGED_GAP_SECONDS < gap < float('inf'):
            eventlog.emit(
                logevents.CONFIRMED_AGAIN,
                seconds=round(gap, _SECONDS_DIGITS),
                version=version,
            )
        self.confirmed_at = max(self.confirmed_at, at)
