"""Carries pool summaries from leaders to the hosts of other domains.

A leader sends a summary that changed to its domain's delegates. Their
digests carry a number; the delegates of other domains ask for what is newer,
and so do the hosts that follow those: every thirty seconds, or at once and
then every second while somebody wants a pool.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.membership import poolsummaries, shared_state
from geraniumweir.wire.gen.membership import ttypes

REFRESH_TICKS = 10
FOLLOW_TICKS = 30
PULL_SECONDS = 2.0
WANTED_SECONDS = 10.0


class Pools:
    """Publishes and gathers pool summaries.

    :ivar inside: of the own domain, complete at its delegates only.
    :ivar beyond: of the other domains.
    """

    def __init__(self, known: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._known = known
        self.inside = poolsummaries.Board(known.me.incarnation)
        self.beyond = poolsummaries.Board(known.me.incarnation)
        self._published: dict[ids.PoolName, poolsummaries.PoolSummary] = {}
        self._due: set[ids.PoolName] = set()
        self._got: dict[tuple[ids.HostId, bool], tuple[int, int]] = {}
        self._pulls = shared_state.Limiter(PULL_SECONDS)
        self._wanted_until = float(0)
        known.peers.handle(ttypes.SummaryUpdate, self._on_update)
        known.peers.handle(ttypes.SummariesRequest, self._on_request)
        known.peers.handle(ttypes.Summaries, self._on_summaries)

    def publish(self, summary: poolsummaries.PoolSummary) -> None:
        """Say how a pool stands that is led here; sent within a second."""
        before = self._published.get(summary.pool)
        if before is None or poolsummaries.matters(before, summary):
            self._published[summary.pool] = summary
            self._due.add(summary.pool)

    def withdraw(self, pool: ids.PoolName) -> None:
        """Stop speaking for a pool, as another host leads it now."""
        self._published.pop(pool, None)
        self._due.discard(pool)

    def summaries(
        self,
        pool: ids.PoolName,
        tier: ids.Tier = ids.Tier.urgent,
    ) -> list[poolsummaries.PoolSummary]:
        """List a pool's summaries in other domains, best first.

        Those whose leader isn't live, as far as is known here, are left out.
        """
        now = self._known.now()
        if now >= self._wanted_until:
            self._pull_now()
        self._wanted_until = now + WANTED_SECONDS
        found = [
            summary
            for summary in self.beyond.of_pool(pool)
            if self._known.outside.is_live(summary.leader)
        ]
        return poolsummaries.best_first(found, tier)

    def tick(self, count: int) -> None:
        """Send what is due and ask for what is new; once a second.

        :param count: of ticks.
        """
        if count % REFRESH_TICKS == 0:
            self._due.update(self._published)
        due = sorted(self._due)
        self._due.clear()
        if due:
            self._send([self._published[pool] for pool in due])
        wanted = self._known.now() < self._wanted_until
        first = (self._known.followed(), False) not in self._got
        if wanted or first or count % FOLLOW_TICKS == 0:
            self._pull_now()

    def compare(self, source: ids.HostId, version: int) -> None:
        """Ask the delegate of another domain for what is new there."""
        if self._got.get((source, True), (0, 0))[1] == version:
            return
        if self._pulls.allows(source, self._known.now()):
            self._ask(source, inside=True)

    def _send(self, found: list[poolsummaries.PoolSummary]) -> None:
        message = ttypes.SummaryUpdate(list(map(poolsummaries.write, found)))
        for host in self._known.delegates():
            if host.host_id == self._known.me.host_id:
                self._put_inside(found)
            else:
                self._known.peers.send(host.host_id, message)

    def _put_inside(
        self,
        found: typing.Iterable[poolsummaries.PoolSummary],
    ) -> None:
        for summary in found:
            if summary.failure_domain == self._known.me.failure_domain:
                self.inside.put(summary)

    def _pull_now(self) -> None:
        followed = self._known.followed()
        if followed is not None:
            self._ask(followed, inside=False)

    def _ask(self, to: ids.HostId, *, inside: bool) -> None:
        epoch, version = self._got.get((to, inside), (0, 0))
        message = ttypes.SummariesRequest(inside, epoch, version)
        self._known.peers.send(to, message)

    async def _on_update(
        self,
        sender: ids.HostId,
        message: ttypes.SummaryUpdate,
    ) -> None:
        self._put_inside(map(poolsummaries.read, message.summaries))

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.SummariesRequest,
    ) -> None:
        board = self.inside if message.inside else self.beyond
        answer = ttypes.Summaries(
            message.inside,
            board.epoch,
            board.version,
            board.since(message.epoch, message.since),
        )
        self._known.peers.send(sender, answer)

    async def _on_summaries(
        self,
        sender: ids.HostId,
        message: ttypes.Summaries,
    ) -> None:
        if len(self._got) >= poolsummaries.MAX_POOLS:
            self._got.clear()
        self._got[(sender, message.inside)] = (message.epoch, message.version)
        for entry in message.changed:
            summary = self.beyond.merge(entry)
            if summary is None:
                self._got.pop((sender, message.inside), None)
            elif summary.failure_domain != self._known.me.failure_domain:
                self.beyond.put(summary)
