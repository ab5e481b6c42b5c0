"""An entry host: the state that its three HTTP applications share."""

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
    """The further parts of a host that cooperates with others.

    :ivar broker: finds the pool leaders and requests slots from them.
    :ivar service: the pools that this host leads.
    :ivar reporter: forwards engines' reports to the pool leaders.
    :ivar sharing: shares the leases of backend servers.
    """

    broker: broker.Broker
    service: remote.LeaderService
    reporter: reporting.Reporter
    sharing: sharing.Sharing


@dataclasses.dataclass(slots=True)
class EntryHost:
    """The parts of one entry host.

    :ivar leaders: the pool leaders of a standalone host.
    :ivar in_force: the configuration that new requests are routed by.
    :ivar compiled: the same, compiled for matching.
    :ivar draining: whether new requests are refused.
    :ivar sure: whether the configuration was checked against a majority.
    :ivar path: the parts that all requests use.
    :ivar links: None on a standalone host.
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
        """Return the scheduler that grants slots of a pool to this host."""
        if self.links is None:
            return self.leader_of(pool)
        return self.links.broker

    def led(
        self, pool: ids.PoolName
    ) -> deadline_leader.DeadlinePoolLeader | None:
        """Return the leader of a pool, or None when it is on another host."""
        if self.links is None:
            return self.leader_of(pool)
        return self.links.service.leader(pool)

    def leader_of(
        self, pool: ids.PoolName
    ) -> deadline_leader.DeadlinePoolLeader:
        """Return a pool's leader on a standalone host, made on first use."""
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
        """Return the pools led by this host, sorted."""
        if self.links is None:
            return sorted(self.leaders)
        return sorted(self.links.service.pools())

    def announce(self, announcement: servers.Announcement) -> sharing.Reply:
        """Register the announcement of a backend server.

        :raises geraniumweir.membership.errors.AnnouncementError: when it
            is rejected.
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
        """Forward a load report to the pool's leader."""
        if self.links is None:
            self.leader_of(pool).report(report)
        else:
            self.links.reporter.load(pool, report)

    def report_cache(
        self,
        pool: ids.PoolName,
        events: requests.CacheEvents,
    ) -> None:
        """Forward cache events to the pool's leader."""
        if self.links is None:
            self.leader_of(pool).cache_events(events)
        else:
            self.links.reporter.cache_events(pool, events)

    def put_in_force(self, in_force: document.InForce) -> None:
        """Route new requests by another version from now on."""
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
        """Return the last announcement of a backend server, or None."""
        return self.registry.get(server_id)

    def servers_of(self, pool: ids.PoolName) -> list[servers.Announcement]:
        """Return a pool's backend servers that may get new requests."""
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
        """Stop a request in flight in favour of a higher tier."""
        self.path.in_flight.preempt(preempt.request_id)
