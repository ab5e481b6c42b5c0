"""The pool leader as a policy of the bench.

Stands for the entry hosts and for the network between them and the leader:
each message takes one hop, progress goes out four times a second, and when
the leader is lost the hosts hand their open grants to a new one and ask again
for whatever waits.
"""

import asyncio
import collections
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import engine_model, policies, traffic
from geraniumweir.membership import servers
from geraniumweir.scheduling import leader, requests, settings

HOP_SECONDS = 0.0005
_PROGRESS_SECONDS = 0.25
_DETECTION_SECONDS = 1.5
_SETTLE_SECONDS = 0.5
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
        self.messages: collections.Counter[str] = collections.Counter()
        self._live = live
        self._preempt = preempt
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._open: dict[
            ids.RequestId, tuple[requests.OpenGrant, engine_model.Job, float]
        ] = {}
        self._granted: dict[ids.RequestId, requests.OpenGrant] = {}
        self._lost = asyncio.Event()
        self._present = asyncio.Event()
        self._leader = self._new_leader(0)
        self._present.set()
        self._reporter = asyncio.create_task(self._report_progress())

    async def place(
        self,
        call: traffic.Call,
    ) -> policies.Placement | policies.Rejection:
        """Ask the leader, whichever it is, until the deadline."""
        try:
            async with asyncio.timeout_at(call.deadline):
                answer = await self._ask(_ask_for(call))
        except TimeoutError:
            return policies.Rejection('too_late', shed=True)
        match answer:
            case requests.Grant(server_id=server_id):
                return policies.Placement(server_id)
            case requests.Denial(reason=reason, retry_after_ms=millis):
                wait = millis / _MILLISECONDS or None
                shed = reason not in _NO_SHED
                return policies.Rejection(reason.value, shed, wait)

    def not_sent(self, call: traffic.Call) -> None:
        """Give the grant back unused."""
        self._granted.pop(call.request_id, None)
        outcome = requests.Outcome.not_sent
        self._release(requests.Release(call.request_id, outcome))

    def started(self, job: engine_model.Job) -> None:
        """Remember the open grant for progress and for another leader."""
        request_id = job.call.request_id
        grant = self._granted.pop(request_id)
        self._open[request_id] = (grant, job, self._loop.time())

    def ended(self, job: engine_model.Job, end: engine_model.JobEnd) -> None:
        """Release the grant."""
        _, _, start = self._open.pop(job.call.request_id)
        release = requests.Release(
            job.call.request_id,
            _OUTCOMES[end],
            _first_token(job, start),
            job.tokens,
            self._loop.time() - start,
        )
        self._release(release)

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
        self._leader.report(report)

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
        self._leader.cache_events(events)

    def restarted(self, server_id: ids.ServerId) -> None:
        """Tell the leader that the incarnation before is gone."""
        for server in self._live():
            if server.server_id == server_id:
                gone = ids.Incarnation(server.incarnation - 1)
                self._leader.server_crashed(server_id, gone)

    def lose_leader(self) -> None:
        """Forget the leader's state; another one starts after detection."""
        self._present.clear()
        self._lost.set()
        self._loop.call_later(_DETECTION_SECONDS, self._take_over)

    def close(self) -> None:
        """Stop reporting progress."""
        self._reporter.cancel()

    def _new_leader(self, settle_seconds: float) -> leader.PoolLeader:
        cfg = settings.LeaderSettings(
            pool=_POOL,
            settle_seconds=settle_seconds,
            seed=self._seed,
        )
        return leader.PoolLeader(
            cfg,
            self._loop.time,
            self._live,
            self._on_preempt,
        )

    def _take_over(self) -> None:
        self._leader = self._new_leader(_SETTLE_SECONDS)
        self._lost = asyncio.Event()
        self._leader.adopt(
            [
                requests.OpenGrant(
                    grant.ask,
                    grant.grant,
                    self._loop.time() - start,
                    _first_token(job, start),
                    job.tokens,
                )
                for grant, job, start in self._open.values()
            ]
        )
        self._present.set()
        # The hosts' repeated asks arrive before the last one is done.
        self._loop.call_later(
            _SETTLE_SECONDS / 2,
            self._leader.settled,
        )

    async def _ask(
        self,
        ask: requests.Ask,
    ) -> requests.Grant | requests.Denial:
        answer = None
        while answer is None:
            await self._present.wait()
            self.messages['ask'] += 1
            await asyncio.sleep(HOP_SECONDS)
            answer = await self._ask_one(self._leader, ask)
        self.messages['answer'] += 1
        await asyncio.sleep(HOP_SECONDS)
        return answer

    async def _ask_one(
        self,
        owner: leader.PoolLeader,
        ask: requests.Ask,
    ) -> requests.Grant | requests.Denial | None:
        asking = asyncio.create_task(owner.ask(ask))
        losing = asyncio.create_task(self._lost.wait())
        try:
            await asyncio.wait(
                (asking, losing),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            losing.cancel()
            if not asking.done():
                asking.cancel()
        if not asking.done():
            return None
        answer = asking.result()
        if isinstance(answer, requests.Grant):
            grant = requests.OpenGrant(ask, answer)
            self._granted[ask.request_id] = grant
        return answer

    def _release(self, release: requests.Release) -> None:
        self.messages['release'] += 1
        self._loop.call_later(HOP_SECONDS, self._deliver, release)

    def _deliver(self, release: requests.Release) -> None:
        # Without a leader the release is lost; the next one isn't told of
        # the grant either.
        if self._present.is_set():
            self._leader.release(release)

    def _on_preempt(self, preempt: requests.Preempt) -> None:
        self.messages['preempt'] += 1
        self._loop.call_later(HOP_SECONDS, self._preempt, preempt.request_id)

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(_PROGRESS_SECONDS)
            if self._present.is_set():
                self._report_open()

    def _report_open(self) -> None:
        # One message carries the progress of all calls of a host.
        hosts = {job.call.host for _, job, _ in self._open.values()}
        self.messages['progress'] += len(hosts)
        for request_id, (_, job, start) in list(self._open.items()):
            progress = requests.Progress(
                request_id,
                _first_token(job, start),
                job.tokens,
            )
            self._leader.progress(progress)


def _ask_for(call: traffic.Call) -> requests.Ask:
    intent = call.intent
    return requests.Ask(
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
