"""A pool leader: keeps the queue and grants requests to backend servers.

Waiting requests are served in tier order, then by deadline; a server gets a
request while it has a free slot.
"""

import asyncio
import collections
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests, settings

_QUEUE_LIMIT = 1000


class PoolLeader:
    """Grants the capacity of one pool in one failure domain."""

    def __init__(
        self,
        cfg: settings.LeaderSettings,
        now: typing.Callable[[], float],
        live: typing.Callable[[], typing.Sequence[servers.Announcement]],
        on_preempt: typing.Callable[[requests.Preempt], None],
    ) -> None:
        """Start with an empty queue.

        :param now: gives the time in seconds, the loop's clock.
        :param live: gives the pool's backend servers that may get work.
        :param on_preempt: told of a stream that its owner is to cancel.
        """
        self._cfg = cfg
        self._now = now
        self._on_preempt = on_preempt
        self._live = live
        self._waiting: dict[
            ids.RequestId, tuple[requests.Ask, asyncio.Future[requests.Grant]]
        ] = {}
        self._running: dict[ids.RequestId, ids.ServerId] = {}

    async def ask(
        self,
        ask: requests.Ask,
    ) -> requests.Grant | requests.Denial:
        """Wait for a backend server.

        :param ask: what waits; its deadline is on the loop's clock.
        :returns: a grant, or a denial once there can be none in time.
        """
        if len(self._waiting) >= _QUEUE_LIMIT:
            reason = requests.DenialReason.queue_full
            return requests.Denial(ask.request_id, reason)
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[requests.Grant] = loop.create_future()
        self._waiting[ask.request_id] = (ask, fut)
        self.grant_waiting()
        try:
            async with asyncio.timeout_at(ask.deadline):
                return await fut
        except TimeoutError:
            reason = requests.DenialReason.too_late
            return requests.Denial(ask.request_id, reason)
        finally:
            self._waiting.pop(ask.request_id, None)

    def release(self, release: requests.Release) -> None:
        """Take back a grant and serve who waits.

        :param release: how the work ended.
        """
        self._running.pop(release.request_id, None)
        self.grant_waiting()

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Drop a request whose caller went away while it waited."""

    def progress(self, progress: requests.Progress) -> None:
        """Take how granted work goes on."""

    def report(self, report: requests.LoadReport) -> None:
        """Take an engine's load report."""

    def cache_events(self, events: requests.CacheEvents) -> None:
        """Take an engine's cache events."""

    def server_crashed(
        self,
        server_id: ids.ServerId,
        incarnation: ids.Incarnation,
    ) -> None:
        """Take that a server crashed.

        :param incarnation: the one that is gone.
        """

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants in use that another leader gave."""

    def settled(self) -> None:
        """Start granting: all owners have handed over their grants."""

    def summary(self) -> requests.PoolSummary:
        """Sum up the pool for other hosts."""
        return requests.PoolSummary(self._cfg.pool)

    def grant_waiting(self) -> None:
        """Grant as much as there are free slots; called on any change."""
        order = sorted(
            self._waiting.values(),
            key=lambda entry: (entry[0].tier, entry[0].deadline),
        )
        for ask, fut in order:
            server = self._free_server()
            if server is None:
                return
            if fut.done():
                continue
            self._running[ask.request_id] = server.server_id
            self._waiting.pop(ask.request_id, None)
            fut.set_result(
                requests.Grant(
                    ask.request_id,
                    server.server_id,
                    server.incarnation,
                    server.address,
                ),
            )

    def _free_server(self) -> servers.Announcement | None:
        load = collections.Counter(self._running.values())
        free = [
            server
            for server in self._live()
            if load[server.server_id] < server.slots
        ]
        if not free:
            return None
        return min(free, key=lambda server: load[server.server_id])
