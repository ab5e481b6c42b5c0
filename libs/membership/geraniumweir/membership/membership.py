"""Membership of one entry host: failure detection, leases, pool summaries.

Design: docs/design/membership.md.

References
==========
.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent
   infection-style process group membership protocol", DSN 2002.
"""

import asyncio
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.membership import (
    digests,
    dissemination,
    heartbeats,
    hosts,
    pools,
    reports,
    rosters,
    seeds,
    shared_state,
    sharing,
)
from geraniumweir.wire import peers
from reactivex import operators


class Membership:
    """A :class:`hosts.HostView` backed by the membership protocol.

    :ivar progress: newest log index and version of any host; the local ones
        are recorded here.
    :ivar pools: publisher and reader of pool summaries.
    :ivar registry: backend servers of the domain.
    :ivar sharing: applies announcements and shares leases.
    :ivar seeds: joins through seeds and reports failed attempts.
    """

    def __init__(
        self,
        me: hosts.Host,
        peer_layer: peers.Peers,
        timer_service: timers.TimerService,
        options: shared_state.Options | None = None,
    ) -> None:
        """Initialize; nothing is sent before :meth:`start`."""
        self._options = options or shared_state.Options()
        self._shared = shared_state.SharedState(
            me,
            peer_layer,
            timer_service,
            self._options.timing,
        )
        self.progress = self._shared.progress
        self._roster_exchange = rosters.RosterExchange(self._shared)
        self._heartbeats = heartbeats.Heartbeats(
            self._shared,
            self._roster_exchange,
            self._options.seed,
        )
        self._dissemination = dissemination.Dissemination(self._shared)
        self.pools = pools.Pools(self._shared)
        self._digests = digests.Digests(
            self._shared, self._roster_exchange, self.pools
        )
        self.sharing = sharing.Sharing(self._shared)
        self.registry = self.sharing.registry
        self._heartbeats.leases = self.sharing
        self._subscriptions: list[typing.Any] = []
        self.seeds = seeds.Seeds(
            self._shared,
            self._roster_exchange,
            self._options.seeds,
        )

    @property
    def me(self) -> hosts.Host:
        """Return this host."""
        return self._shared.me

    @property
    def changes(self) -> reactivex.Observable[hosts.HostEvent]:
        """Return the stream of typed events of hosts in all domains."""
        return reactivex.merge(
            self._shared.members.changes,
            self._shared.outside.changes,
        )

    @property
    def reported_events(self) -> reactivex.Observable[reports.ReportedEvent]:
        """Return the stream of events that are logged."""
        return reactivex.merge(
            self.changes,
            self.registry.changes,
            self.seeds.failures,
        )

    @property
    def notices(self) -> reactivex.Observable[bytes]:
        """Return the stream of new notices, as opaque bytes."""
        return self._shared.notices.arrivals.pipe(
            operators.map(lambda notice: notice.payload),
        )

    @property
    def is_domain_delegate(self) -> bool:
        """Return whether this host is a delegate of its domain."""
        return self._shared.is_delegate()

    def live(self, domain: ids.FailureDomain) -> tuple[hosts.Host, ...]:
        """Return the live hosts of a failure domain, sorted by id."""
        if domain == self.me.failure_domain:
            return self._shared.members.live()
        return self._shared.outside.live(domain)

    def eligible(self, domain: ids.FailureDomain) -> tuple[hosts.Host, ...]:
        """Return the live hosts of a domain that may lead pools."""
        if domain == self.me.failure_domain:
            return self._shared.eligible()
        found = self._shared.outside.live(domain)
        return tuple(host for host in found if not host.draining)

    def all_live(self) -> tuple[hosts.Host, ...]:
        """Return the live hosts of all reachable domains, own ones first."""
        own = self._shared.members.live()
        return (*own, *self._shared.outside.all_live())

    def is_live(self, host_id: ids.HostId) -> bool:
        """Return whether a host is live."""
        if self._shared.members.is_live(host_id):
            return True
        return self._shared.outside.is_live(host_id)

    def broadcast(self, payload: bytes, seconds: float) -> None:
        """Send a notice to every host; it arrives within a second or two.

        :param payload: opaque; at most ``notices.MAX_PAYLOAD`` bytes.
        :param seconds: time until the notice expires.
        :raises errors.NoticeError: when the payload is too large.
        """
        self._dissemination.broadcast(payload, seconds)

    def set_roles(self, roles: hosts.Role) -> None:
        """Set the roles of this host, such as draining, and publish them."""
        self._shared.members.set_roles(roles)
        self._heartbeats.send_heartbeats()

    async def start(self) -> None:
        """Join through the seeds and start sending.

        A seed that doesn't answer is retried; until one does, the host works
        on its own.
        """
        period = self._options.timing.period
        self._schedule(period, self._heartbeats.tick)
        self._schedule(digests.DIGEST_SECONDS, self._digests.tick)
        self._schedule(digests.DIGEST_SECONDS, self.pools.tick)
        self._schedule(seeds.RETRY_SECONDS, self.seeds.tick)
        await self.seeds.greet_all()
        self._heartbeats.send_heartbeats()

    async def leave(self) -> None:
        """Send two farewells, in case one is lost, and stop."""
        self._heartbeats.send_farewell()
        await asyncio.sleep(self._options.timing.period)
        self._heartbeats.send_farewell()
        self.stop()

    def stop(self) -> None:
        """Stop sending, without a farewell."""
        for subscription in self._subscriptions:
            subscription.dispose()
        self._subscriptions.clear()
        self.seeds.stop()

    def _schedule(
        self,
        period: float,
        action: typing.Callable[[int], None],
    ) -> None:
        ticks = self._shared.timers.every(period)
        self._subscriptions.append(ticks.subscribe(action))
