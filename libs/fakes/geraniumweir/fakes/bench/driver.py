"""Runs one scenario under one policy and gives its account.

Callers are tasks: each calls through an entry host, waits for its answer, and
may come back after a refusal or a broken stream while its deadline allows it.
"""

import asyncio
import dataclasses
import itertools
import random
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.fakes.bench import (
    baselines,
    engine_model,
    faults,
    fleet,
    leader_policy,
    ledger,
    policies,
    scenarios,
    traffic,
)

_RECONNECT_SECONDS = 0.05
_BROKEN_RETRY_SECONDS = 1.0
_RETRY_MARGIN = 1.0
_IMPATIENT_SECONDS = 4.0
_NAIVE: dict[str, type[baselines.Baseline]] = {
    'round-robin': baselines.RoundRobin,
    'least-load': baselines.LeastLoad,
    'two-choices': baselines.TwoChoices,
    'prefix-hash': baselines.PrefixHash,
}
LEADER = 'pool-leader'
POLICIES = (LEADER, *_NAIVE)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What is left of a run.

    :ivar crashes: of engines.
    """

    scenario: scenarios.Scenario
    policy: str
    intents: list[traffic.Intent]
    account: ledger.Ledger
    crashes: int


def run(scenario: scenarios.Scenario, policy: str, seed: int) -> Run:
    """Run a scenario to its end in virtual time.

    :param policy: one of :data:`POLICIES`.
    """
    return virtual.run(_run(scenario, policy, seed))


async def _run(scenario: scenarios.Scenario, policy: str, seed: int) -> Run:
    driver = _Driver(scenario, policy, seed)
    intents = scenario.intents(seed)
    await driver.serve(intents)
    crashes = sum(engine.crashes for engine in driver.fleet.engines.values())
    return Run(scenario, policy, intents, driver.account, crashes)


class _Driver:
    """Callers, entry hosts and engines of one run."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        policy: str,
        seed: int,
    ) -> None:
        self.account = ledger.Ledger()
        self.fleet = fleet.Fleet(scenario, seed)
        self._scenario = scenario
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._jobs: dict[
            ids.RequestId, tuple[engine_model.Engine, engine_model.Job]
        ] = {}
        self._policy = self._make_policy(policy)

    async def serve(self, intents: typing.Sequence[traffic.Intent]) -> None:
        """Let all callers come, and wait until the last has its answer."""
        beside = [asyncio.create_task(self.fleet.report_to(self._policy))]
        async with asyncio.TaskGroup() as group:
            for fault in self._scenario.faults:
                group.create_task(self._inject(fault))
            for intent in intents:
                await asyncio.sleep(intent.arrival - self._loop.time())
                group.create_task(self._satisfy(intent))
        self._policy.close()
        self.account.messages.update(self._policy.messages)
        for task in beside:
            task.cancel()

    def _make_policy(self, name: str) -> policies.Policy:
        if name == LEADER:
            return leader_policy.LeaderPolicy(
                self.fleet.live,
                self._preempt,
                self._seed,
            )
        return _NAIVE[name](self.fleet.live, self._seed)

    async def _inject(self, fault: scenarios.Fault) -> None:
        match fault:
            case scenarios.PoisonFault():
                await self._poison(fault)
            case scenarios.LeaderFault(start=start):
                await asyncio.sleep(start)
                self._policy.lose_leader()
            case _:
                await faults.apply_to_engines(fault, self.fleet.engines)

    async def _poison(self, fault: scenarios.PoisonFault) -> None:
        await asyncio.sleep(fault.start)
        mix = traffic.load_mix(self._scenario.mix)
        for number in range(fault.resends + 1):
            intent = faults.poison_intent(mix, self._loop.time())
            wait = await self._call(intent, number)
            # This caller has no patience with a long ``Retry-After``.
            pause = min(wait or _BROKEN_RETRY_SECONDS, _IMPATIENT_SECONDS)
            await asyncio.sleep(pause)

    async def _satisfy(self, intent: traffic.Intent) -> None:
        rng = random.Random(f'{self._seed} {intent.number}')
        for attempt in itertools.count():
            wait = await self._call(intent, attempt)
            if wait is None or rng.random() > self._scenario.retry_share:
                return
            until = self._loop.time() + wait
            if until + _RETRY_MARGIN > intent.deadline:
                return
            await asyncio.sleep(wait)

    async def _call(self, intent: traffic.Intent, attempt: int) -> float | None:
        """Call once.

        :returns: seconds after which another call can help, or None.
        """
        call = traffic.Call(
            ids.RequestId(f'{intent.number}.{attempt}'),
            (intent.number + attempt) % policies.ENTRY_HOSTS,
            intent,
            self._loop.time(),
            intent.deadline,
        )
        while True:
            answer = await self._policy.place(call)
            if isinstance(answer, policies.Rejection):
                return self._refuse(call, answer)
            engine = self.fleet.engines[answer.server_id]
            try:
                job = engine.submit(call)
            except engine_model.EngineDownError:
                self._policy.not_sent(call)
            else:
                return await self._follow(engine, job)
            if self._loop.time() + _RECONNECT_SECONDS > call.deadline:
                self.account.shed(call, self._loop.time())
                return None
            await asyncio.sleep(_RECONNECT_SECONDS)

    def _refuse(
        self,
        call: traffic.Call,
        rejection: policies.Rejection,
    ) -> float | None:
        self.account.ends[rejection.reason] += 1
        if rejection.shed:
            self.account.shed(call, self._loop.time())
        return rejection.retry_after

    async def _follow(
        self,
        engine: engine_model.Engine,
        job: engine_model.Job,
    ) -> float | None:
        request_id = job.call.request_id
        self.account.dispatched(job.call)
        self._policy.started(job)
        self._jobs[request_id] = (engine, job)
        try:
            async with asyncio.timeout_at(job.call.deadline):
                end = await asyncio.shield(job.ended)
        except TimeoutError:
            engine.cancel(job)
            end = await job.ended
        self._jobs.pop(request_id)
        self._policy.ended(job, end)
        return self._account_for(engine, job, end)

    def _account_for(
        self,
        engine: engine_model.Engine,
        job: engine_model.Job,
        end: engine_model.JobEnd,
    ) -> float | None:
        now = self._loop.time()
        useful = end is engine_model.JobEnd.done
        self.account.ends[end.value] += 1
        self.account.job_over(job, engine.server_id, now, useful)
        idempotent = job.call.intent.kind.idempotent
        match end:
            case engine_model.JobEnd.cancelled if job.admitted_at is None:
                self.account.shed(job.call, now)
            case engine_model.JobEnd.preempted:
                self.account.shed(job.call, now)
                return _BROKEN_RETRY_SECONDS
            case engine_model.JobEnd.broken if idempotent:
                return _BROKEN_RETRY_SECONDS
        return None

    def _preempt(self, request_id: ids.RequestId) -> None:
        found = self._jobs.get(request_id)
        if found is not None:
            engine, job = found
            engine.cancel(job, engine_model.JobEnd.preempted)
