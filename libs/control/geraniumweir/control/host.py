"""Puts the parts of a control host together."""

import asyncio
import contextlib
import dataclasses
import pathlib
import typing

import reactivex
from geraniumweir.common import errors as common_errors
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.configuration import published, recordings
from geraniumweir.control import (
    coordination,
    documents,
    enrolments,
    errors,
    feed,
    growing,
    hosts,
    inforce,
    logaccess,
    logevents,
    presence,
    recorders,
    remembered,
    rollouts,
    roster,
    standing,
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
_MISSED_REPORTS = 3
# A host that started so long ago has heard of all servers, in seconds: before,
# those that it knows may be only the new ones.
_SERVERS_KNOWN_SECONDS = 10.0
# Operators send an order again for so long where its answer was lost, if
# nothing else is said, in seconds.
_AGAIN_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a control host is told.

    :ivar seeds: peer addresses of some control hosts, by host id.
    :ivar current_seeds: gives the seeds of now, which may have changed.
    :ivar founds: whether the seeds may found a log: the first start of all.
    :ivar bears: losses of recorders at once to bear.
    :ivar quota_seconds: length of the window over which quotas hold.
    :ivar tolerance: for what customers used before and isn't known.
    :ivar report_seconds: the usual pause between a server's reports.
    :ivar exposure: what a bad version of servers may get.
    :ivar again_seconds: how long operators may send an order again.
    """

    me: hosts.ControlHost
    folder: pathlib.Path
    seeds: typing.Mapping[ids.HostId, ids.Address]
    founds: bool
    bears: int
    report_seconds: float
    quota_seconds: float
    tolerance: quotas.Tolerance
    budget: retrybudget.Budget
    current_seeds: hosts.Seeds = dict
    exposure: budget.Bounds = budget.Bounds()
    again_seconds: float = _AGAIN_SECONDS


class ControlHost:
    """The parts of a control host.

    :ivar servers: the enrolled backend servers.
    :ivar documents: publishes and reads the document.
    :ivar rollouts: orders to move pools to new versions of their servers.
    :ivar hosts: the control hosts known.
    """

    def __init__(
        self,
        cfg: Settings,
        layer: tcp.TcpPeers,
        read: inforce.Read,
    ) -> None:
        """Put them together; :meth:`run` starts them."""
        self._cfg = cfg
        self._read = read
        self._clock = timers.TimerService()
        self._started = self._clock.now()
        self._link = channel.Channel(layer)
        self.hosts = _known(cfg, layer, self._clock.now())
        lease = cfg.report_seconds * _MISSED_REPORTS
        self.servers = enrolments.Enrolments(cfg.me.host_id, lease)
        self.index: finding.Index | None = None
        self._changes: subject.Subject[None] = subject.Subject()
        self.log = recorders.Recorders(
            self._link,
            _place(cfg),
            self.hosts,
            cfg.me,
            growing.wanted(cfg.bears),
        )
        self.standing = standing.Standing(
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
        self.rollouts.on_completed = self._retire
        self._presence = presence.Presence(
            self._link,
            cfg.me,
            self.hosts,
            self.servers,
            self.log,
            self.standing.entry_hosts,
            cfg.current_seeds,
        )
        self._feed = feed.Feed(
            self._link,
            self.log,
            self.servers,
            self.hosts,
            self.standing.entry_hosts,
            self.rollouts.known,
        )
        self._presence.on_change = self._servers_changed
        self.standing.said.changes.subscribe(self._presence.hear)
        self.log.documents.subscribe(self._put)
        self.log.rollouts.subscribe(lambda _: self._servers_changed())
        self._service = coordination.serve(
            coordination.Parts(
                link=self._link,
                view=self.standing,
                roster=roster.Roster(self.servers, lambda: self.index),
                index=lambda: self.index,
                share=self.standing.share,
                shares_slots=False,
                quota_seconds=cfg.quota_seconds,
                tolerance=cfg.tolerance,
                hosts=self._number_of_entry_hosts,
                budget=cfg.budget,
                retries=retrybudget.Scope(
                    self.standing.leads,
                    self._number_of_entry_hosts,
                ),
                on_ask=self._note_usage,
                guide=self.rollouts.guide,
                said=self.standing.said,
                inform=self._presence.suspicion.inform,
            ),
            self._clock,
        )
        self._presence.suspicion.leaders = self._leaders
        for changes in (self._changes, self.standing.said.changes):
            coordination.follow(self._service, changes)

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Fires when servers or the document changed."""
        return self._changes

    async def run(self, stack: contextlib.AsyncExitStack) -> None:
        """Start everything; the stack stops it in the opposite order."""
        stack.push_async_callback(self._link.close)
        stack.callback(self.standing.close)
        stack.callback(self._service.close)
        stack.callback(self._presence.suspicion.close)
        remembered_now = self._remember()
        stack.callback(remembered_now.close)
        for work in (
            self.log.run(),
            self._presence.run(),
            remembered_now.run(),
            self.rollouts.run(self._service.leader),
        ):
            task = asyncio.create_task(work)
            stack.push_async_callback(_end, task)

    def report(self, said: enrolments.Enrolment) -> hosts.ControlHost:
        """Take a backend server's report.

        :returns: where it should report next: in its own failure domain.
        """
        before = self.servers.revision
        if self.servers.report(said, self._clock.now()):
            found = self.servers.get(said.server_id)
            self._presence.tell([found] if found else [])
        if self.servers.revision != before:
            self._servers_changed()
        return self._near(said.failure_domain)

    def leave(self, server_id: ids.ServerId, born: int | None) -> None:
        """Take that a backend server is going.

        :param born: the start that goes; None where it wasn't said.
        """
        gone = self.servers.leave(server_id, self._clock.now(), born)
        if gone is not None:
            self._presence.tell([gone])
            self._servers_changed()

    async def roll_out(
        self,
        pool: ids.PoolName,
        to: ids.SoftwareVersion,
        seconds: float,
    ) -> None:
        """Order that a pool's traffic moves to a version of its servers.

        :param seconds: in which all of it should have moved.
        :raises errors.UnsureError: when this host may not know the pool yet.
        :raises errors.NothingToMoveError: when there is nothing to do.
        :raises errors.NotStoredError: when it isn't sure that it was stored.
        :raises errors.RolloutRunsError: when another one is under way.
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
            raise errors.UnsureError('this host is behind the log')
        if self.index is None or self.index.pool(pool) is None:
            raise errors.NothingToMoveError(f'there is no pool {pool}')
        versions = {
            one.version
            for one in self.servers.known()
            if one.pool == pool and one.state is enrolments.State.ready
        }
        up_for = self._clock.now() - self._started
        if versions == {to} and up_for > _SERVERS_KNOWN_SECONDS:
            raise errors.NothingToMoveError(f'{to} serves all of {pool}')

    def _retire(self, rollout: orders.Rollout) -> None:
        """Take that the servers of old versions stop now, without a word."""
        for one in self.servers.known():
            if one.pool == rollout.pool and one.version != rollout.to:
                self.leave(one.server_id, one.born)

    def _remember(self) -> remembered.Remembered:
        """Take the servers of before the start."""
        kept = remembered.Remembered(
            self._cfg.folder.with_name('servers'),
            self.servers,
        )
        now = self._clock.now()
        for found in kept.load():
            self.servers.merge(found, now, self._cfg.me.host_id)
        return kept

    def _near(self, domain: ids.FailureDomain) -> hosts.ControlHost:
        if domain == self._cfg.me.failure_domain:
            return self._cfg.me
        now = self._clock.now()
        near = [
            host
            for host in self.hosts.known()
            if host.failure_domain == domain
            and self.hosts.silence(host.host_id, now) < self._cfg.report_seconds
        ]
        return near[0] if near else self._cfg.me

    def _leaders(self) -> list[leader.OnTimePoolLeader]:
        """List the leaders of the pools that are coordinated here."""
        found = map(self._service.leader, self._service.pools())
        return [
            one for one in found if isinstance(one, leader.OnTimePoolLeader)
        ]

    def _number_of_entry_hosts(self) -> int:
        return self.standing.entry_hosts.number(self._clock.now())

    def _note_usage(self, ask: requests.Ask) -> None:
        self.standing.entry_hosts.usage.note(
            ask.owner,
            max(ask.quota_cost, 1),
            self._clock.now(),
        )

    def _servers_changed(self) -> None:
        self._feed.notify()
        self._changes.on_next(None)

    def _put(self, document: published.PublishedDocument) -> None:
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


def _known(
    cfg: Settings,
    layer: tcp.TcpPeers,
    now: float,
) -> hosts.ControlHosts:
    known = hosts.ControlHosts()
    known.learn(cfg.me, now)
    for host_id, address in cfg.seeds.items():
        if host_id != cfg.me.host_id:
            layer.learn(host_id, address)
            known.learn(hosts.seed(host_id, address), now)
    return known


def _place(cfg: Settings) -> recordings.Place:
    first = dict(cfg.seeds) if cfg.founds else {}
    return recordings.Place(cfg.me.host_id, cfg.folder, first)


async def _end(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
