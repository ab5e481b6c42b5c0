"""Notices that this host did nothing for a while, as a frozen one does.

Meanwhile another host may have been elected, and all that is known here of
entry hosts and their requests is old. A clock that ran on tells it. Until a
majority of the recorders has followed this host again, or another one leads,
it coordinates nothing.
"""

import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import logevents

# A leader that is silent for so long may be replaced, in seconds: the
# shortest election timeout.
_SLEPT_SECONDS = 0.5
# A host that hears no leader for so long after it woke stands in, in seconds:
# the longest election timeout.
_WAKING_SECONDS = 1.0
_SECONDS_DIGITS = 2


class Log(typing.Protocol):
    """What is asked of the replicated log."""

    def leader(self) -> ids.HostId:
        """Give the host that leads and is heard, or empty."""

    def is_leading(self) -> bool:
        """Tell whether this host leads, as far as it knows."""

    def leads_since(self, at: float) -> bool:
        """Tell whether a majority followed this host since a time."""


class Waking:
    """Whether this host may trust what it knows."""

    def __init__(
        self,
        host_id: ids.HostId,
        log: Log,
        clock: timers.TimerService,
    ) -> None:
        """Be awake."""
        self._host_id = host_id
        self._log = log
        self._clock = clock
        self._looked = clock.now()
        self._woke_at: float | None = None

    def is_over(self) -> bool:
        """Tell whether this host is awake; it is asked often."""
        now = self._clock.now()
        slept = now - self._looked
        self._looked = now
        if slept > _SLEPT_SECONDS:
            self._woke_at = now
            eventlog.emit(
                logevents.SLEPT,
                seconds=round(slept, _SECONDS_DIGITS),
            )
        if self._woke_at is not None and self._knows_again(now):
            self._woke_at = None
        return self._woke_at is None

    def _knows_again(self, now: float) -> bool:
        woke_at = self._woke_at or now
        if now - woke_at > _WAKING_SECONDS:
            return True
        if self._log.is_leading():
            return self._log.leads_since(woke_at)
        return self._log.leader() not in {'', self._host_id}
