"""Forwarding of engines' reports to the pool leader.

A backend server reports to any entry host of its failure domain. A lost report
does no harm, as reports only correct the leader's own counts.
"""

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    channel,
    home,
    remote,
    requests,
    translation,
    views,
)
from geraniumweir.wire import peers
from geraniumweir.wire.gen.scheduling import ttypes


class Reporter:
    """Forwarder of reports to the leaders of one failure domain."""

    def __init__(
        self,
        link: channel.Channel,
        view: views.HostView,
        domain: ids.FailureDomain,
        service: remote.LeaderService,
    ) -> None:
        """Initialize and register for reports forwarded by other hosts.

        :param service: the pools that this host leads.
        """
        self._link = link
        self._view = view
        self._domain = domain
        self._service = service
        link.handle(ttypes.LoadReport, self._on_load)
        link.handle(ttypes.CacheEvents, self._on_cache_events)

    def load(self, pool: ids.PoolName, report: requests.LoadReport) -> None:
        """Forward a load report to the pool's leader."""
        message = ttypes.LoadReport(
            pool,
            report.server_id,
            report.running,
            report.waiting,
            report.kv_used,
            float(report.age),
        )
        self._send(pool, message)

    def cache_events(
        self,
        pool: ids.PoolName,
        events: requests.CacheEvents,
    ) -> None:
        """Forward cache events to the pool's leader."""
        message = ttypes.CacheEvents(
            pool,
            events.server_id,
            events.incarnation,
            events.sequence,
            [translation.signed(block) for block in events.stored],
            [translation.signed(block) for block in events.evicted],
        )
        self._send(pool, message)

    def _send(self, pool: ids.PoolName, message: peers.Message) -> None:
        leader = home.leader_by_view(
            self._domain,
            pool,
            view=self._view,
            host_id=self._link.host_id,
        )
        self._link.send(leader, message)

    async def _on_load(
        self,
        _sender: ids.HostId,
        message: ttypes.LoadReport,
    ) -> None:
        leader = self._service.leader(ids.PoolName(message.pool))
        if leader is not None:
            leader.report(
                requests.LoadReport(
                    ids.ServerId(message.server_id),
                    message.running,
                    message.waiting,
                    message.kv_used,
                    message.age,
                ),
            )

    async def _on_cache_events(
        self,
        _sender: ids.HostId,
        message: ttypes.CacheEvents,
    ) -> None:
        leader = self._service.leader(ids.PoolName(message.pool))
        if leader is not None:
            leader.cache_events(
                requests.CacheEvents(
                    ids.ServerId(message.server_id),
                    ids.Incarnation(message.incarnation),
                    message.sequence,
                    translation.block_hashes(message.stored),
                    translation.block_hashes(message.evicted),
                ),
            )
