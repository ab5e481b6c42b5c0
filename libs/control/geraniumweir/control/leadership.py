"""The current coordinator of the pools, as a control host sees it.

The host that leads the log is the coordinator. A control host that cannot reach
a leader stands in for it, for the entry hosts that can reach this host: a
partitioned failure domain then still has one queue for each pool.

A coordinator grants each customer's quota for the entry hosts that it can
reach. The rest is left to the coordinators on other sides of a partition, so
that the shares add up to the whole quota whatever the partition is.
"""

import dataclasses
import itertools
import typing

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    demand,
    logevents,
    notice_exchange,
    pinging,
    recorders,
    relay_hosts,
    stall_detector,
)
from geraniumweir.scheduling import notices
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject

# Interval for checking who leads: a tenth of an election.
_POLL_SECONDS = 0.1
# An entry host that sent nothing for this long counts as unreachable: three of
# its pings, so that a lost packet, sent again after 0.2 s, does not count.
REACHABLE_SECONDS = 1.2
# Within this time and a ping's period entry hosts that can reach a new
# coordinator contact it: a missed answer (0.4 s) and a search (0.4 s).
_HANDOVER_SECONDS = 0.8
_NO_HOST = ids.HostId('')
# A change of the granted share of the quotas by this much is logged.
_MIN_LOGGED_CHANGE = 0.1
_SHARE_DIGITS = 2
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


FillPong = typing.Callable[[ttypes.Ping, ttypes.Pong], None]


def _add_nothing(_ping: ttypes.Ping, _pong: ttypes.Pong) -> None:
    """Add nothing to an answer."""


class Leadership:
    """The coordinator as a control host sees it; see :class:`views.HostView`.

    :ivar entry_hosts: those that watch or ping this host.
    :ivar server_notices: notices of servers that entry hosts forwarded.
    :ivar fill_pong: adds to the answer for an entry host.
    """

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        clock: timers.TimerService,
        quota_seconds: float,
    ) -> None:
        """Poll who leads from now on, and answer pings.

        :param quota_seconds: length of the window over which quotas hold.
        """
        self.entry_hosts = EntryHosts(quota_seconds)
        self.entry_hosts.start_term(clock.now())
        self.server_notices = notices.Notices(clock)
        self._notice_receiver = notice_exchange.NoticeReceiver(
            link, self.server_notices, clock
        )
        self.fill_pong: FillPong = _add_nothing
        self._host_id = link.host_id
        self._log = log
        self._clock = clock
        self._stall_detector = stall_detector.StallDetector(
            link.host_id, log, clock
        )
        self._logged_share: float = 1
        self._changes: subject.Subject[None] = subject.Subject()
        self._leader = ids.HostId('')
        self._poll = clock.every(_POLL_SECONDS).subscribe(
            lambda _: self._check_log(),
        )
        link.handle(ttypes.Ping, self._on_ping)

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Emits when another host becomes the coordinator."""
        return self._changes

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return the coordinator: the log's leader, or else this host.

        :returns: a placeholder while this host recovers from a stall.
        """
        if not self._stall_detector.is_recovered():
            return [_NO_HOST]
        return [self._leader or self._host_id]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return no host: entry hosts hand over by themselves, at once."""
        return []

    def coordinator_id(self) -> ids.HostId:
        """Return the coordinator: the log's leader, or else this host."""
        return self._leader or self._host_id

    def is_coordinator(self) -> bool:
        """Return whether this host coordinates."""
        return self._leader in {'', self._host_id}

    def is_log_leader(self) -> bool:
        """Return whether this host coordinates as the log's leader."""
        return self._leader == self._host_id

    def share(self) -> float:
        """Return the share of each quota that is granted here."""
        now = self._clock.now()
        if self._leader:
            return self.entry_hosts.reachable_share(now)
        return self.entry_hosts.reported_share(now)

    def close(self) -> None:
        """Stop polling."""
        self._poll.dispose()

    def _check_log(self) -> None:
        if (
            not self._stall_detector.is_recovered()
            and not self._log.is_leading()
        ):
            # Its queues are as old as its stall: drop them.
            self._changes.on_next(None)
        if self.is_coordinator():
            self._log_quota_share()
        self._update_leader()

    def _update_leader(self) -> None:
        leader = self._log.leader()
        if leader == self._leader:
            return
        before = self.is_coordinator()
        self._leader = leader
        self._logged_share = 1
        if self.is_coordinator() and not before:
            self.entry_hosts.start_term(self._clock.now())
            leads = self._log.is_leading()
            eventlog.emit(logevents.COORDINATION_STARTED, leads=leads)
        elif before and not self.is_coordinator():
            eventlog.emit(logevents.COORDINATION_ENDED)
        self._changes.on_next(None)

    def _share_for(self, host_id: ids.HostId, now: float) -> float:
        if self._leader == self._host_id:
            return self.entry_hosts.standalone_share_for(host_id, now)
        return self.entry_hosts.share_of(host_id, now)

    def _relays_for(
        self,
        host_id: ids.HostId,
        ping: ttypes.Ping,
        now: float,
    ) -> ttypes.Relays | None:
        """Return the relays of an entry host, None if it knows them."""
        if ping.relays_digest is None:
            return None
        found = self.entry_hosts.relays.assign(
            host_id,
            ids.FailureDomain(ping.failure_domain),
            lambda other: self.entry_hosts.is_reachable(other, now),
        )
        same = relay_hosts.digest(found) == ping.relays_digest
        return None if same else found

    def _log_quota_share(self) -> None:
        """Log the share that is granted here when it has changed."""
        quota_share = self.share()
        moved = abs(quota_share - self._logged_share)
        if moved < _MIN_LOGGED_CHANGE and (quota_share < 1 or not moved):
            return
        self._logged_share = quota_share
        now = self._clock.now()
        eventlog.emit(
            logevents.QUOTA_SHARE,
            part=round(quota_share, _SHARE_DIGITS),
            heard=self.entry_hosts.count_reachable(now),
            hosts=self.entry_hosts.count(now),
        )

    async def _on_ping(
        self,
        sender: ids.HostId,
        ping: ttypes.Ping,
    ) -> ttypes.Pong:
        # Initial shares of hosts count from when this host coordinates.
        self._update_leader()
        now = self._clock.now()
        if ping.leaving:
            self.entry_hosts.remove_host(sender)
        else:
            self.entry_hosts.heard(sender, now)
            self.entry_hosts.relays.record(
                sender,
                ids.FailureDomain(ping.failure_domain),
                bool(ping.relays),
            )
        if ping.share is not None:
            self.entry_hosts.set_share(sender, ping.share)
        self._notice_receiver.apply_notices(sender, ping)
        awake = self._stall_detector.is_recovered()
        pong = ttypes.Pong(
            leads=awake and self._log.is_leading(),
            stands_in=awake and not self._leader,
            hosts=self.entry_hosts.count(now),
            heard=self.entry_hosts.count_reachable(now),
            share=self._share_for(sender, now),
            relays=self._relays_for(sender, ping, now),
        )
        self._notice_receiver.fill(ping, pong)
        self.fill_pong(ping, pong)
        return pong
