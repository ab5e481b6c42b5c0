"""Who coordinates the pools, as a control host sees it.

The host that leads the log coordinates. A control host that hears no leader
stands in for it, for the entry hosts that can reach this one: a failure
domain that is cut off goes on with one queue for each pool.

A coordinator grants each customer's quota for the entry hosts that it hears.
What the others may spend is left to whoever coordinates there, so that the
parts add up to the whole however the hosts are cut off from each other.
"""

import dataclasses
import itertools
import typing

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    logevents,
    recorders,
    notice_exchange,
    demand,
    stall_detector,
)
from geraniumweir.scheduling import notices
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject

# How often it is looked who leads, in seconds: a tenth of an election.
_POLL_SECONDS = 0.1
# An entry host that said nothing for so long isn't heard, in seconds: six of
# its pings, so that one lost packet, sent again after 0.2 s, is no silence.
REACHABLE_SECONDS = 1.2
# Entry hosts that reach a new coordinator turn to it within so long, in
# seconds: a missed answer (0.4 s), a search (0.4 s) and a ping (0.2 s).
_HANDOVER_SECONDS = 1.0
_NO_HOST = ids.HostId('')
# A part of the quotas that moved by so much is told in the log.
_MIN_LOGGED_CHANGE = 0.1
_SHARE_DIGITS = 2
# One that said nothing for so long is taken for gone, in seconds: longer than
# the cuts that are asked to be survived, so that its quota isn't given to
# others while it spends it.
EVICT_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Partition:
    """A time in which an entry host was cut off, and granted by itself.

    :ivar granted_share: of all quotas, that it may have granted.
    :ivar start: in seconds.
    :ivar end: when it was heard again, in seconds.
    """

    host_id: ids.HostId
    granted_share: float
    start: float
    end: float

    def used_since(self, since: float) -> float:
        """Give the seconds' worth of all quotas that it granted since then."""
        return self.granted_share * max(self.end - max(self.start, since), 0)


class EntryHosts:
    """The entry hosts that a control host hears of.

    :ivar demand: what they asked of this host as the coordinator.
    """

    def __init__(self, quota_seconds: float) -> None:
        """Know of none.

        :param quota_seconds: length of the window over which quotas hold.
        """
        self.demand = demand.Demand()
        self._quota_seconds = quota_seconds
        self._term_start = float('inf')
        self._partitions: list[_Partition] = []
        self._last_seen: dict[ids.HostId, float] = {}
        self._shares: dict[ids.HostId, float] = {}
        self._initial_shares: dict[ids.HostId, float] = {}
        self._reported_count = 0
        self._reported_at = float('-inf')

    def start_term(self, now: float) -> None:
        """Take that this host coordinates now and didn't before.

        A host that watched or pinged this one before then, and is silent
        till it turns here, wasn't cut off.
        """
        self._term_start = now
        self._partitions.clear()
        self._initial_shares.clear()

    def record_seen(self, host_id: ids.HostId, now: float) -> None:
        """Note a sign of life."""
        before = self._last_seen.get(host_id, now)
        silent = now - before > REACHABLE_SECONDS
        if silent and before >= self._term_start:
            granted_share = self._standalone_share(host_id, now)
            self._partitions.append(
                _Partition(host_id, granted_share, before, now)
            )
        # In the order of time, so that the silent ones come first.
        self._last_seen.pop(host_id, None)
        self._last_seen[host_id] = now

    def set_share(self, host_id: ids.HostId, share: float) -> None:
        """Take the part of all requests that a host was told it has."""
        self._shares[host_id] = share
        self._initial_shares.setdefault(host_id, share)

    def remove_host(self, host_id: ids.HostId) -> None:
        """Take a farewell."""
        self._last_seen.pop(host_id, None)
        self._shares.pop(host_id, None)
        self._initial_shares.pop(host_id, None)
        self.demand.remove(host_id)

    def set_reported_count(self, host_count: int, now: float) -> None:
        """Take the number that the log's leader counts."""
        self._reported_count = host_count
        self._reported_at = now

    def count(self, now: float) -> int:
        """Give how many there are."""
        for host_id in self._unseen_for(EVICT_SECONDS, now):
            self.remove_host(host_id)
        told_count = (
            self._reported_count
            if now - self._reported_at < EVICT_SECONDS
            else 0
        )
        return max(len(self._last_seen), told_count)

    def count_reachable(self, now: float) -> int:
        """Give how many were heard lately."""
        return len(self._last_seen) - len(
            self._unseen_for(REACHABLE_SECONDS, now)
        )

    def share_of(self, host_id: ids.HostId, now: float) -> float:
        """Give a host's part of all requests."""
        return self.demand.share(host_id, self.count(now), now)

    def standalone_share_for(self, host_id: ids.HostId, now: float) -> float:
        """Give the part that a host may grant by itself, once it is alone.

        Its part of what is left: of two hosts out of three that are cut off,
        the third would else be told that all is its own, and a coordinator
        after this one would leave nothing to the others.
        """
        return self.share_of(host_id, now) * self.reachable_share(now)

    def reachable_share(self, now: float) -> float:
        """Give the part of those that are heard, as the others' rest.

        What a host granted by itself before it came back counts too, for as
        long as it is within the window of the quotas: given to all at once,
        a customer that took all it could get from two hosts got 1.41 quotas in
        8 s around the end of a cut of 7 s, and 1.11 with this.

        >>> some = EntryHosts(8)
        >>> some.record_seen(ids.HostId('a'), 0), some.record_seen(ids.HostId('b'), 5)
        (None, None)
        >>> some.reachable_share(5)
        0.5
        """
        host_count = self.count(now)
        lost = self._unseen_for(REACHABLE_SECONDS, now)
        kept = sum(self._standalone_share(host, now) for host in lost)
        kept += self._unseen_share(host_count, now)
        return 1 - min(kept + self._share_used_by_returned(lost, now), 1)

    def _unseen_share(self, host_count: int, now: float) -> float:
        """Give the part of hosts that another coordinator told of.

        They were not heard since this host coordinates: a cut took them with
        the coordinator before it, and they grant their part by themselves:
        what is left by the parts that the others were told before. By even
        parts a host that has a third of all requests of six hosts would be
        taken for one with a sixth.

        :param host_count: of all entry hosts.
        """
        if now - self._term_start < _HANDOVER_SECONDS:
            return 0
        if host_count <= len(self._last_seen):
            return 0
        even = 1 / host_count
        brought = sum(
            self._initial_shares.get(host, even) for host in self._last_seen
        )
        return max(1 - brought, 0)

    def _share_used_by_returned(
        self,
        lost: typing.Sequence[ids.HostId],
        now: float,
    ) -> float:
        """Give the part that hosts granted by themselves within a window."""
        since = now - self._quota_seconds
        self._partitions = [
            partition for partition in self._partitions if partition.end > since
        ]
        used_seconds = sum(
            partition.used_since(since)
            for partition in self._partitions
            if partition.host_id in self._last_seen
            and partition.host_id not in lost
        )
        return used_seconds / self._quota_seconds

    def _standalone_share(self, host_id: ids.HostId, now: float) -> float:
        """Give the part that a lost host grants by itself.

        It goes by the last part that it was told, while its part of what
        comes here falls with each second of silence.
        """
        reported = self._shares.get(host_id)
        return self.share_of(host_id, now) if reported is None else reported

    def reported_share(self, now: float) -> float:
        """Give the part of those that are heard, by their own words."""
        even = 1 / max(self.count(now), 1)
        lost = self._unseen_for(REACHABLE_SECONDS, now)
        parts = [
            self._shares.get(host, even)
            for host in self._last_seen
            if host not in lost
        ]
        return min(sum(parts), 1)

    def _unseen_for(self, seconds: float, now: float) -> list[ids.HostId]:
        """List those that said nothing for longer than some seconds."""
        reported = itertools.takewhile(
            lambda item: now - item[1] > seconds,
            self._last_seen.items(),
        )
        return [host_id for host_id, _ in reported]


class Leadership:
    """The coordinator as this host sees it; see :class:`views.HostView`.

    :ivar entry_hosts: those that watch or ping this host.
    :ivar reported: what they told of what servers said.
    """

    def __init__(
        self,
        link: peers.Peers,
        log: recorders.Recorders,
        clock: timers.TimerService,
        quota_seconds: float,
    ) -> None:
        """Look who leads from now on, and answer pings.

        :param quota_seconds: length of the window over which quotas hold.
        """
        self.entry_hosts = EntryHosts(quota_seconds)
        self.entry_hosts.start_term(clock.now())
        self.server_notices = notices.Notices(clock)
        self._notice_receiver = notice_exchange.NoticeReceiver(
            link, self.server_notices, clock
        )
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
        """Fires when another host coordinates."""
        return self._changes

    def live(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """Give the coordinator: the log's leader, or else this host.

        Nobody while this host can't know.
        """
        if not self._stall_detector.is_recovered():
            return [_NO_HOST]
        return [self._leader or self._host_id]

    def owners(self, _domain: ids.FailureDomain) -> list[ids.HostId]:
        """List nobody: entry hosts hand over by themselves, at once."""
        return []

    def is_coordinator(self) -> bool:
        """Tell whether this host coordinates."""
        return self._leader in {'', self._host_id}

    def is_log_leader(self) -> bool:
        """Tell whether this host coordinates as the log's leader."""
        return self._leader == self._host_id

    def share(self) -> float:
        """Give the part of each quota that is granted here."""
        now = self._clock.now()
        if self._leader:
            return self.entry_hosts.reachable_share(now)
        return self.entry_hosts.reported_share(now)

    def close(self) -> None:
        """Look no more."""
        self._poll.dispose()

    def _check_log(self) -> None:
        if (
            not self._stall_detector.is_recovered()
            and not self._log.is_leading()
        ):
            # Its queues are as old as its sleep: let them go.
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

    def _log_quota_share(self) -> None:
        """Log the part that is granted here when it has moved."""
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
        # The parts that hosts bring are taken from when this host coordinates.
        self._update_leader()
        now = self._clock.now()
        if ping.leaving:
            self.entry_hosts.remove_host(sender)
        else:
            self.entry_hosts.record_seen(sender, now)
        if ping.share is not None:
            self.entry_hosts.set_share(sender, ping.share)
        self._notice_receiver.apply(sender, ping)
        awake = self._stall_detector.is_recovered()
        pong = ttypes.Pong(
            leads=awake and self._log.is_leading(),
            stands_in=awake and not self._leader,
            hosts=self.entry_hosts.count(now),
            heard=self.entry_hosts.count_reachable(now),
            share=self._share_for(sender, now),
        )
        self._notice_receiver.fill(ping, pong)
        return pong
