"""The current coordinator of the pools, as a control host sees it.

The host that leads the log is the coordinator. A control host that cannot reach
a leader stands in for it, for the entry hosts that can reach this host: a
partitioned failure domain then still has one queue for each pool.
"""

import typing

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    reachable_hosts,
    grant_coverage,
    logevents,
    notice_exchange,
    ping_times,
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
_NO_HOST = ids.HostId('')
# A change of the granted share of the quotas by this much is logged.
_MIN_LOGGED_CHANGE = 0.1
_SHARE_DIGITS = 2

FillPong = typing.Callable[[ttypes.Ping, ttypes.Pong], None]


def _add_nothing(_ping: ttypes.Ping, _pong: ttypes.Pong) -> None:
    """Add nothing to an answer."""


class Leadership:
    """The coordinator as a control host sees it; see :class:`views.HostView`.

    :ivar entry_hosts: those that watch or ping this host.
    :ivar coverage: until when their grants are known here.
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
        self.entry_hosts = reachable_hosts.EntryHosts(quota_seconds)
        self.entry_hosts.start_term(clock.now())
        self.coverage = grant_coverage.GrantCoverage()
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
            self.coverage.remove(sender)
        else:
            self.coverage.record_ping(
                sender,
                started=ping.started,
                covered_until=ping_times.sent_at(ping)
                if ping.settled
                else None,
                now=now,
            )
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
            stamp=ping_times.stamp(now),
        )
        self._notice_receiver.fill(ping, pong)
        self.fill_pong(ping, pong)
        return pong
