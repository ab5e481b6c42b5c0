"""Which control host an entry host watches."""

import asyncio

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import hosts, logevents, searching
from geraniumweir.wire.gen.control import ttypes

# A control host that failed or wasn't sure is asked after the others for so
# long, in seconds.
_AVOID_SECONDS = 2.0
# One of the own failure domain is looked at this often all the same, in
# seconds: it may know of servers that leave and not reach the others.
_LOOK_SECONDS = 1.0
_NOBODY = ids.HostId('')


class Ranking:
    """In which order control hosts are asked."""

    def __init__(self, domain: ids.FailureDomain) -> None:
        """Avoid nobody yet.

        :param domain: whose control hosts come first.
        """
        self._domain = domain
        self._avoided: dict[ids.HostId, float] = {}

    def note(
        self, host_id: ids.HostId, verdict: searching.Verdict, now: float
    ) -> None:
        """Take what came of asking a host."""
        self._avoided.pop(host_id, None)
        if verdict is not searching.Verdict.sure:
            self._avoided[host_id] = now

    def avoids(self, host_id: ids.HostId, now: float) -> bool:
        """Tell whether a host comes after the others for now."""
        since = self._avoided.get(host_id, float('-inf'))
        return now - since < _AVOID_SECONDS

    def ranked(
        self,
        known: hosts.ControlHosts,
        now: float,
    ) -> list[ids.HostId]:
        """List the hosts that are known, those to ask first first."""
        near = [host.host_id for host in known.near_first(self._domain)]
        self._forget(frozenset(near))
        return sorted(near, key=lambda host_id: self._rank(host_id, now))

    def nearer(
        self,
        known: hosts.ControlHosts,
        place: ids.HostId,
        now: float,
    ) -> ids.HostId | None:
        """Give a host of this failure domain to look at beside another."""
        near = [
            host.host_id
            for host in known.near_first(self._domain)
            if host.failure_domain == self._domain
        ]
        if not near or place in near:
            return None
        return next((one for one in near if self._is_due(one, now)), None)

    def _is_due(self, host_id: ids.HostId, now: float) -> bool:
        since = self._avoided.get(host_id, float('-inf'))
        return now - since >= _LOOK_SECONDS

    def _rank(self, host_id: ids.HostId, now: float) -> float:
        if not self.avoids(host_id, now):
            return float('-inf')
        return self._avoided[host_id]

    def _forget(self, known: frozenset[ids.HostId]) -> None:
        for host_id in set(self._avoided) - known:
            self._avoided.pop(host_id)


class Choice:
    """The control host that is watched, and the search for another one.

    :ivar host_id: the one that is watched, or empty.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        known: hosts.ControlHosts,
        look: searching.Ask,
    ) -> None:
        """Watch nobody yet.

        :param domain: whose control hosts come first.
        :param look: asks a host whether it is sure.
        """
        self.host_id = _NOBODY
        self._ranking = Ranking(domain)
        self._known = known
        self._look = look
        self._clock = timers.TimerService()
        self._trial: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Ask nobody any more."""
        if self._trial is not None:
            self._trial.cancel()

    def judge(
        self,
        host_id: ids.HostId,
        news: ttypes.News | None,
        version: ids.Version,
    ) -> searching.Verdict:
        """Take a host's answer, or that there was none.

        :param version: that is in force here.
        """
        verdict = searching.Verdict.silent
        if news is not None:
            verdict = searching.Verdict.unsure
            if news.sure:
                verdict = searching.Verdict.sure
        now = self._clock.now()
        avoided = self._ranking.avoids(host_id, now)
        self._ranking.note(host_id, verdict, now)
        if verdict is searching.Verdict.unsure and not avoided:
            eventlog.emit(logevents.WATCH_UNSURE, host=host_id, version=version)
        return verdict

    async def search(self) -> bool:
        """Choose a host that is sure, or else one that answers.

        :returns: whether any answered.
        """
        ranked = self._ranking.ranked(self._known, self._clock.now())
        found = await searching.Search(self._look).run(ranked)
        self._settle(found.best(self.host_id))
        return bool(self.host_id)

    def try_nearer(self) -> None:
        """Ask a host of the own failure domain beside the one watched."""
        if self._trial is not None and not self._trial.done():
            return
        host_id = self._ranking.nearer(
            self._known,
            self.host_id,
            self._clock.now(),
        )
        if host_id is not None:
            self._trial = asyncio.create_task(self._turn_to(host_id))

    async def _turn_to(self, host_id: ids.HostId) -> None:
        if await self._look(host_id) is searching.Verdict.sure:
            self._settle(host_id)

    def _settle(self, host_id: ids.HostId) -> None:
        if host_id == self.host_id:
            return
        self.host_id = host_id
        if host_id:
            eventlog.emit(logevents.WATCHES, host=host_id)
