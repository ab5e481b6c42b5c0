"""How a host follows the document and the backend servers.

It watches one control host, in its own failure domain if possible. When that is
silent or may be behind the log, it searches for another one, and it leaves an
up-to-date host only for one that was found to be up to date too. What it
received stays valid: versions only grow, a leaving server stays so, and a
server that the next control host does not list yet is kept for a while, as that
host may only just have started.
"""

import asyncio

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    active_document,
    document_age,
    document_fetch,
    enrolment_codec,
    enrolments,
    host_search,
    hosts,
    leave_collector,
    logevents,
    watch_target,
)
from geraniumweir.rollout import controller, orders
from geraniumweir.routing import finding
from geraniumweir.scheduling import notices
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject

# A watch is held this long. Together with the round trip this bounds how long a
# dead control host goes undetected; a change must be in force 2 s after it was
# acknowledged.
_WAIT_SECONDS = 0.5
# Interval of watches while no control host is up to date: the first, and the
# longest that it doubles to. Each is followed by a probe of all control hosts,
# which need their threads to elect a leader.
_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 0.5
# Extra time for the answer: a lost packet is sent again after 0.2 s. A host
# that is only late still answers the search that follows.
_GRACE_SECONDS = 0.25
# Longest wait for an answer that is due at once.
_ANSWER_SECONDS = 0.9
_MS = 1000
# Pause between two searches while no control host answers.
_SEARCH_PAUSE_SECONDS = 0.05
# A server that the control host does not list is kept this long: servers report
# every 1 to 2 s, so one that runs is listed by then.
_UNLISTED_SECONDS = 8.0
_NO_HOST = ids.HostId('')
# Only control hosts hold leases of servers.
_NO_LEASE_SECONDS = float('inf')


class Watcher:
    """Client that follows the control hosts.

    :ivar hosts: the control hosts.
    :ivar servers: the backend servers.
    :ivar age: when a control host that has all committed entries last
        answered.
    """

    def __init__(
        self,
        link: peers.Peers,
        domain: ids.FailureDomain,
        seeds: hosts.Seeds,
        read: active_document.Read,
    ) -> None:
        """Initialize without answers.

        :param seeds: contacted while no known control host answers.
        :param read: reads a document that was checked when it was published.
        """
        self.hosts = hosts.ControlHosts()
        self.servers = enrolments.Enrolments(link.host_id, _NO_LEASE_SECONDS)
        self._link = link
        self._seeds = seeds
        self._document = active_document.ActiveDocument(read)
        self._clock = timers.TimerService()
        self.age = document_age.DocumentAge(self._clock)
        self._target = watch_target.WatchTarget(domain, self.hosts, self._probe)
        self._unreachable: set[ids.HostId] = set()
        self._is_confirmed = False
        self._retry_seconds = _RETRY_SECONDS
        self._source = _NO_HOST
        self._epoch = ''
        self._revision = 0
        self._leave_collector = leave_collector.LeaveCollector(self.servers)
        self._unlisted: dict[ids.ServerId, float] = {}
        self._rollouts: dict[ids.PoolName, controller.ObservedOrder] = {}
        self._rollouts_progress = 0
        self._changes: subject.Subject[None] = subject.Subject()

    @property
    def leaves(self) -> reactivex.Observable[notices.ServerIncarnation]:
        """Emits servers that leave according to a host that is not watched.

        That host may be partitioned from the others, which then lack it.
        """
        return self._leave_collector.leaves

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Emits when servers or the document changed."""
        return self._changes

    @property
    def index(self) -> finding.Index | None:
        """The document in force, or None before the first."""
        return self._document.index

    @property
    def version(self) -> ids.Version:
        """The version in force, -1 before the first."""
        return self._document.version

    def rollout(self, pool: ids.PoolName) -> controller.ObservedOrder | None:
        """Return a pool's newest rollout order."""
        return self._rollouts.get(pool)

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                if not await self._watch():
                    await self._search()
        finally:
            self._target.close()

    def apply(self, sender: ids.HostId, update: ttypes.News) -> None:
        """Apply an update of the watched control host."""
        now = self._clock.now()
        changed = self._apply_servers(sender, update, now)
        changed = self._evict_unlisted(now) or changed
        self._apply_rest(sender, update, now, changed)

    def _apply_rest(
        self,
        sender: ids.HostId,
        update: ttypes.News,
        now: float,
        changed: bool,
    ) -> None:
        """Apply all but the servers.

        :param changed: whether the servers changed.
        """
        self._add_hosts(sender, update, now)
        activated = self._document.offer(
            update, source=sender, unconfirmed_s=self.age.seconds()
        )
        changed = activated or changed
        changed = self._apply_rollouts(update) or changed
        if update.sure and update.version <= self.version:
            self.age.confirm(self.version, now)
        if changed:
            self._changes.on_next(None)

    async def _watch(self) -> bool:
        """Watch the chosen host once; return whether it is up to date."""
        host_id = self._target.host_id
        if not host_id:
            return False
        wait_seconds = (
            _WAIT_SECONDS if self._is_confirmed else self._retry_seconds
        )
        watch = ttypes.Watch(
            self.version,
            self._epoch,
            self._revision,
            int(wait_seconds * _MS),
            self._rollouts_progress,
            pieces=True,
        )
        if host_id != self._source:
            watch.epoch = ''
            watch.digests = self.servers.bucket_digests()
        update = await self._call(host_id, watch, wait_seconds + _GRACE_SECONDS)
        if update is None:
            # It may have restarted, with an epoch of its own.
            self._source = _NO_HOST
        else:
            self.apply(host_id, update)
            await self._fetch_document(host_id, update)
        self._target.probe_nearer()
        verdict = self._target.judge(host_id, update, self.version)
        self._is_confirmed = verdict is host_search.Verdict.sure
        self._retry_seconds = (
            _RETRY_SECONDS
            if self._is_confirmed
            else min(2 * self._retry_seconds, _MAX_RETRY_SECONDS)
        )
        return self._is_confirmed

    async def _fetch_document(
        self, host_id: ids.HostId, update: ttypes.News
    ) -> None:
        """Activate a document that is too large for an answer."""
        if update.document_bytes is None or update.version <= self.version:
            return
        # The host was up to date when it answered, not when the fetch ended.
        now = self._clock.now()
        content = await document_fetch.fetch(self._link, host_id, update)
        if content is not None:
            update.document = content
            self._apply_rest(host_id, update, now, False)

    async def _search(self) -> None:
        answered = await self._target.search()
        if self._document.activate_pending():
            self._changes.on_next(None)
        if not answered:
            await self._query_seeds()
            await asyncio.sleep(_SEARCH_PAUSE_SECONDS)

    async def _probe(self, host_id: ids.HostId) -> host_search.Verdict:
        """Ask a host for the document and for leaving servers."""
        epoch, revision = self._leave_collector.position(host_id)
        watch = ttypes.Watch(
            self.version,
            epoch,
            revision,
            0,
            self._rollouts_progress,
            brief=True,
            pieces=True,
        )
        update = await self._call(host_id, watch, _ANSWER_SECONDS)
        if update is not None:
            now = self._clock.now()
            changed = self._leave_collector.apply(host_id, update, now)
            self._apply_rest(host_id, update, now, changed)
        return self._target.judge(host_id, update, self.version)

    async def _call(
        self,
        host_id: ids.HostId,
        watch: ttypes.Watch,
        timeout: float,
    ) -> ttypes.News | None:
        now = self._clock.now()
        try:
            update = await self._link.call(
                host_id,
                watch,
                timeout,
                # A late answer confirms no later time than that of its call.
                lambda late: self._apply_rest(host_id, late, now, False),
            )
        except errors.PeerError as exc:
            if host_id not in self._unreachable:
                self._unreachable.add(host_id)
                eventlog.emit(
                    logevents.WATCH_LOST,
                    host=host_id,
                    reason=exc.message,
                )
            return None
        self._unreachable.discard(host_id)
        return update

    async def _query_seeds(self) -> None:
        """Ask all seeds for their ids; the first answer is enough.

        All at once, as a seed that is down would otherwise keep a starting host
        from the seeds that are up.
        """
        asked = [
            asyncio.create_task(self._query_seed(address))
            for address in self._seeds().values()
        ]
        try:
            for answer in asyncio.as_completed(asked):
                if await answer:
                    return
        finally:
            for task in asked:
                task.cancel()

    async def _query_seed(self, address: ids.Address) -> bool:
        try:
            host_id = await self._link.introduce(address)
        except errors.PeerError:
            return False
        # The first answer contains the host's complete entry.
        self.hosts.register(hosts.seed(host_id, address), self._clock.now())
        return True

    def _add_hosts(
        self,
        sender: ids.HostId,
        update: ttypes.News,
        now: float,
    ) -> None:
        for struct in update.hosts:
            host = hosts.from_wire(struct)
            self.hosts.register(host, now)
            self.hosts.record_seen(host.host_id, now)
            self._link.learn(host.host_id, host.address)
        self.hosts.evict_old(now)

    def _apply_rollouts(self, update: ttypes.News) -> bool:
        if (update.rollouts_progress or 0) <= self._rollouts_progress:
            return False
        self._rollouts_progress = update.rollouts_progress
        now = self._clock.now()
        for one in update.rollouts:
            rollout = _rollout(one)
            before = self._rollouts.get(rollout.pool)
            is_known = (
                before is not None and before.rollout.number == rollout.number
            )
            self._rollouts[rollout.pool] = controller.ObservedOrder(
                rollout, before.started if is_known else now
            )
        return True

    def _apply_servers(
        self,
        sender: ids.HostId,
        update: ttypes.News,
        now: float,
    ) -> bool:
        self._source = sender
        self._epoch = update.epoch
        self._revision = update.revision
        listed = enrolment_codec.parse_readable(update.servers, sender)
        if update.packed is not None:
            listed += enrolment_codec.unpack(update.packed, sender)
        merged = [self.servers.merge(found, now, sender) for found in listed]
        for one in listed:
            self._unlisted.pop(one.server_id, None)
        names = {found.server_id for found in listed}
        for known in _covered(self.servers, update):
            if known.server_id not in names:
                self._unlisted.setdefault(known.server_id, now)
        return any(merged)

    def _evict_unlisted(self, now: float) -> bool:
        expired = [
            server_id
            for server_id, unlisted_at in self._unlisted.items()
            if now - unlisted_at > _UNLISTED_SECONDS
        ]
        for server_id in expired:
            self._unlisted.pop(server_id)
            self.servers.remove(server_id)
        return bool(expired)


def _covered(
    known: enrolments.Enrolments,
    update: ttypes.News,
) -> list[enrolments.Enrolment]:
    """Return the known servers that an update lists if they still exist."""
    if update.whole:
        return known.known()
    return known.in_buckets(update.buckets or ())


def _rollout(struct: ttypes.Rollout) -> orders.Rollout:
    """Return the fields for a host that does not move the traffic itself."""
    return orders.Rollout(
        ids.PoolName(struct.pool),
        struct.number,
        ids.SoftwareVersion(struct.to),
        0,
        orders.State(struct.state),
        orders.Phase(struct.phase),
    )
