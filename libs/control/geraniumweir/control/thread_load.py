"""Observes how long events wait for this host's thread, and what fills it.

A thread that has more work than time delays all events alike. An event is
logged for each second in which one waited noticeably, so that a late message
can be told from one that was lost.
"""

import collections
import time
import typing

from geraniumweir.common import eventlog, timers
from geraniumweir.control import logevents

# Period of the timer whose lateness is the delay of the event loop.
_PERIOD_SECONDS = 0.05
# Observations that make one logged event.
_TICKS = 20
# Messages between failure domains take a few milliseconds; several such delays
# add up to an election timeout.
_MIN_LOGGED_DELAY_SECONDS = 0.1
# Message types that are named in an event.
_MAX_TYPES = 5
_MS = 1000
_BUSY_DIGITS = 2

Counts: typing.TypeAlias = collections.Counter[str]


class ThreadLoad:
    """Observer of one event loop."""

    def __init__(
        self,
        clock: timers.TimerService,
        handled: typing.Callable[[], Counts],
    ) -> None:
        """Observe from now on.

        :param handled: returns the number of messages handled so far, by type.
        """
        self._clock = clock
        self._handled = handled
        self._ticks = 0
        self._ticked_at = clock.now()
        self._longest_delay = float(0)
        self._begin_period()
        self._subscription = clock.every(_PERIOD_SECONDS).subscribe(
            lambda _: self._observe()
        )

    def close(self) -> None:
        """Stop observing."""
        self._subscription.dispose()

    def _begin_period(self) -> None:
        self._began_at = self._clock.now()
        self._used_before = time.process_time()
        self._handled_before = self._handled().copy()

    def _observe(self) -> None:
        now = self._clock.now()
        delay = max(now - self._ticked_at - _PERIOD_SECONDS, 0)
        self._longest_delay = max(self._longest_delay, delay)
        self._ticked_at = now
        self._ticks += 1
        if self._ticks >= _TICKS or delay >= _MIN_LOGGED_DELAY_SECONDS * _TICKS:
            self._end_period(now)

    def _end_period(self, now: float) -> None:
        seconds = now - self._began_at
        if self._longest_delay >= _MIN_LOGGED_DELAY_SECONDS:
            used = time.process_time() - self._used_before
            eventlog.emit(
                logevents.THREAD_DELAYED,
                delay_ms=round(self._longest_delay * _MS),
                busy=round(used / seconds, _BUSY_DIGITS),
                seconds=round(seconds, _BUSY_DIGITS),
                messages=dict(
                    (self._handled() - self._handled_before).most_common(
                        _MAX_TYPES
                    )
                ),
            )
        self._ticks = 0
        self._longest_delay = 0
        self._begin_period()
