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
_MIN_STALL_SECONDS = 0.5
# A host that hears no leader for so long after it woke stands in, in seconds:
# the longest election timeout.
_RECOVERY_SECONDS = 1.0
_SECONDS_DIGITS = 2


class Log(typing.Protocol):
    """What is asked of the replicated log."""

    def leader(self) -> ids.HostId:
        """Give the host that leads and is heard, or empty."""

    def is_leading(self) -> bool:
        """Tell whether this host leads, as far as it knows."""

    def leads_since(self, since: float) -> bool:
        """Tell whether a majority followed this host since a time."""


class StallDetector:
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
        self._checked_at = clock.now()
        self._stall_ended_at: float | None = None

    def is_recovered(self) -> bool:
        """Tell whether this host is awake; it is asked often."""
        now = self._clock.now()
        stall_seconds = now - self._checked_at
        self._checked_at = now
        if stall_seconds > _MIN_STALL_SECONDS:
            self._stall_ended_at = now
            eventlog.emit(
                logevents.HOST_STALLED,
                seconds=round(stall_seconds, _SECONDS_DIGITS),
            )
        if self._stall_ended_at is not None and self._is_confirmed(now):
            self._stall_ended_at = None
        return self._stall_ended_at is None

    def _is_confirmed(self, now: float) -> bool:
        ended_at = self._stall_ended_at or now
        if now - ended_at > _RECOVERY_SECONDS:
            return True
        if self._log.is_leading():
            return self._log.leads_since(ended_at)
        return self._log.leader() not in {'', self._host_id}
