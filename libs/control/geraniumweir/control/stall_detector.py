"""Detects that this host did not run for a while, as after a freeze.

Meanwhile another host may have been elected, and what is stored here about
entry hosts and their requests is stale. A stall shows in the clock, which
advanced meanwhile. Until a majority of the recorders has followed this host
again, or another host leads, this host coordinates nothing.
"""

import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import logevents

# A leader that is silent for this long may be replaced: the shortest election
# timeout.
_MIN_STALL_SECONDS = 0.5
# A host that finds no leader for this long after a stall stands in: the longest
# election timeout.
_RECOVERY_SECONDS = 1.0
_SECONDS_DIGITS = 2


class Log(typing.Protocol):
    """What the detector needs of the replicated log."""

    def leader(self) -> ids.HostId:
        """Return the host that leads and is reachable, or empty."""

    def is_leading(self) -> bool:
        """Return whether this host leads, by what is stored here."""

    def leads_since(self, since: float) -> bool:
        """Return whether a majority followed this host since a time."""


class StallDetector:
    """Decides whether this host may rely on its state."""

    def __init__(
        self,
        host_id: ids.HostId,
        log: Log,
        clock: timers.TimerService,
    ) -> None:
        """Initialize as a host that has not stalled."""
        self._host_id = host_id
        self._log = log
        self._clock = clock
        self._checked_at = clock.now()
        self._stall_ended_at: float | None = None

    def is_recovered(self) -> bool:
        """Return whether no stall is unconfirmed; must be called often."""
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
