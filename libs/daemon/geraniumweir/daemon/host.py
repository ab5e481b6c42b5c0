"""An entry host: what its three HTTP faces share."""

import dataclasses

import aiohttp
from geraniumweir.common import ids, timers
from geraniumweir.configuration import compiling, document
from geraniumweir.daemon import request_path, settings
from geraniumweir.membership import servers, sharing
from geraniumweir.scheduling import (
    broker,
    deadline_leader,
    remote,
    reporting,
    requests,
    views,
)
from geraniumweir.scheduling import settings as leader_settings

_ANNOUNCE_INTERVAL_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """What a host that works together with others has besides.

    :ivar broker: finds the pool leaders.
    :ivar service: the pools that this host leads.
    :ivar reporter: hands engines' reports to the pool leaders.
    :ivar sharing: shares the leases of backend servers.
    """

    broker: broker.Broker
    service: remote.LeaderService
    reporter: reporting.Reporter
    sharing: sharing.Sharing


@dataclasses.dataclass(slots=True)
class EntryHost:
    """The parts of one entry host.

    :ivar in_force: the configuration that decides new calls.
    :ivar compiled: the same, ready for deciding them.
    :ivar leaders: the pools of a host that stands alone.
    :ivar draining: no new calls are taken.
    :ivar sure: the configuration was checked against a majority.
    :ivar path: what the calls share.
    :ivar links: None on a host that stands alone.
    """

    cfg: settings.Settings
    timers: timers.TimerService
    session: aiohttp.ClientSession
    registry: servers.Registry
    leaders: dict[ids.PoolName, deadline_leader.DeadlinePoolLeader]
    in_force: document.InForce = document.EMPTY
    compiled: compiling.CompiledDocument = dataclasses.field(
        default_factory=lambda: compiling.CompiledDocument(
            document.EMPTY.document,
        ),
    )
    draining: bool = False
    sure: bool = True
    path: request_path.RequestPath = dataclasses.field(
        default_factory=request_path.RequestPath,
    )
    links: Links | None = None

    def scheduler(self, pool: ids.PoolName) -> views.Scheduler:
        """Give who grants capacity of a pool to this host's calls."""
        if self.links is None:
            return self.leader_of(pool)
        return self.links.broker

    def led(
        self, pool: ids.PoolName
    ) -> deadline_leader.DeadlinePoolLeader | None:
        """Give the leader of a pool, or None when it is on another host."""
        if self.links is None:
            return self.leader_of(pool)
        return self.links.service.leader(pool)

    def leader_of(
        self, pool: ids.PoolName
    ) -> deadline_leader.DeadlinePoolLeader:
        """Give the leader of a pool of a host alone, made on first use."""
        found = self.leaders.get(pool)
        if found is None:
            found = deadline_leader.DeadlinePoolLeader(
                leader_settings.LeaderSettings(pool),
                self.timers.now,
                lambda: self.servers_of(pool),
                self.preempt,
            )
            self.leaders[pool] = found
        return found

    def leads(self) -> list[ids.PoolName]:
        """List the pools led here."""
        if self.links is None:
            return sorted(self.leaders)
        return sorted(self.links.service.pools())

    def announce(self, announcement: servers.Announcement) -> sharing.Reply:
        """Take what a backend server says of itself.

        :raises geraniumweir.membership.errors.AnnouncementError: when it
            can't be taken.
        """
        if self.links is not None:
            return self.links.sharing.announce(announcement)
        self.registry.announce(announcement, self.timers.now())
        self.leader_of(announcement.pool).grant_waiting()
        return sharing.Reply(_ANNOUNCE_INTERVAL_MS, (self.cfg.backend_address,))

    def report_load(
        self,
        pool: ids.PoolName,
        report: requests.LoadReport,
    ) -> None:
        """Give a load report to the pool's leader."""
        if self.links is None:
            self.leader_of(pool).report(report)
        else:
            self.links.reporter.load(pool, report)

    def report_cache(
        self,
        pool: ids.PoolName,
        events: requests.CacheEvents,
    ) -> None:
        """Give cache events to the pool's leader."""
        if self.links is None:
            self.leader_of(pool).cache_events(events)
        else:
            self.links.reporter.cache_events(pool, events)

    def put_in_force(self, in_force: document.InForce) -> None:
        """Decide new calls by another version from now on."""
        self.in_force = in_force
        self.compiled = compiling.CompiledDocument(in_force.document)
        for pool in self.leads():
            found = self.led(pool)
            if found is not None:
                found.grant_waiting()

    def server(
        self,
        server_id: ids.ServerId,
    ) -> servers.Announcement | None:
        """Give what a backend server last said of itself."""
        return self.registry.get(server_id)

    def servers_of(self, pool: ids.PoolName) -> list[servers.Announcement]:
        """List a pool's backend servers that may get new work."""
        doc = self.compiled
        return [
            server
            for server in self.registry.live(self.timers.now())
            if server.pool == pool
            and server.state is servers.ServerState.ready
            and not doc.override(server.server_id).drain
            and not doc.override(server.server_id).forbid
        ]

    def preempt(self, preempt: requests.Preempt) -> None:
        """Cancel a stream in flight for a higher tier."""
        self.path.in_flight.preempt(preempt.request_id)
