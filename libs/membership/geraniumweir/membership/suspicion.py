"""Judging from silence whether a host is alive.

A host that isn't heard directly for a while is suspected, and others are
asked when they heard it; what they vouch for counts as evidence too. Only
when neither kind of evidence is newer than a longer time is the host dead. So
one bad link kills nobody. A host that notices that it stood still itself
moves all evidence forward by that time: the silence was its own.

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
    """How often hosts are heard and when silence counts; all in seconds.

    :ivar period: between heartbeats.
    :ivar suspect_after: silence of a host before others are asked.
    :ivar dead_after: silence on all ways before it is held for dead.
    :ivar stall: a tick later than this shows that this host stood still.
    :ivar witnesses: hosts that are asked about a suspect each period.
    """

    period: float = 0.5
    suspect_after: float = 1.25
    dead_after: float = 3.0
    stall: float = 0.25
    witnesses: int = 3

    @property
    def detection_bound(self) -> float:
        """Give the longest time from a crash to its detection.

        >>> Timing().detection_bound
        3.5
        """
        return self.dead_after + self.period


class Verdict(enum.Enum):
    """What silence says of a host."""

    live = 'live'
    suspected = 'suspected'
    dead = 'dead'


class Suspicion:
    """The newest evidence of each host.

    >>> suspicion = Suspicion(Timing())
    >>> suspicion.record_direct(ids.HostId('b'), 0)
    >>> [suspicion.evaluate(ids.HostId('b'), at).value for at in (1, 2, 3)]
    ['live', 'suspected', 'dead']
    >>> suspicion.record_indirect(ids.HostId('b'), 2)
    >>> suspicion.evaluate(ids.HostId('b'), 3)
    <Verdict.suspected: 'suspected'>
    """

    def __init__(self, timing: Timing) -> None:
        """Start without evidence."""
        self._timing = timing
        self._direct_at: dict[ids.HostId, float] = {}
        self._indirect_at: dict[ids.HostId, float] = {}

    def record_direct(self, host_id: ids.HostId, now: float) -> None:
        """Note a message from a host."""
        self._direct_at[host_id] = now

    def record_indirect(self, host_id: ids.HostId, when: float) -> None:
        """Note that another host heard it.

        :param when: on this host's clock, in seconds.
        """
        known = self._indirect_at.get(host_id, when)
        self._indirect_at[host_id] = max(known, when)

    def direct_silence_seconds(
        self, host_id: ids.HostId, now: float
    ) -> float | None:
        """Tell how long a host hasn't been heard directly, in seconds."""
        when = self._direct_at.get(host_id)
        return None if when is None else now - when

    def evaluate(self, host_id: ids.HostId, now: float) -> Verdict:
        """Judge a host; one without evidence is dead."""
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
        """Move all evidence forward by a time this host stood still.

        :param gap: in seconds.
        """
        for evidence in (self._direct_at, self._indirect_at):
            for host_id, when in evidence.items():
                evidence[host_id] = min(now, when + gap)

    def discard(self, host_id: ids.HostId) -> None:
        """Drop the evidence of a host."""
        self._direct_at.pop(host_id, None)
        self._indirect_at.pop(host_id, None)
