"""How a host follows the document and the backend servers.

It watches one control host, of its own failure domain if it can. When that is
silent or may be behind the log it searches for another one, and it leaves one
that is sure only for one that has shown that it is sure too. What it learnt
stays: versions only grow, a server that is leaving stays so, and one that the
next control host doesn't list yet is kept for a while, as that one may only
just have started.
"""

import asyncio

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import (
    choosing,
    enrolments,
    hosts,
    inforce,
    logevents,
    looking,
    searching,
)
from geraniumweir.rollout import controller, orders
from geraniumweir.routing import finding
from geraniumweir.scheduling import notices
from geraniumweir.wire import errors, peers
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject

# A watch is held this long, in seconds. With the answer's way there and back
# it bounds how long a dead control host goes unnoticed; a change must be in
# force 2 s after it was acknowledged.
_WAIT_SECONDS = 0.5
# While no control host is sure they are all asked this often, in seconds.
_UNSURE_SECONDS = 0.25
# The answer may take so much longer, in seconds: a lost packet is sent again
# after 0.2 s. A host that is only late still answers the search that follows.
_LATE_SECONDS = 0.25
# Longest wait for an answer that is due at once, in seconds.
_ANSWER_SECONDS = 0.9
_MS = 1000
# Between two searches while no control host answers, in seconds.
_PAUSE_SECONDS = 0.05
# A time without a sure answer is told from so long on, in seconds: twice a
# watch that has nothing to tell.
_BLIND_SECONDS = 1.0
_DIGITS = 3
# A server that the control host doesn't list is kept for so long, in seconds:
# servers report every 1 to 2 s, so one that is there is listed by then.
_UNLISTED_SECONDS = 8.0
# Servers hear nothing of a host's lease here; only control hosts hold one.
_NO_LEASE = float('inf')


class Watcher:
    """What a host knows from the control hosts.

    :ivar hosts: the control hosts.
    :ivar servers: the backend servers.
    :ivar sure_at: when a control host that has all that is committed last
        told what there is, in seconds.
    """

    def __init__(
        self,
        link: peers.Peers,
        domain: ids.FailureDomain,
        seeds: hosts.Seeds,
        read: inforce.Read,
    ) -> None:
        """Know nothing yet.

        :param seeds: asked while no control host that is known answers.
        :param read: reads a document that was checked when it was published.
        """
        self.hosts = hosts.ControlHosts()
        self.servers = enrolments.Enrolments(link.host_id, _NO_LEASE)
        self.sure_at = float('-inf')
        self._link = link
        self._seeds = seeds
        self._document = inforce.InForce(read)
        self._clock = timers.TimerService()
        self._choice = choosing.Choice(domain, self.hosts, self._look)
        self._silent: set[ids.HostId] = set()
        self._is_sure = False
        self._told_by = ids.HostId('')
        self._epoch = ''
        self._revision = 0
        self._looks = looking.Looks(self.servers)
        self._unlisted: dict[ids.ServerId, float] = {}
        self._rollouts: dict[ids.PoolName, controller.ObservedOrder] = {}
        self._rollouts_progress = 0
        self._changes: subject.Subject[None] = subject.Subject()

    @property
    def leaves(self) -> reactivex.Observable[notices.Start]:
        """Gives servers that leave by the word of a host that isn't watched.

        It may be cut off from the others, which don't know of it then.
        """
        return self._looks.leaves

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Fires when servers or the document changed."""
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
        """Give a pool's newest order to roll out."""
        return self._rollouts.get(pool)

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                if not await self._watch():
                    await self._search()
        finally:
            self._choice.close()

    def take(self, sender: ids.HostId, news: ttypes.News) -> None:
        """Take what a control host told."""
        now = self._clock.now()
        changed = self._take_servers(sender, news, now)
        changed = self._drop_unlisted(now) or changed
        self._take_rest(sender, news, now, changed)

    def _take_rest(
        self,
        sender: ids.HostId,
        news: ttypes.News,
        now: float,
        changed: bool,
    ) -> None:
        """Take all but the servers.

        :param changed: something did already.
        """
        self._learn_hosts(sender, news, now)
        changed = self._document.offer(news) or changed
        changed = self._take_rollouts(news) or changed
        if news.sure and news.version <= self.version:
            self._note_sure(now)
        if changed:
            self._changes.on_next(None)

    def _note_sure(self, now: float) -> None:
        blind = now - self.sure_at
        if _BLIND_SECONDS < blind < float('inf'):
            eventlog.emit(
                logevents.SURE_AGAIN,
                seconds=round(blind, _DIGITS),
                version=self.version,
            )
        self.sure_at = now

    async def _watch(self) -> bool:
        """Watch the chosen host once; tell whether it is sure."""
        host_id = self._choice.host_id
        if not host_id:
            return False
        wait = _WAIT_SECONDS if self._is_sure else _UNSURE_SECONDS
        watch = ttypes.Watch(
            self.version,
            self._epoch if host_id == self._told_by else '',
            self._revision,
            int(wait * _MS),
            self._rollouts_progress,
        )
        news = await self._call(host_id, watch, wait + _LATE_SECONDS)
        if news is not None:
            self.take(host_id, news)
        self._choice.try_nearer()
        verdict = self._choice.judge(host_id, news, self.version)
        self._is_sure = verdict is searching.Verdict.sure
        return self._is_sure

    async def _search(self) -> None:
        answered = await self._choice.search()
        if self._document.begin():
            self._changes.on_next(None)
        if not answered:
            await self._meet_seeds()
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _look(self, host_id: ids.HostId) -> searching.Verdict:
        """Ask a host for the document, and for servers that leave."""
        epoch, revision = self._looks.seen(host_id)
        watch = ttypes.Watch(
            self.version,
            epoch,
            revision,
            0,
            self._rollouts_progress,
            brief=True,
        )
        news = await self._call(host_id, watch, _ANSWER_SECONDS)
        if news is not None:
            now = self._clock.now()
            changed = self._looks.take(host_id, news, now)
            self._take_rest(host_id, news, now, changed)
        return self._choice.judge(host_id, news, self.version)

    async def _call(
        self,
        host_id: ids.HostId,
        watch: ttypes.Watch,
        timeout: float,
    ) -> ttypes.News | None:
        try:
            news = await self._link.call(host_id, watch, timeout)
        except errors.PeerError as exc:
            if host_id not in self._silent:
                self._silent.add(host_id)
                eventlog.emit(
                    logevents.WATCH_LOST,
                    host=host_id,
                    reason=exc.message,
                )
            return None
        self._silent.discard(host_id)
        return news

    async def _meet_seeds(self) -> None:
        """Ask all seeds who they are; the first answer is enough.

        One after another, a seed that is down would keep a host that starts
        from those that are up.
        """
        asked = [
            asyncio.create_task(self._meet(address))
            for address in self._seeds().values()
        ]
        try:
            for answer in asyncio.as_completed(asked):
                if await answer:
                    return
        finally:
            for task in asked:
                task.cancel()

    async def _meet(self, address: ids.Address) -> bool:
        try:
            host_id = await self._link.introduce(address)
        except errors.PeerError:
            return False
        # Its full card comes with its first answer.
        self.hosts.learn(hosts.seed(host_id, address), self._clock.now())
        return True

    def _learn_hosts(
        self,
        sender: ids.HostId,
        news: ttypes.News,
        now: float,
    ) -> None:
        for told in news.hosts:
            host = hosts.from_wire(told)
            self.hosts.learn(host, now)
            self.hosts.heard(host.host_id, now)
            self._link.learn(host.host_id, host.address)
        self.hosts.forget_old(now)

    def _take_rollouts(self, news: ttypes.News) -> bool:
        if (news.rollouts_progress or 0) <= self._rollouts_progress:
            return False
        self._rollouts_progress = news.rollouts_progress
        now = self._clock.now()
        for one in news.rollouts:
            rollout = _rollout(one)
            self._rollouts[rollout.pool] = controller.ObservedOrder(
                rollout, now
            )
        return True

    def _take_servers(
        self,
        sender: ids.HostId,
        news: ttypes.News,
        now: float,
    ) -> bool:
        self._told_by = sender
        self._epoch = news.epoch
        self._revision = news.revision
        listed = enrolments.readable(news.servers, sender)
        merged = [self.servers.merge(found, now, sender) for found in listed]
        for one in listed:
            self._unlisted.pop(one.server_id, None)
        if news.whole:
            names = {found.server_id for found in listed}
            for known in self.servers.known():
                if known.server_id not in names:
                    self._unlisted.setdefault(known.server_id, now)
        return any(merged)

    def _drop_unlisted(self, now: float) -> bool:
        old = [
            server_id
            for server_id, since in self._unlisted.items()
            if now - since > _UNLISTED_SECONDS
        ]
        for server_id in old:
            self._unlisted.pop(server_id)
            self.servers.forget(server_id)
        return bool(old)


def _rollout(told: ttypes.Rollout) -> orders.Rollout:
    """Read what a host needs that doesn't move the traffic itself."""
    return orders.Rollout(
        ids.PoolName(told.pool),
        told.number,
        ids.SoftwareVersion(told.to),
        0,
        orders.State(told.state),
        orders.Phase(told.phase),
    )
