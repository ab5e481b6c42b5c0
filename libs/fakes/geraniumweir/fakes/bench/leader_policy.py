"""The pool leader as a policy of the bench.

Stands for the entry hosts: it turns calls into asks, reports progress four
times a second, and hands reports of the engines on.
"""

import asyncio
import collections
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import (
    engine_model,
    leader_link,
    policies,
    traffic,
)
from geraniumweir.membership import servers
from geraniumweir.scheduling import deadline_leader, requests, settings

_PROGRESS_SECONDS = 0.25
_POOL = ids.PoolName('pool')
_MILLISECONDS = 1000

_NO_SHED = frozenset(
    (
        requests.DenialReason.rule_limit,
        requests.DenialReason.quarantined,
        requests.DenialReason.withdrawn,
    )
)
_OUTCOMES = {
    engine_model.JobEnd.done: requests.Outcome.done,
    engine_model.JobEnd.cancelled: requests.Outcome.cancelled,
    engine_model.JobEnd.broken: requests.Outcome.failed,
    engine_model.JobEnd.preempted: requests.Outcome.preempted,
}


class _Open(typing.NamedTuple):
    """A dispatched call and since when."""

    ask: requests.SlotRequest
    grant: requests.Grant
    job: engine_model.Job
    start: float


class LeaderPolicy:
    """Entry hosts that ask one pool leader for grants."""

    def __init__(
        self,
        live: typing.Callable[[], list[servers.Announcement]],
        preempt: typing.Callable[[ids.RequestId], None],
        seed: int,
    ) -> None:
        """Start with a leader that knows nothing.

        :param live: gives the backend servers that may get work.
        :param preempt: cancels a dispatched call on its engine.
        """
        self._live = live
        self._preempt = preempt
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._open: dict[ids.RequestId, _Open] = {}
        self._granted: dict[
            ids.RequestId, tuple[requests.SlotRequest, requests.Grant]
        ] = {}
        self._link = leader_link.LeaderLink(self._make, self._open_grants)
        self._reporter = asyncio.create_task(self._report_progress())

    @property
    def messages(self) -> collections.Counter[str]:
        """Count the messages by kind."""
        return self._link.messages

    async def place(
        self,
        call: traffic.Call,
    ) -> policies.Placement | policies.Rejection:
        """Ask the leader, whichever it is, until the deadline."""
        ask = _ask_for(call)
        try:
            async with asyncio.timeout_at(call.deadline):
                answer = await self._link.ask(ask)
        except TimeoutError:
            return policies.Rejection('too_late', shed=True)
        match answer:
            case requests.Grant(server_id=server_id):
                self._granted[call.request_id] = (ask, answer)
                return policies.Placement(server_id)
            case requests.Denial(reason=reason, retry_after_ms=millis):
                wait = millis / _MILLISECONDS or None
                shed = reason not in _NO_SHED
                return policies.Rejection(reason.value, shed, wait)

    def not_sent(self, call: traffic.Call) -> None:
        """Give the grant back unused."""
        self._granted.pop(call.request_id)
        outcome = requests.Outcome.not_sent
        self._link.release(requests.Release(call.request_id, outcome))

    def started(self, job: engine_model.Job) -> None:
        """Remember the open grant for progress and for another leader."""
        request_id = job.call.request_id
        ask, grant = self._granted.pop(request_id)
        self._open[request_id] = _Open(ask, grant, job, self._loop.time())

    def ended(self, job: engine_model.Job, end: engine_model.JobEnd) -> None:
        """Release the grant."""
        start = self._open.pop(job.call.request_id).start
        release = requests.Release(
            job.call.request_id,
            _OUTCOMES[end],
            _first_token(job, start),
            job.tokens,
            self._loop.time() - start,
        )
        self._link.release(release)

    def take_load(self, load: policies.Load) -> None:
        """Pass a late load report on."""
        report = requests.LoadReport(
            load.server_id,
            load.running,
            load.waiting,
            load.kv_used,
            self._loop.time() - load.measured_at,
        )
        self.messages['report'] += 1
        present = self._link.present()
        if present is not None:
            present.report(report)

    def take_cache_news(self, news: policies.CacheNews) -> None:
        """Pass late cache events on."""
        events = requests.CacheEvents(
            news.server_id,
            news.incarnation,
            news.sequence,
            news.changes.stored,
            news.changes.evicted,
        )
        self.messages['cache events'] += 1
        present = self._link.present()
        if present is not None:
            present.cache_events(events)

    def restarted(self, server_id: ids.ServerId) -> None:
        """Tell the leader that the incarnation before is gone."""
        present = self._link.present()
        for server in self._live():
            if server.server_id == server_id and present is not None:
                gone = ids.Incarnation(server.incarnation - 1)
                present.server_crashed(server_id, gone)

    def lose_leader(self) -> None:
        """Lose the leader's state."""
        self._link.lose()

    def close(self) -> None:
        """Stop reporting progress."""
        self._reporter.cancel()

    def _make(
        self, takeover_seconds: float
    ) -> deadline_leader.DeadlinePoolLeader:
        cfg = settings.LeaderSettings(
            pool=_POOL,
            takeover_seconds=takeover_seconds,
            seed=self._seed,
        )
        return deadline_leader.DeadlinePoolLeader(
            cfg,
            self._loop.time,
            self._live,
            self._on_preempt,
        )

    def _open_grants(self) -> list[requests.OpenGrant]:
        return [
            requests.OpenGrant(
                held.ask,
                held.grant,
                self._loop.time() - held.start,
                _first_token(held.job, held.start),
                held.job.tokens,
            )
            for held in self._open.values()
        ]

    def _on_preempt(self, preempt: requests.Preempt) -> None:
        self.messages['preempt'] += 1
        self._loop.call_later(
            leader_link.HOP_SECONDS,
            self._preempt,
            preempt.request_id,
        )

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(_PROGRESS_SECONDS)
            present = self._link.present()
            if present is not None:
                self._report_open(present)

    def _report_open(self, present: deadline_leader.DeadlinePoolLeader) -> None:
        # One message carries the progress of all calls of a host.
        hosts = {held.ask.owner for held in self._open.values()}
        self.messages['progress'] += len(hosts)
        for request_id, held in list(self._open.items()):
            first_token = _first_token(held.job, held.start)
            tokens = held.job.tokens
            present.progress(
                requests.Progress(request_id, first_token, tokens),
            )


def _ask_for(call: traffic.Call) -> requests.SlotRequest:
    intent = call.intent
    return requests.SlotRequest(
        call.request_id,
        ids.HostId(f'entry-{call.host}'),
        _POOL,
        intent.customer,
        intent.kind.name,
        intent.kind.tier,
        call.deadline,
        prompt_tokens=intent.prompt_tokens,
        max_tokens=intent.max_tokens,
        blocks=intent.blocks,
        fingerprint=intent.fingerprint,
        idempotent=intent.kind.idempotent,
    )


def _first_token(job: engine_model.Job, start: float) -> float | None:
    if job.first_token_at is None:
        return None
    return job.first_token_at - start
