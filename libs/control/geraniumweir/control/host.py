"""Assembles a control host."""

import asyncio
import contextlib
import dataclasses
import functools
import pathlib
import typing

import reactivex
from geraniumweir.common import errors as common_errors
from geraniumweir.common import background, eventlog, ids, timers
from geraniumweir.configuration import published, recordings
from geraniumweir.control import (
    active_document,
    documents,
    enrolments,
    errors,
    feed,
    hosts,
    leadership,
    logaccess,
    logevents,
    pool_coordination,
    presence,
    recorder_changes,
    recorders,
    request_facts,
    rollouts,
    server_store,
)
from geraniumweir.rollout import budget, orders
from geraniumweir.routing import finding
from geraniumweir.scheduling import (
    channel,
    quotas,
    requests,
    retrybudget,
)
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire import tcp
from reactivex import subject

# Reports that a server may miss before it counts as silent.
_MAX_MISSED_REPORTS = 3
# A host that started this long ago has received all servers; before, it may
# have only the new ones.
_MIN_UPTIME_SECONDS = 10.0
# Default time in which operators send an order again where its answer was lost.
_RESEND_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a control host.

    :ivar seeds: peer addresses of some control hosts, by host id.
    :ivar current_seeds: returns the present seeds, which may have changed.
    :ivar may_create_log: whether the seeds may create a log (first start).
    :ivar bears: number of simultaneous losses of recorders to tolerate.
    :ivar quota_seconds: length of the window over which quotas hold.
    :ivar tolerance: for unknown usage of customers in the past.
    :ivar report_seconds: the usual pause between a server's reports.
    :ivar exposure: limits of what a bad version of servers may receive.
    :ivar again_seconds: how long operators may send an order again.
    """

    me: hosts.ControlHost
    folder: pathlib.Path
    seeds: typing.Mapping[ids.HostId, ids.Address]
    may_create_log: bool
    bears: int
    report_seconds: float
    quota_seconds: float
    tolerance: quotas.Tolerance
    budget: retrybudget.Budget
    current_seeds: hosts.Seeds = dict
    exposure: budget.Bounds = budget.Bounds()
    again_seconds: float = _RESEND_SECONDS


class ControlHost:
    """The parts of a control host.

    :ivar servers: the enrolled backend servers.
    :ivar documents: publishes and reads the document.
    :ivar rollouts: orders to move pools to new versions of their servers.
    :ivar hosts: the known control hosts.
    """

    def __init__(
        self,
        cfg: Settings,
        layer: tcp.TcpPeers,
        read: active_document.Read,
    ) -> None:
        """Assemble the parts; :meth:`run` starts them."""
        self._cfg = cfg
        self._read = read
        self._clock = timers.TimerService()
        self._started = self._clock.now()
        self._link = channel.Channel(layer)
        self.hosts = _control_hosts(cfg, layer, self._clock.now())
        lease = cfg.report_seconds * _MAX_MISSED_REPORTS
        self.servers = enrolments.Enrolments(cfg.me.host_id, lease)
        self.index: finding.Index | None = None
        self._changes: subject.Subject[None] = subject.Subject()
        self.log = recorders.Recorders(
            self._link,
            _log_place(cfg),
            self.hosts,
            cfg.me,
            recorder_changes.voters_for(cfg.bears),
        )
        self.leadership = leadership.Leadership(
            self._link,
            self.log,
            self._clock,
            cfg.quota_seconds,
        )
        access = logaccess.LogAccess(self._link, self.log, self.hosts)
        self.documents = documents.Documents(
            self._link,
            self.log,
            self.hosts,
            access,
        )
        self.rollouts = rollouts.Rollouts(
            access,
            self.log,
            self._clock,
            cfg.exposure,
            cfg.again_seconds,
        )
        self.rollouts.on_completed = self._remove_old_versions
        self.rollouts.reaches_all_owners = self._reaches_all_entry_hosts
        self._presence = presence.Presence(
            self._link,
            cfg.me,
            self.hosts,
            self.servers,
            self.log,
            self.leadership.entry_hosts,
            cfg.current_seeds,
        )
        self._feed = feed.Feed(
            self._link,
            self.log,
            self.servers,
            self.hosts,
            self.leadership.entry_hosts,
            self.rollouts.known,
        )
        self._presence.on_change = self._servers_changed
        self.leadership.server_notices.changes.subscribe(
            self._presence.handle_notice
        )
        self.log.documents.subscribe(self._activate_document)
        self.log.rollouts.subscribe(lambda _: self._servers_changed())
        self._facts = request_facts.RequestFacts(
            self._link,
            self.hosts,
            self.servers,
            self.leadership,
            self._clock,
        )
        self._service = pool_coordination.make_leader_service(
            pool_coordination.Dependencies(
                link=self._link,
                view=self.leadership,
                pool_servers=pool_coordination.make_pool_servers(
                    self.servers, lambda: self.index
                ),
                index=lambda: self.index,
                share=self.leadership.share,
                shares_slots=False,
                quota_seconds=cfg.quota_seconds,
                tolerance=cfg.tolerance,
                hosts=self._count_entry_hosts,
                budget=cfg.budget,
                retries=retrybudget.Scope(
                    self.leadership.is_log_leader,
                    self._count_entry_hosts,
                ),
                on_slot_request=self._record_demand,
                guide=self.rollouts.guide,
                server_notices=self.leadership.server_notices,
                on_new_leader=self._facts.apply_to,
                on_stream_begin=self._facts.streams.record,
                parts=self._facts.parts,
            ),
            self._clock,
        )
        self._facts.follow_leaders(self._leaders)
        self.leadership.fill_pong = self._facts.fill_pong
        for changes in (self._changes, self.leadership.server_notices.changes):
            pool_coordination.grant_on_changes(self._service, changes)

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Emits when servers or the document changed."""
        return self._changes

    async def run(self, stack: contextlib.AsyncExitStack) -> None:
        """Start everything; the stack stops it in the opposite order."""
        stack.push_async_callback(self._link.close)
        stack.callback(self.leadership.close)
        stack.callback(self._service.close)
        stack.callback(self._facts.close)
        server_file = self._load_servers()
        stack.callback(server_file.close)
        for work in (
            self.log.run,
            self._presence.run,
            server_file.run,
            functools.partial(self.rollouts.run, self._service.leader),
        ):
            stack.push_async_callback(_cancel, background.start(work))

    def report(self, report_read: enrolments.Enrolment) -> hosts.ControlHost:
        """Apply a backend server's report.

        :returns: where it should report next: in its own failure domain.
        """
        before = self.servers.revision
        if self.servers.report(report_read, self._clock.now()):
            found = self.servers.get(report_read.server_id)
            self._presence.publish_changes([found] if found else [])
        if self.servers.revision != before:
            self._servers_changed()
        return self._nearest_host(report_read.failure_domain)

    def leave(self, server_id: ids.ServerId, born: int | None) -> None:
        """Record that a backend server is going.

        :param born: the incarnation that ends; None if it was not given.
        """
        marked = self.servers.mark_gone(server_id, self._clock.now(), born)
        if marked is not None:
            self._presence.publish_changes([marked])
            self._servers_changed()

    async def roll_out(
        self,
        pool: ids.PoolName,
        to: ids.SoftwareVersion,
        seconds: float,
    ) -> None:
        """Order that a pool's traffic moves to a version of its servers.

        :param seconds: time in which all of it should have moved.
        :raises errors.NotUpToDateError: when this host may not have the pool
            yet.
        :raises errors.NothingToRollOutError: when there is nothing to do.
        :raises errors.NotStoredError: when it may not have been stored.
        :raises errors.RolloutInProgressError: when another one is in progress.
        """
        before = self.rollouts.of_pool(pool)
        if before is None or before.to != to:
            self._check_rollout(pool, to)
        await self.rollouts.order(pool, to, seconds)

    def _check_rollout(
        self,
        pool: ids.PoolName,
        to: ids.SoftwareVersion,
    ) -> None:
        if not self.log.is_current():
            raise errors.NotUpToDateError('this host is behind the log')
        if self.index is None or self.index.pool(pool) is None:
            raise errors.NothingToRollOutError(f'there is no pool {pool}')
        versions = {
            one.version
            for one in self.servers.known()
            if one.pool == pool and one.state is enrolments.State.ready
        }
        uptime_seconds = self._clock.now() - self._started
        if versions == {to} and uptime_seconds > _MIN_UPTIME_SECONDS:
            raise errors.NothingToRollOutError(f'{to} serves all of {pool}')

    def _remove_old_versions(self, rollout: orders.Rollout) -> None:
        """Record that the servers of old versions stop now, unannounced.

        All are removed before pools grant again: a waiting request must not be
        granted to one of them.
        """
        now = self._clock.now()
        marked = [
            self.servers.mark_gone(one.server_id, now, one.born)
            for one in self.servers.known()
            if one.pool == rollout.pool and one.version != rollout.to
        ]
        removed = [one for one in marked if one is not None]
        self._presence.publish_changes(removed)
        if removed:
            self._servers_changed()

    def _load_servers(self) -> server_store.ServerStore:
        """Merge the servers that were stored before the start."""
        store = server_store.ServerStore(
            self._cfg.folder.with_name('servers'),
            self.servers,
        )
        now = self._clock.now()
        for found in store.load():
            self.servers.merge(found, now, self._cfg.me.host_id)
        return store

    def _nearest_host(self, domain: ids.FailureDomain) -> hosts.ControlHost:
        if domain == self._cfg.me.failure_domain:
            return self._cfg.me
        now = self._clock.now()
        near = [
            host
            for host in self.hosts.known()
            if host.failure_domain == domain
            and self.hosts.seconds_unseen(host.host_id, now)
            < self._cfg.report_seconds
        ]
        return near[0] if near else self._cfg.me

    def customers_above_share(self) -> dict[tuple[str, ...], float]:
        """Return the number of customers above their fair shares, by pool."""
        found = {
            pool: self._service.leader(pool) for pool in self._service.pools()
        }
        return {
            (pool,): len(one.customers_above_share())
            for pool, one in found.items()
            if isinstance(one, leader.OnTimePoolLeader)
        }

    def _leaders(self) -> list[leader.OnTimePoolLeader]:
        """Return the leaders of the pools that are coordinated here."""
        found = map(self._service.leader, self._service.pools())
        return [
            one for one in found if isinstance(one, leader.OnTimePoolLeader)
        ]

    def _count_entry_hosts(self) -> int:
        return self.leadership.entry_hosts.count(self._clock.now())

    def _reaches_all_entry_hosts(self) -> bool:
        return self.leadership.entry_hosts.reaches_all(self._clock.now())

    def _record_demand(self, slot_request: requests.SlotRequest) -> None:
        self.leadership.entry_hosts.demand.record(
            slot_request.owner,
            max(slot_request.quota_cost, 1),
            self._clock.now(),
        )

    def _servers_changed(self) -> None:
        self._feed.notify()
        self._changes.on_next(None)

    def _activate_document(self, document: published.PublishedDocument) -> None:
        if self.index is not None and document.version <= self.index.version:
            return
        before = -1 if self.index is None else self.index.version
        try:
            self.index = finding.Index(self._read(document.content()))
        except common_errors.GeraniumweirError as exc:
            eventlog.emit(
                logevents.DOCUMENT_UNREADABLE,
                version=document.version,
                reason=exc.message,
            )
            return
        eventlog.emit(
            logevents.DOCUMENT_IN_FORCE,
            version=document.version,
            before=before,
        )
        self._changes.on_next(None)


def _control_hosts(
    cfg: Settings,
    layer: tcp.TcpPeers,
    now: float,
) -> hosts.ControlHosts:
    known = hosts.ControlHosts()
    known.register(cfg.me, now)
    for host_id, address in cfg.seeds.items():
        if host_id != cfg.me.host_id:
            layer.learn(host_id, address)
            known.register(hosts.seed(host_id, address), now)
    return known


def _log_place(cfg: Settings) -> recordings.Place:
    first = dict(cfg.seeds) if cfg.may_create_log else {}
    return recordings.Place(cfg.me.host_id, cfg.folder, first)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
