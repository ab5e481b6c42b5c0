"""Choice of the control host that an entry host watches."""

import asyncio

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import host_search, hosts, logevents
from geraniumweir.wire.gen.control import ttypes

# A control host that failed or was not up to date is probed after the others
# for this time.
_AVOID_SECONDS = 2.0
# Interval at which a host of the own failure domain is probed all the same: it
# may have leaving servers while the others cannot reach it.
_PROBE_SECONDS = 1.0
_NO_HOST = ids.HostId('')


class Ranking:
    """The order in which control hosts are probed."""

    def __init__(self, domain: ids.FailureDomain) -> None:
        """Initialize without failed hosts.

        :param domain: whose control hosts come first.
        """
        self._domain = domain
        self._failed_at: dict[ids.HostId, float] = {}

    def record(
        self, host_id: ids.HostId, verdict: host_search.Verdict, now: float
    ) -> None:
        """Record the result of probing a host."""
        self._failed_at.pop(host_id, None)
        if verdict is not host_search.Verdict.sure:
            self._failed_at[host_id] = now

    def is_avoided(self, host_id: ids.HostId, now: float) -> bool:
        """Return whether a host is probed after the others for now."""
        failed_at = self._failed_at.get(host_id, float('-inf'))
        return now - failed_at < _AVOID_SECONDS

    def ranked(
        self,
        known: hosts.ControlHosts,
        now: float,
    ) -> list[ids.HostId]:
        """Return the known hosts in the order of probing."""
        near = [host.host_id for host in known.nearest_first(self._domain)]
        self._evict(frozenset(near))
        return sorted(near, key=lambda host_id: self._rank(host_id, now))

    def nearer(
        self,
        known: hosts.ControlHosts,
        current_id: ids.HostId,
        now: float,
    ) -> ids.HostId | None:
        """Return a host of this failure domain to probe beside another."""
        near = [
            host.host_id
            for host in known.nearest_first(self._domain)
            if host.failure_domain == self._domain
        ]
        if not near or current_id in near:
            return None
        return next((one for one in near if self._is_due(one, now)), None)

    def _is_due(self, host_id: ids.HostId, now: float) -> bool:
        failed_at = self._failed_at.get(host_id, float('-inf'))
        return now - failed_at >= _PROBE_SECONDS

    def _rank(self, host_id: ids.HostId, now: float) -> float:
        if not self.is_avoided(host_id, now):
            return float('-inf')
        return self._failed_at[host_id]

    def _evict(self, known: frozenset[ids.HostId]) -> None:
        for host_id in set(self._failed_at) - known:
            self._failed_at.pop(host_id)


class WatchTarget:
    """The control host that is watched, and the search for another one.

    :ivar host_id: the watched host, or empty.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        known: hosts.ControlHosts,
        probe: host_search.Probe,
    ) -> None:
        """Initialize without a host.

        :param domain: whose control hosts come first.
        :param probe: probes whether a host is up to date.
        """
        self.host_id = _NO_HOST
        self._ranking = Ranking(domain)
        self._known = known
        self._probe = probe
        self._clock = timers.TimerService()
        self._probe_task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stop probing."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    def judge(
        self,
        host_id: ids.HostId,
        update: ttypes.News | None,
        version: ids.Version,
    ) -> host_search.Verdict:
        """Record a host's answer, or that there was none.

        :param version: of the document in force here.
        """
        verdict = host_search.Verdict.silent
        if update is not None:
            verdict = host_search.Verdict.unsure
            if update.sure:
                verdict = host_search.Verdict.sure
        now = self._clock.now()
        avoided = self._ranking.is_avoided(host_id, now)
        self._ranking.record(host_id, verdict, now)
        if verdict is host_search.Verdict.unsure and not avoided:
            eventlog.emit(
                logevents.WATCH_NOT_CURRENT, host=host_id, version=version
            )
        return verdict

    async def search(self) -> bool:
        """Choose a host that is up to date, or else one that answers.

        :returns: whether any answered.
        """
        ranked = self._ranking.ranked(self._known, self._clock.now())
        found = await host_search.HostSearch(self._probe).run(ranked)
        self._set_host(found.best(self.host_id))
        return bool(self.host_id)

    def probe_nearer(self) -> None:
        """Probe a host of the own failure domain beside the watched one."""
        if self._probe_task is not None and not self._probe_task.done():
            return
        host_id = self._ranking.nearer(
            self._known,
            self.host_id,
            self._clock.now(),
        )
        if host_id is not None:
            self._probe_task = asyncio.create_task(
                self._switch_if_current(host_id)
            )

    async def _switch_if_current(self, host_id: ids.HostId) -> None:
        if await self._probe(host_id) is host_search.Verdict.sure:
            self._set_host(host_id)

    def _set_host(self, host_id: ids.HostId) -> None:
        if host_id == self.host_id:
            return
        self.host_id = host_id
        if host_id:
            eventlog.emit(logevents.WATCHES, host=host_id)
