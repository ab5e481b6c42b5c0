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

    def confirm(self, version: ids.Version) -> None:
        """Record that the document in force is the newest."""
        age = self.seconds()
        if age is not None and age > _MIN_LOGGED_GAP_SECONDS:
            eventlog.emit(
                logevents.CONFIRMED_AGAIN, seconds=age, version=version
            )
        self.confirmed_at = self._clock.now()
