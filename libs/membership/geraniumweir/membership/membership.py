"""Membership of one entry host: its parts together, with one face.

Weighed in docs/design/membership.md.

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
    heartbeats,
    hosts,
    pools,
    reports,
    rosters,
    seeds,
    shared_state,
    sharing,
    spreading,
)
from geraniumweir.wire import peers
from reactivex import operators


class Membership:
    """A :class:`hosts.HostView` that is kept up to date.

    :ivar progress: newest log index and version heard of; raise it here.
    :ivar pools: summaries of pools, to publish and to read.
    :ivar registry: backend servers of the domain.
    :ivar sharing: takes announcements and shares leases.
    :ivar seeds: tells of seeds that don't answer.
    """

    def __init__(
        self,
        me: hosts.Host,
        peer_layer: peers.Peers,
        timer_service: timers.TimerService,
        options: shared_state.Options | None = None,
    ) -> None:
        """Build the parts; nothing is sent before :meth:`start`."""
        self._options = options or shared_state.Options()
        self._known = shared_state.SharedState(
            me,
            peer_layer,
            timer_service,
            self._options.timing,
        )
        self.progress = self._known.progress
        self._lists = rosters.Rosters(self._known)
        self._beats = heartbeats.Heartbeats(
            self._known,
            self._lists,
            self._options.seed,
        )
        self._spreading = spreading.Spreading(self._known)
        self.pools = pools.Pools(self._known)
        self._digests = digests.Digests(self._known, self._lists, self.pools)
        self.sharing = sharing.Sharing(self._known)
        self.registry = self.sharing.registry
        self._beats.leases = self.sharing
        self._running: list[typing.Any] = []
        self.seeds = seeds.Seeds(
            self._known,
            self._lists,
            self._options.seeds,
        )

    @property
    def me(self) -> hosts.Host:
        """Give this host."""
        return self._known.me

    @property
    def changes(self) -> reactivex.Observable[hosts.HostEvent]:
        """Give the stream of typed events of hosts in all domains."""
        return reactivex.merge(
            self._known.members.changes,
            self._known.outside.changes,
        )

    @property
    def reported_events(self) -> reactivex.Observable[reports.Reported]:
        """Give all that is worth a line in the log."""
        return reactivex.merge(
            self.changes,
            self.registry.changes,
            self.seeds.failures,
        )

    @property
    def notices(self) -> reactivex.Observable[bytes]:
        """Give the stream of notices that arrive, as opaque bytes."""
        return self._known.notices.arrivals.pipe(
            operators.map(lambda notice: notice.payload),
        )

    @property
    def speaks_for_domain(self) -> bool:
        """Tell whether this host is a delegate of its domain."""
        return self._known.is_delegate()

    def live(self, domain: ids.FailureDomain) -> tuple[hosts.Host, ...]:
        """List the live hosts of a failure domain, by id."""
        if domain == self.me.failure_domain:
            return self._known.members.live()
        return self._known.outside.live(domain)

    def eligible(self, domain: ids.FailureDomain) -> tuple[hosts.Host, ...]:
        """List the live hosts of a domain that may lead pools."""
        if domain == self.me.failure_domain:
            return self._known.eligible()
        found = self._known.outside.live(domain)
        return tuple(host for host in found if not host.draining)

    def all_live(self) -> tuple[hosts.Host, ...]:
        """List the live hosts of all reachable domains."""
        own = self._known.members.live()
        return (*own, *self._known.outside.all_live())

    def is_live(self, host_id: ids.HostId) -> bool:
        """Tell whether a host is live."""
        if self._known.members.is_live(host_id):
            return True
        return self._known.outside.is_live(host_id)

    def broadcast(self, payload: bytes, seconds: float) -> None:
        """Let every host hear of some opaque bytes within a second or two.

        :param seconds: how long they count.
        :raises errors.NoticeError: when they are too many.
        """
        self._spreading.broadcast(payload, seconds)

    def set_roles(self, roles: hosts.Role) -> None:
        """Change this host's roles, such as draining; told at once."""
        self._known.members.set_roles(roles)
        self._beats.beat()

    async def start(self) -> None:
        """Greet the seeds and begin to send.

        A seed that doesn't answer is tried again; a host without any goes on
        alone.
        """
        period = self._options.timing.period
        self._every(period, self._beats.tick)
        self._every(digests.DIGEST_SECONDS, self._digests.tick)
        self._every(digests.DIGEST_SECONDS, self.pools.tick)
        self._every(seeds.RETRY_SECONDS, self.seeds.tick)
        await self.seeds.greet_all()
        self._beats.beat()

    async def leave(self) -> None:
        """Say farewell twice and stop."""
        self._beats.farewell()
        await asyncio.sleep(self._options.timing.period)
        self._beats.farewell()
        self.stop()

    def stop(self) -> None:
        """Send no more, without a farewell."""
        for subscription in self._running:
            subscription.dispose()
        self._running.clear()
        self.seeds.stop()

    def _every(
        self,
        period: float,
        action: typing.Callable[[int], None],
    ) -> None:
        ticks = self._known.timers.every(period)
        self._running.append(ticks.subscribe(action))
