"""Propagation of pool summaries from leaders to hosts of other domains.

A leader sends a changed summary to the delegates of its domain. Their digests
carry a version; the delegates of other domains request what is newer. The
hosts that follow those delegates do so every thirty seconds, or at once and
then every second while the summaries of a pool are in demand.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.membership import poolsummaries, shared_state
from geraniumweir.wire.gen.membership import ttypes

REFRESH_TICKS = 10
FOLLOW_TICKS = 30
PULL_SECONDS = 2.0
DEMAND_SECONDS = 10.0


class Pools:
    """Publisher and reader of pool summaries.

    :ivar own_domain: table of the own domain, complete at delegates only.
    :ivar other_domains: table of the other domains.
    """

    def __init__(self, shared: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._shared = shared
        self.own_domain = poolsummaries.SummaryTable(shared.me.incarnation)
        self.other_domains = poolsummaries.SummaryTable(shared.me.incarnation)
        self._published: dict[ids.PoolName, poolsummaries.PoolSummary] = {}
        self._pending: set[ids.PoolName] = set()
        self._received: dict[tuple[ids.HostId, bool], tuple[int, int]] = {}
        self._pull_limiter = shared_state.Limiter(PULL_SECONDS)
        self._in_demand_until = float(0)
        shared.peers.handle(ttypes.SummaryUpdate, self._on_update)
        shared.peers.handle(ttypes.SummariesRequest, self._on_request)
        shared.peers.handle(ttypes.Summaries, self._on_summaries)

    def publish(self, summary: poolsummaries.PoolSummary) -> None:
        """Publish the summary of a pool led here, within a second."""
        before = self._published.get(summary.pool)
        if before is None or poolsummaries.is_significant(before, summary):
            self._published[summary.pool] = summary
            self._pending.add(summary.pool)

    def withdraw(self, pool: ids.PoolName) -> None:
        """Stop publishing a pool that another host leads now."""
        self._published.pop(pool, None)
        self._pending.discard(pool)

    def summaries(
        self,
        pool: ids.PoolName,
        tier: ids.Tier = ids.Tier.urgent,
    ) -> list[poolsummaries.PoolSummary]:
        """Return the summaries of a pool in other domains, best first.

        Those whose leader isn't live in the view of this host are left out.
        """
        now = self._shared.now()
        if now >= self._in_demand_until:
            self._pull()
        self._in_demand_until = now + DEMAND_SECONDS
        found = [
            summary
            for summary in self.other_domains.of_pool(pool)
            if self._shared.outside.is_live(summary.leader)
        ]
        return poolsummaries.best_first(found, tier)

    def tick(self, count: int) -> None:
        """Send pending summaries and request new ones, once a second.

        :param count: of ticks.
        """
        if count % REFRESH_TICKS == 0:
            self._pending.update(self._published)
        pending = sorted(self._pending)
        self._pending.clear()
        if pending:
            self._send([self._published[pool] for pool in pending])
        in_demand = self._shared.now() < self._in_demand_until
        first = (self._shared.followed(), False) not in self._received
        if in_demand or first or count % FOLLOW_TICKS == 0:
            self._pull()

    def compare(self, source: ids.HostId, version: int) -> None:
        """Request the new summaries of the delegate of another domain."""
        if self._received.get((source, True), (0, 0))[1] == version:
            return
        if self._pull_limiter.allows(source, self._shared.now()):
            self._request_summaries(source, inside=True)

    def _send(self, found: list[poolsummaries.PoolSummary]) -> None:
        message = ttypes.SummaryUpdate(list(map(poolsummaries.write, found)))
        for host in self._shared.delegates():
            if host.host_id == self._shared.me.host_id:
                self._update_own_domain(found)
            else:
                self._shared.peers.send(host.host_id, message)

    def _update_own_domain(
        self,
        found: typing.Iterable[poolsummaries.PoolSummary],
    ) -> None:
        for summary in found:
            if summary.failure_domain == self._shared.me.failure_domain:
                self.own_domain.record(summary)

    def _pull(self) -> None:
        followed = self._shared.followed()
        if followed is not None:
            self._request_summaries(followed, inside=False)

    def _request_summaries(self, to: ids.HostId, *, inside: bool) -> None:
        epoch, version = self._received.get((to, inside), (0, 0))
        message = ttypes.SummariesRequest(inside, epoch, version)
        self._shared.peers.send(to, message)

    async def _on_update(
        self,
        sender: ids.HostId,
        message: ttypes.SummaryUpdate,
    ) -> None:
        self._update_own_domain(map(poolsummaries.read, message.summaries))

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.SummariesRequest,
    ) -> None:
        table = self.own_domain if message.inside else self.other_domains
        answer = ttypes.Summaries(
            message.inside,
            table.epoch,
            table.version,
            table.changes_since(message.epoch, message.since),
        )
        self._shared.peers.send(sender, answer)

    async def _on_summaries(
        self,
        sender: ids.HostId,
        message: ttypes.Summaries,
    ) -> None:
        if len(self._received) >= poolsummaries.MAX_POOLS:
            self._received.clear()
        self._received[(sender, message.inside)] = (
            message.epoch,
            message.version,
        )
        for entry in message.changed:
            summary = self.other_domains.merge(entry)
            if summary is None:
                self._received.pop((sender, message.inside), None)
            elif summary.failure_domain != self._shared.me.failure_domain:
                self.other_domains.record(summary)
