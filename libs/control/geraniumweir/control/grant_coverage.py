"""Until when a coordinator knows what its entry hosts were granted.

An entry host that loses its coordinator is granted by another one, or grants by
itself, and reports what it was granted once it is back. Its pings say whether
it has; each also says how long ago the last answer came, so that the
coordinator knows when the ping was sent however long it travelled.

The load is a ping of each entry host in 0.2 to 0.4 s, some 1,000 a second, and
a question for each stream that is taken up by its content.
"""

import dataclasses
import math

from geraniumweir.common import ids

# An entry host that isn't heard for longer is no longer waited for: it is
# taken for gone, and its streams have ended or expired.
_FORGET_SECONDS = 35.0
# Streams that a process may have begun before it ended expire within this time.
_STREAM_SECONDS = 20.0
# Two pings and a retransmission after which an entry host is out of touch.
_MISSING_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _EntryHost:
    """An entry host.

    :ivar heard_at: when its last message came, in seconds.
    :ivar covered_until: all that it was granted before then is known.
    :ivar started: which of its processes this is, None if it isn't known.
    """

    heard_at: float
    covered_until: float = -math.inf
    started: int | None = None


class GrantCoverage:
    """The entry hosts, and until when their grants are known here.

    >>> some = GrantCoverage()
    >>> some.record_ping(ids.HostId('a'), started=1, now=5, covered_until=4.9)
    >>> some.covered_until(5), some.uncovered(5, 5), some.missing(5)
    (4.9, ['a'], [])
    """

    def __init__(self) -> None:
        """Initialize without entry hosts."""
        self._hosts: dict[ids.HostId, _EntryHost] = {}
        # When streams of processes that ended unannounced have expired.
        self._lost_until: dict[ids.HostId, float] = {}

    def record_message(self, host_id: ids.HostId, now: float) -> None:
        """Record that an entry host is there."""
        found = self._hosts.setdefault(host_id, _EntryHost(now))
        found.heard_at = now

    def record_ping(
        self,
        host_id: ids.HostId,
        *,
        started: int | None,
        covered_until: float | None,
        now: float,
    ) -> None:
        """Record a ping.

        :param started: tells the processes of a host apart.
        :param covered_until: time before which this host knows all that the
            entry host was granted, None if it may lack something.
        :param now: in seconds.
        """
        self.record_message(host_id, now)
        found = self._hosts[host_id]
        if started != found.started:
            if found.started is not None:
                self._lost_until[host_id] = now + _STREAM_SECONDS
            found.started = started
            found.covered_until = -math.inf
        if covered_until is not None:
            found.covered_until = max(found.covered_until, covered_until)

    def remove(self, host_id: ids.HostId) -> None:
        """Remove an entry host that ended after all its requests had."""
        self._hosts.pop(host_id, None)

    def count(self, now: float) -> int:
        """Return the number of entry hosts."""
        self._forget(now)
        return len(self._hosts)

    def covered_until(self, now: float) -> float:
        """Return the time before which all that was granted is known here."""
        self._forget(now)
        if self._lost_until:
            return -math.inf
        times = (found.covered_until for found in self._hosts.values())
        return min(times, default=math.inf)

    def uncovered(self, since: float, now: float) -> list[ids.HostId]:
        """List the hosts that may have been granted something unknown here.

        :param since: what is granted later doesn't matter.
        """
        self._forget(now)
        lacking = {
            host_id
            for host_id, found in self._hosts.items()
            if found.covered_until < since
        }
        return sorted(lacking.union(self._lost_until))

    def missing(self, now: float) -> list[ids.HostId]:
        """List the hosts that no ping will cover soon."""
        self._forget(now)
        silent = {
            host_id
            for host_id, found in self._hosts.items()
            if now - found.heard_at > _MISSING_SECONDS
        }
        return sorted(silent.union(self._lost_until))

    def _forget(self, now: float) -> None:
        for host_id, found in tuple(self._hosts.items()):
            if now - found.heard_at > _FORGET_SECONDS:
                self._hosts.pop(host_id)
        for host_id, end in tuple(self._lost_until.items()):
            if now > end:
                self._lost_until.pop(host_id)
