"""Puts the parts of an entry host together, and drains it."""

import asyncio
import collections
import contextlib
import dataclasses
import socket

from aiohttp import web
from geraniumweir.backends import calls
from geraniumweir.common import eventlog, ids, starting, timers
from geraniumweir.control import (
    coordinator_client,
    pool_coordination,
    hosts,
    active_document,
    pool_servers,
    watching,
)
from geraniumweir.gateway import (
    listening,
    admission,
    codec,
    forwarding,
    logevents,
    readiness,
    grant_check,
    serving,
)
from geraniumweir.observe import metricnames, metrics
from geraniumweir.rollout import controller
from geraniumweir.routing import finding
from geraniumweir.scheduling import (
    channel,
    notices,
    quotas,
    recent_usage,
    retrybudget,
    retrycounts,
)
from geraniumweir.wire import tcp

# Idle connections to servers are kept for less than servers commonly do.
_BACKEND_IDLE_SECONDS = 4.0
# A lost opening packet is sent again only after a second; another server is
# the better choice long before. In seconds, some hundred round trips.
_CONNECT_SECONDS = 0.3
# After readiness was taken back, new connections still come for two probes of
# a second each.
_ACCEPT_AFTER_UNREADY_SECONDS = 2.5
# What is left of the grace time when connections are broken off, in seconds: a
# process that has requests open must still end before it is killed.
_FORCED_CLOSE_SECONDS = 0.8
# Whether open requests have ended is looked at this often, in seconds.
_POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What an entry host is told.

    :ivar callers_socket: listens there already, None where none does.
    :ivar seeds: gives peer addresses of some control hosts.
    :ivar sure_seconds: what the control hosts last said counts as the newest
        for so long.
    :ivar quota_seconds: length of the window over which quotas hold.
    :ivar tolerance: for what customers used before and isn't known.
    :ivar grace_seconds: from the order to stop until the process is killed.
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    callers: ids.Address
    ready: ids.Address
    seeds: hosts.Seeds
    budget: retrybudget.Budget
    sure_seconds: float
    quota_seconds: float
    tolerance: quotas.Tolerance
    grace_seconds: float
    callers_socket: socket.socket | None = None


class EntryHost:
    """The parts of an entry host."""

    def __init__(
        self,
        cfg: Settings,
        layer: tcp.TcpPeers,
        caller_codec: codec.Codec,
        read: active_document.Read,
        meter: metrics.Metrics,
    ) -> None:
        """Put them together; :meth:`run` starts them."""
        self._cfg = cfg
        self._clock = timers.TimerService()
        self._link = channel.Channel(layer)
        self.watcher = watching.Watcher(
            self._link,
            cfg.failure_domain,
            cfg.seeds,
            read,
        )
        self._server_notices = notices.Notices(self._clock)
        self._coordinator = coordinator_client.CoordinatorClient(
            self._link,
            cfg.failure_domain,
            self.watcher.hosts,
            self._spent,
            self._server_notices,
        )
        self._roster = pool_servers.PoolServers(
            self.watcher.servers,
            self._index,
            cfg.host_id,
            cfg.failure_domain,
            self._server_notices,
        )
        self._service = pool_coordination.make_leader_service(
            pool_coordination.Dependencies(
                link=self._link,
                view=self._coordinator,
                pool_servers=self._roster,
                index=self._index,
                share=self._coordinator.share,
                shares_slots=True,
                quota_seconds=cfg.quota_seconds,
                tolerance=cfg.tolerance,
                hosts=lambda: 1,
                budget=cfg.budget,
                retries=retrybudget.ALONE,
                guide=self._rollout_controller,
                server_notices=self._server_notices,
            ),
            self._clock,
        )
        self.watcher.leaves.subscribe(
            lambda start: self._server_notices.apply(
                notices.leaving(start, cfg.host_id, self._clock.now()),
            ),
        )
        for changes in (self.watcher.changes, self._server_notices.changes):
            pool_coordination.grant_on_changes(self._service, changes)
        self._broker = pool_coordination.make_broker(
            self._link,
            self._coordinator,
            self._clock,
            self._coordinator.awaits_election,
        )
        self._scheduler = recent_usage.UsageRecorder(
            self._broker,
            self._clock,
            cfg.quota_seconds,
            starting.AT,
            retrycounts.RetryCounter(
                cfg.budget.window,
                starting.AT,
                self._coordinator.coordinator_id,
            ),
        )
        self._codec = caller_codec
        self._meter = meter
        meter.gauge(metricnames.LIMITED_SERVERS, self._limited_servers)
        self._readiness = readiness.Readiness(self.document_state)
        self._caller_server: serving.CallerServer | None = None

    def document_state(self) -> admission.DocumentState:
        """Give what this host decides by now."""
        age = self._clock.now() - self.watcher.confirmed_at
        return admission.DocumentState(
            self.watcher.index,
            age <= self._cfg.sure_seconds,
        )

    async def run(
        self,
        stack: contextlib.AsyncExitStack,
        stop: asyncio.Event,
    ) -> None:
        """Serve until told to stop, then drain.

        :param stack: stops what is left.
        """
        session = await stack.enter_async_context(
            calls.make_session(_CONNECT_SECONDS, _BACKEND_IDLE_SECONDS),
        )
        shared = forwarding.SharedResources(
            session,
            self._codec,
            self._scheduler,
            self._cfg.host_id,
            self._server_notices,
            grant_check.GrantCheck(
                self._cfg.host_id,
                self._server_notices,
                self._roster,
                self._clock,
            ),
            self._meter,
        )
        caller_server = serving.CallerServer(
            serving.HostLocation(self._cfg.host_id, self._cfg.failure_domain),
            self.document_state,
            shared,
            self._meter,
        )
        self._start(stack)
        ready = listening.make_runner(self._readiness.server())
        await listening.listen(stack, ready, self._cfg.ready)
        callers = listening.make_runner(caller_server.server())
        await listening.listen(
            stack,
            callers,
            self._cfg.callers,
            self._cfg.callers_socket,
        )
        eventlog.emit(
            logevents.SERVING,
            callers=str(self._cfg.callers),
            ready=str(self._cfg.ready),
        )
        await stop.wait()
        await self._drain(caller_server, callers)

    def _limited_servers(self) -> dict[tuple[str, ...], float]:
        """Count the servers that name a limit, by pool."""
        counted: collections.Counter[tuple[str, ...]] = collections.Counter()
        for server_id, _ in self._server_notices.limits():
            found = self.watcher.servers.get(server_id)
            if found is not None:
                counted[(found.pool,)] += 1
        return dict(counted)

    def _spent(self, host_id: ids.HostId) -> recent_usage.RecentUsage:
        return self._scheduler.usage_for(host_id)

    def _rollout_controller(
        self, pool: ids.PoolName
    ) -> controller.RolloutController:
        """Follow a pool's rollout; only its coordinator tries new servers."""
        return controller.RolloutController(
            lambda: self.watcher.rollout(pool),
            self._clock.now,
        )

    def _index(self) -> finding.Index | None:
        return self.watcher.index

    def _start(self, stack: contextlib.AsyncExitStack) -> None:
        stack.push_async_callback(self._link.close)
        stack.callback(self._service.close)
        stack.callback(self._broker.close)
        for work in (self.watcher.run(), self._coordinator.run()):
            task = asyncio.create_task(work)
            stack.callback(task.cancel)

    async def _drain(
        self,
        caller_server: serving.CallerServer,
        callers: web.ServerRunner,
    ) -> None:
        """End all requests with their answers, then all connections."""
        started = self._clock.now()
        end = started + self._cfg.grace_seconds - _FORCED_CLOSE_SECONDS
        self._readiness.leave()
        caller_server.traffic.closing = True
        eventlog.emit(
            logevents.DRAINING,
            open=caller_server.traffic.open,
            seconds=self._cfg.grace_seconds,
        )
        await asyncio.sleep(_ACCEPT_AFTER_UNREADY_SECONDS)
        for site in list(callers.sites):
            await site.stop()
        caller_server.close_idle()
        while caller_server.traffic.open and self._clock.now() < end:
            await asyncio.sleep(_POLL_SECONDS)
        await self._coordinator.leave()
        eventlog.emit(logevents.STOPPED, open=caller_server.traffic.open)
