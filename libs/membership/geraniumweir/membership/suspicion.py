"""Failure detection from the time since the last evidence of a host.

A host without a recent heartbeat is suspected, and other hosts are asked when
they last received one; their vouchers are indirect evidence. A host is dead
only when both kinds of evidence are older than a longer timeout, so that one
bad link makes no host dead. A host that detects its own stall shifts all
evidence forward by the length of the stall, during which it could receive
nothing.

References
==========
.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent
   infection-style process group membership protocol", DSN 2002.
.. [2] A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local health awareness
   for more accurate failure detection", DSN 2018.
"""

import dataclasses
import enum

from geraniumweir.common import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Heartbeat period and timeouts of the failure detector, in seconds.

    :ivar period: between heartbeats.
    :ivar suspect_after: without direct evidence, before a host is suspected.
    :ivar dead_after: without any evidence, before a host is dead.
    :ivar stall: a tick that is late by this much shows a stall of this host.
    :ivar witnesses: number of hosts asked about a suspect each period.
    """

    period: float = 0.5
    suspect_after: float = 1.25
    dead_after: float = 3.0
    stall: float = 0.25
    witnesses: int = 3

    @property
    def detection_bound(self) -> float:
        """Return the longest time from a crash to its detection.

        >>> Timing().detection_bound
        3.5
        """
        return self.dead_after + self.period


class Verdict(enum.Enum):
    """Result of the failure detector for a host."""

    live = 'live'
    suspected = 'suspected'
    dead = 'dead'


class Suspicion:
    """Failure detector with the newest evidence of each host.

    >>> suspicion = Suspicion(Timing())
    >>> suspicion.record_direct(ids.HostId('b'), 0)
    >>> [suspicion.evaluate(ids.HostId('b'), at).value for at in (1, 2, 3)]
    ['live', 'suspected', 'dead']
    >>> suspicion.record_indirect(ids.HostId('b'), 2)
    >>> suspicion.evaluate(ids.HostId('b'), 3)
    <Verdict.suspected: 'suspected'>
    """

    def __init__(self, timing: Timing) -> None:
        """Initialize without evidence."""
        self._timing = timing
        self._direct_at: dict[ids.HostId, float] = {}
        self._indirect_at: dict[ids.HostId, float] = {}

    def record_direct(self, host_id: ids.HostId, now: float) -> None:
        """Record a message from a host."""
        self._direct_at[host_id] = now

    def record_indirect(self, host_id: ids.HostId, when: float) -> None:
        """Record that another host received a message from a host.

        :param when: on this host's clock, in seconds.
        """
        known = self._indirect_at.get(host_id, when)
        self._indirect_at[host_id] = max(known, when)

    def direct_silence_seconds(
        self, host_id: ids.HostId, now: float
    ) -> float | None:
        """Return the seconds since the last message, None without one."""
        when = self._direct_at.get(host_id)
        return None if when is None else now - when

    def evaluate(self, host_id: ids.HostId, now: float) -> Verdict:
        """Return the verdict on a host; one without direct evidence is dead."""
        direct = self._direct_at.get(host_id)
        if direct is None:
            return Verdict.dead
        newest = max(direct, self._indirect_at.get(host_id, direct))
        if now - newest >= self._timing.dead_after:
            return Verdict.dead
        if now - direct >= self._timing.suspect_after:
            return Verdict.suspected
        return Verdict.live

    def shift_forward(self, gap: float, now: float) -> None:
        """Shift all evidence forward by the length of a stall of this host.

        :param gap: length of the stall, in seconds.
        """
        for evidence in (self._direct_at, self._indirect_at):
            for host_id, when in evidence.items():
                evidence[host_id] = min(now, when + gap)

    def discard(self, host_id: ids.HostId) -> None:
        """Discard the evidence of a host."""
        self._direct_at.pop(host_id, None)
        self._indirect_at.pop(host_id, None)
