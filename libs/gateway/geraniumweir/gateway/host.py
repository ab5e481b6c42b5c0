"""Assembles the components of an entry host."""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import typing

import aiohttp
from geraniumweir.backends import calls, sockets
from geraniumweir.common import background, eventlog, ids, starting, timers
from geraniumweir.control import (
    coordinator_client,
    pool_coordination,
    hosts,
    active_document,
    pool_servers,
    stream_directory,
    stream_exchange,
    watching,
)
from geraniumweir.gateway import (
    codec,
    confirmation,
    context,
    grant_check,
    host_stop,
    listening,
    logevents,
    overload,
    preemption,
    readiness,
    relay_client,
    relay_server,
    response_buffer,
    response_notices,
    server_paths,
    serving,
)
from geraniumweir.observe import metricnames, metrics
from geraniumweir.rollout import controller
from geraniumweir.routing import finding
from geraniumweir.scheduling import (
    channel,
    notices,
    part_evidence,
    quotas,
    recent_usage,
    retrybudget,
    retrycounts,
)
from geraniumweir.wire import tcp

# Shorter than the time after which servers commonly close idle connections.
_BACKEND_IDLE_SECONDS = 4.0
# A lost SYN packet is sent again only after a second, and another server is the
# better choice long before. This is some hundred round trips.
_CONNECT_SECONDS = 0.3


def _no_address(_host_id: ids.HostId) -> None:
    """Return no address."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an entry host.

    :ivar callers: address for callers.
    :ivar ready: address for readiness probes.
    :ivar seeds: returns peer addresses of some control hosts.
    :ivar sure_seconds: seconds for which an answer of the control hosts counts
        as up to date.
    :ivar quota_seconds: length of the window over which quotas apply.
    :ivar tolerance: allowance for earlier usage of customers that this host
        has no figures of.
    :ivar grace_seconds: seconds from the stop signal until the process is
        killed.
    :ivar relay: address at which other entry hosts send requests for backend
        servers that they don't reach, None to dispatch for no others.
    :ivar relay_of: returns that address of another entry host.
    :ivar memory_bytes: memory that the process may use, None if unknown.
    :ivar callers_socket: socket that listens at ``callers`` already, None
        without one.
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
    memory_bytes: int | None = None
    callers_socket: socket.socket | None = None
    relay: ids.Address | None = None
    relay_of: typing.Callable[[ids.HostId], ids.Address | None] = _no_address


class EntryHost:
    """An entry host and its components."""

    def __init__(
        self,
        cfg: Settings,
        layer: tcp.TcpPeers,
        caller_codec: codec.Codec,
        read: active_document.Read,
        meter: metrics.Metrics,
    ) -> None:
        """Initialize the components; :meth:`run` starts them."""
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
        parts = part_evidence.PartEvidence()
        self._coordinator = coordinator_client.CoordinatorClient(
            self._link,
            cfg.failure_domain,
            self.watcher.hosts,
            self._get_usage,
            self._server_notices,
            self._relays_for_others,
            parts,
        )
        self._paths = server_paths.ServerPaths(
            self._clock,
            sockets.probe,
            lambda: [one.address for one in self.watcher.servers.known()],
        )
        self._relay_server: relay_server.RelayServer | None = None
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
                parts=parts,
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
        self._streams = self._make_stream_directory()
        self._coordinator.is_settled = self._streams.is_settled
        self._codec = caller_codec
        self._meter = meter
        meter.gauge(metricnames.LIMITED_SERVERS, self._limited_servers)
        self._buffers = response_buffer.make_buffers(meter, cfg.memory_bytes)
        self._confirmation = confirmation.Confirmation(
            self.watcher, cfg.sure_seconds, meter
        )
        self._readiness = readiness.Readiness(self._confirmation.document_state)
        self._caller_server: serving.CallerServer | None = None

    def _make_stream_directory(self) -> stream_directory.StreamDirectory:
        return stream_directory.StreamDirectory(
            self._link,
            stream_exchange.make_origins(self._clock, self.watcher.servers.get),
            self._coordinator,
            self._clock,
        )

    async def run(
        self,
        stack: contextlib.AsyncExitStack,
        stop: asyncio.Event,
    ) -> None:
        """Serve until the stop event is set, then drain.

        :param stack: stops the components when it closes.
        :param stop: is set to stop the host.
        """
        session = await stack.enter_async_context(
            calls.make_session(_CONNECT_SECONDS, _BACKEND_IDLE_SECONDS),
        )
        shared = self._shared_resources(session)
        caller_server = serving.CallerServer(
            serving.HostLocation(self._cfg.host_id, self._cfg.failure_domain),
            self._confirmation.document_state,
            shared,
            self._meter,
            self._cfg.memory_bytes,
        )
        self._start(stack, shared)
        await self._serve_others(stack, session, shared)
        ready = listening.make_runner(self._readiness.server())
        await listening.listen(stack, ready, self._cfg.ready)
        protection = overload.Overload(
            self._clock, self._coordinator.share_ratio
        )
        stack.callback(protection.close)
        callers = listening.make_runner(caller_server.server(protection))
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
        await host_stop.stop(
            host_stop.Stopping(
                self._cfg.grace_seconds,
                self._readiness,
                caller_server,
                callers,
                self._relay_server,
                shared.drain,
                self._coordinator.leave,
            ),
            self._clock,
        )

    def _shared_resources(
        self,
        session: aiohttp.ClientSession,
    ) -> context.SharedResources:
        return context.SharedResources(
            relay_client.RequestSender(
                session, self._paths, self._relays, self._meter, self._clock
            ),
            self._codec,
            self._scheduler,
            response_notices.NoticeRecorder(
                self._cfg.host_id, self._server_notices, self._clock
            ),
            grant_check.GrantCheck(
                self._cfg.host_id,
                self._server_notices,
                self._roster,
                self._clock,
            ),
            self._meter,
            self._streams,
            self._buffers,
        )

    async def _serve_others(
        self,
        stack: contextlib.AsyncExitStack,
        session: aiohttp.ClientSession,
        shared: context.SharedResources,
    ) -> None:
        """Dispatch requests for other entry hosts from now on."""
        if self._cfg.relay is None:
            return
        self._relay_server = relay_server.RelayServer(
            relay_server.Dependencies(
                session,
                self._codec,
                self.watcher.servers.get,
                self._paths,
                shared.check,
                shared.server_notices,
                self._meter,
            ),
        )
        runner = listening.make_runner(self._relay_server.server())
        await listening.listen(stack, runner, self._cfg.relay)

    def _relays_for_others(self) -> bool:
        return self._relay_server is not None and self._relay_server.accepts()

    def _relays(self) -> relay_client.Relays:
        assigned = self._coordinator.assigned_relays()
        return relay_client.Relays(
            self._relay_addresses(assigned.near),
            self._relay_addresses(assigned.far),
        )

    def _relay_addresses(
        self,
        host_ids: typing.Iterable[str],
    ) -> tuple[ids.Address, ...]:
        found = (self._cfg.relay_of(ids.HostId(one)) for one in host_ids)
        return tuple(filter(None, found))

    def _limited_servers(self) -> dict[tuple[str, ...], float]:
        """Return the number of servers with a rate limit, by pool."""
        counted: collections.Counter[tuple[str, ...]] = collections.Counter()
        for server_id, _ in self._server_notices.limits():
            found = self.watcher.servers.get(server_id)
            if found is not None:
                counted[(found.pool,)] += 1
        return dict(counted)

    def _get_usage(self, host_id: ids.HostId) -> recent_usage.RecentUsage:
        return self._scheduler.usage_for(host_id)

    def _rollout_controller(
        self, pool: ids.PoolName
    ) -> controller.RolloutController:
        """Return a rollout controller that grants no canaries.

        Only the coordinator may use the budget for them.
        """
        return controller.RolloutController(
            lambda: self.watcher.rollout(pool),
            self._clock.now,
        )

    def _index(self) -> finding.Index | None:
        return self.watcher.index

    def _start(
        self,
        stack: contextlib.AsyncExitStack,
        shared: context.SharedResources,
    ) -> None:
        stack.push_async_callback(self._link.close)
        stack.callback(self._service.close)
        stack.callback(self._broker.close)
        stack.callback(self._streams.close)
        follower = preemption.RolloutFollower(
            shared.running, self.watcher.rollout, self._clock.now
        )
        for work in (
            follower.run,
            self.watcher.run,
            self._coordinator.run,
            self._paths.run,
        ):
            stack.callback(background.start(work).cancel)
