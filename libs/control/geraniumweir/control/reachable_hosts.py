"""The entry hosts of a coordinator, and their shares of the quotas.

A coordinator grants each customer's quota for the entry hosts that it can
reach. The rest is left to the coordinators on other sides of a partition, so
that the shares add up to the whole quota whatever the partition is.
"""

import dataclasses
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.control import demand, pinging, relay_hosts

# An entry host that sent nothing for this long counts as unreachable: three of
# its pings, so that a lost packet, sent again after 0.2 s, does not count.
REACHABLE_SECONDS = 1.2
# Within this time and a ping's period entry hosts that can reach a new
# coordinator contact it: a missed answer (0.4 s) and a search (0.4 s).
_HANDOVER_SECONDS = 0.8
# An entry host that sent nothing for this long is removed: longer than the
# partitions that must be survived, so that its quota is not given to others
# while it still uses it.
EVICT_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Partition:
    """A period in which an entry host was unreachable and granted by itself.

    :ivar granted_share: share of all quotas that it may have granted.
    :ivar start: in seconds.
    :ivar end: when it was reachable again, in seconds.
    """

    host_id: ids.HostId
    granted_share: float
    start: float
    end: float

    def used_since(self, since: float) -> float:
        """Return its grants since then, in seconds of all quotas."""
        return self.granted_share * max(self.end - max(self.start, since), 0)


class EntryHosts:
    """The entry hosts that a control host can or could lately reach.

    :ivar demand: what they requested from this host as the coordinator.
    :ivar relays: those that dispatch requests for others.
    """

    def __init__(self, quota_seconds: float) -> None:
        """Initialize without any entry host.

        :param quota_seconds: length of the window over which quotas hold.
        """
        self.demand = demand.Demand()
        self.relays = relay_hosts.RelayHosts()
        self._quota_seconds = quota_seconds
        self._term_start = float('inf')
        self._partitions: list[_Partition] = []
        self._last_seen: dict[ids.HostId, float] = {}
        self._shares: dict[ids.HostId, float] = {}
        self._initial_shares: dict[ids.HostId, float] = {}
        self._reported_count = 0
        self._reported_at = float('-inf')

    def start_term(self, now: float) -> None:
        """Record that this host coordinates from now on and did not before.

        A host that watched or pinged this one before then and is silent until
        it contacts this one as the coordinator was not partitioned.
        """
        self._term_start = now
        self._partitions.clear()
        self._initial_shares.clear()

    def heard(self, host_id: ids.HostId, now: float) -> None:
        """Record that a message of an entry host arrived."""
        before = self._last_seen.get(host_id, now)
        silent = now - before > REACHABLE_SECONDS
        if silent and before >= self._term_start:
            granted_share = self._standalone_share(host_id, now)
            self._partitions.append(
                _Partition(host_id, granted_share, before, now)
            )
        # Ordered by time, so that unreachable hosts come first.
        self._last_seen.pop(host_id, None)
        self._last_seen[host_id] = now

    def is_reachable(self, host_id: ids.HostId, now: float) -> bool:
        """Return whether an entry host was heard lately."""
        seen_at = self._last_seen.get(host_id, float('-inf'))
        return now - seen_at <= REACHABLE_SECONDS

    def set_share(self, host_id: ids.HostId, share: float) -> None:
        """Record the share of all requests that was last sent to a host."""
        self._shares[host_id] = share
        self._initial_shares.setdefault(host_id, share)

    def remove_host(self, host_id: ids.HostId) -> None:
        """Remove a host that announced its end, or is taken for gone."""
        self._last_seen.pop(host_id, None)
        self._shares.pop(host_id, None)
        self._initial_shares.pop(host_id, None)
        self.demand.remove(host_id)
        self.relays.remove(host_id)

    def set_reported_count(self, host_count: int, now: float) -> None:
        """Record the number of entry hosts that the log's leader reported."""
        self._reported_count = host_count
        self._reported_at = now

    def count(self, now: float) -> int:
        """Return the number of entry hosts; evict those that are gone."""
        for host_id in self._unseen_for(EVICT_SECONDS, now):
            self.remove_host(host_id)
        reported_count = (
            self._reported_count
            if now - self._reported_at < EVICT_SECONDS
            else 0
        )
        return max(len(self._last_seen), reported_count)

    def count_reachable(self, now: float) -> int:
        """Return the number of entry hosts that are reachable."""
        return len(self._last_seen) - len(
            self._unseen_for(REACHABLE_SECONDS, now)
        )

    def reaches_all(self, now: float) -> bool:
        """Return whether all known entry hosts are reachable.

        >>> some = EntryHosts(8)
        >>> some.heard(ids.HostId('a'), 0), some.heard(ids.HostId('b'), 5)
        (None, None)
        >>> some.reaches_all(5)
        False
        """
        return self.count_reachable(now) >= self.count(now)

    def share_of(self, host_id: ids.HostId, now: float) -> float:
        """Return a host's share of all requests."""
        return self.demand.share(host_id, self.count(now), now)

    def standalone_share_for(self, host_id: ids.HostId, now: float) -> float:
        """Return the share that a host may grant by itself once partitioned.

        Its share of what is left: if two of three hosts are unreachable, the
        third would otherwise be assigned all quotas, and a coordinator after
        this one would leave nothing to the others.
        """
        return self.share_of(host_id, now) * self.reachable_share(now)

    def reachable_share(self, now: float) -> float:
        """Return the share of the reachable hosts: what the others leave.

        What a host granted by itself before it was reachable again counts too,
        as long as it is within the window of the quotas: without this, a
        customer that took all it could get from two hosts got 1.41 quotas
        within 8 s around the end of a partition of 7 s; with it, 1.11.

        >>> some = EntryHosts(8)
        >>> some.heard(ids.HostId('a'), 0), some.heard(ids.HostId('b'), 5)
        (None, None)
        >>> some.reachable_share(5)
        0.5
        """
        host_count = self.count(now)
        unreachable = self._unseen_for(REACHABLE_SECONDS, now)
        standalone_share = sum(
            self._standalone_share(host, now) for host in unreachable
        )
        standalone_share += self._unseen_share(host_count, now)
        return 1 - min(
            standalone_share + self._share_used_by_returned(unreachable, now), 1
        )

    def _unseen_share(self, host_count: int, now: float) -> float:
        """Return the share of hosts that only another coordinator could reach.

        They sent nothing since this host coordinates: a partition separated
        them together with the previous coordinator, and they grant their share
        by themselves. Their share is what is left by the shares that the
        reachable hosts were sent before. By equal shares, a host that has a
        third of all requests of six hosts would be taken for one with a sixth.

        :param host_count: number of all entry hosts.
        """
        handover_seconds = _HANDOVER_SECONDS + pinging.period_seconds(
            host_count
        )
        if now - self._term_start < handover_seconds:
            return 0
        if host_count <= len(self._last_seen):
            return 0
        equal_share = 1 / host_count
        initial_total = sum(
            self._initial_shares.get(host, equal_share)
            for host in self._last_seen
        )
        return max(1 - initial_total, 0)

    def _share_used_by_returned(
        self,
        unreachable: typing.Sequence[ids.HostId],
        now: float,
    ) -> float:
        """Return the share that hosts granted by themselves within a window."""
        since = now - self._quota_seconds
        self._partitions = [
            partition for partition in self._partitions if partition.end > since
        ]
        used_seconds = sum(
            partition.used_since(since)
            for partition in self._partitions
            if partition.host_id in self._last_seen
            and partition.host_id not in unreachable
        )
        return used_seconds / self._quota_seconds

    def _standalone_share(self, host_id: ids.HostId, now: float) -> float:
        """Return the share that an unreachable host grants by itself.

        This is the last share that it was sent, as its share of the requests
        that arrive here falls with each second of silence.
        """
        reported = self._shares.get(host_id)
        return self.share_of(host_id, now) if reported is None else reported

    def reported_share(self, now: float) -> float:
        """Return the share of the reachable hosts, as they report it."""
        equal_share = 1 / max(self.count(now), 1)
        unreachable = self._unseen_for(REACHABLE_SECONDS, now)
        parts = [
            self._shares.get(host, equal_share)
            for host in self._last_seen
            if host not in unreachable
        ]
        return min(sum(parts), 1)

    def _unseen_for(self, seconds: float, now: float) -> list[ids.HostId]:
        """Return the hosts that sent nothing for longer than some seconds."""
        reported = itertools.takewhile(
            lambda item: now - item[1] > seconds,
            self._last_seen.items(),
        )
        return [host_id for host_id, _ in reported]
