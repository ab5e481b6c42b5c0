"""Plays a rollout on one pool and counts what its version got."""

import asyncio
import dataclasses
import random
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.fakes.rollouts import owners, versions
from geraniumweir.membership import servers
from geraniumweir.rollout import (
    budget,
    controller,
    detection,
    orders,
    schedule,
)
from geraniumweir.scheduling import requests, settings
from geraniumweir.scheduling.ontime import leader

POOL = ids.PoolName('pool')
OLD = ids.SoftwareVersion('v1')
NEW = ids.SoftwareVersion('v2')
_DOMAINS = ('one', 'two', 'three')
_STEP_SECONDS = 0.1
_STORE_SECONDS = 0.02
_FOLLOW_SECONDS = 0.1
_TARGET_SECONDS = 1.0
_PATIENCE_SECONDS = 5.0
_FAILURE_SECONDS = 0.05
_RARE_PART = 0.1
_RARE = ids.RuleName('rare')
_COMMON = ids.RuleName('common')
_FAILS_OFTEN = 0.5
_FIRST_SECONDS = 0.2
_ID_BITS = 60
_PROMPT_TOKENS = 500
_TOKENS = 100
_SPEEDS = (1.0, 2.0, 4.0)
_BURST = (3.0, 6.0)
# A bad version gets nothing that is sent so long after its 50th bad answer.
_BAD_ANSWERS = 50
_ROLL_BACK_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is played.

    :ivar rate: requests a second.
    :ivar held: mean seconds for which a request keeps a slot.
    :ivar seconds: given for the rollout.
    """

    version: versions.Version
    trouble: versions.Trouble = versions.Trouble.calm
    seed: int = 1
    rate: float = 200
    held: float = 0.6
    servers: int = 20
    slots: int = 6
    seconds: float = 12
    bounds: budget.Bounds = budget.Bounds()
    judge: typing.Callable[[], detection.Detector] = detection.CusumDetector


@dataclasses.dataclass(slots=True)
class Result:
    """What came of it.

    :ivar requests: that reached the pool within the time given.
    :ivar exposure: of these, those that the new version got.
    :ivar bad: bad answers of the new version.
    :ivar after: requests that it got too long after its 50th bad answer.
    :ivar lost: requests that ran on old servers when these stopped.
    :ivar moved: requests that moved from old servers to others.
    :ivar mixed: of these, streams that had begun.
    :ivar refused: requests that got no server.
    :ivar ended: seconds after the order, None where it didn't.
    """

    state: orders.State = orders.State.running
    requests: int = 0
    exposure: int = 0
    bad: int = 0
    after: int = 0
    lost: int = 0
    moved: int = 0
    mixed: int = 0
    refused: int = 0
    ended: float | None = None
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Work:
    """How a server serves a request.

    :ivar first: seconds to the first token, or to the failure.
    :ivar speed: of the server, relative to the slowest.
    """

    first: float
    speed: float
    fails: bool = False

    @property
    def outcome(self) -> requests.Outcome:
        """Return how it ends if it isn't moved."""
        if self.fails:
            return requests.Outcome.answered_failure
        return requests.Outcome.done


def run(plan: Plan) -> Result:
    """Play a plan to its end."""
    return virtual.run(_run(plan))


async def _run(plan: Plan) -> Result:
    return await _Play(plan, asyncio.get_running_loop().time).run()


class _Play:
    """One play; the order is given at the second 0."""

    def __init__(self, plan: Plan, now: typing.Callable[[], float]) -> None:
        self._plan = plan
        self._now = now
        self._start = now()
        self._chance = random.Random(plan.seed)
        self._result = Result()
        self._known = {
            found.server_id: found
            for version in (OLD, NEW)
            for found in _servers(plan, version)
        }
        self._speeds = {
            name: self._chance.choice(_SPEEDS) for name in self._known
        }
        self._running = dict.fromkeys(self._known, 0)
        self._owners = owners.Owners(now, plan.seed)
        self._fiftieth: float | None = None
        rollout = orders.Rollout(POOL, 1, NEW, plan.seconds)
        self._sighted = controller.ObservedOrder(rollout, self._start)
        self._lead()

    async def run(self) -> Result:
        """Let requests come until some seconds after the time given."""
        end = self._plan.seconds + _ROLL_BACK_SECONDS
        async with asyncio.TaskGroup() as group:
            group.create_task(self._offer(group, end))
            group.create_task(self._conduct(end))
            group.create_task(self._follow(end))
            if self._plan.trouble is versions.Trouble.takeover:
                group.create_task(self._take_over())
        self._result.state = self._sighted.rollout.state
        self._result.reason = self._sighted.rollout.reason
        return self._result

    def _age(self) -> float:
        return self._now() - self._start

    def _lead(self) -> None:
        """Begin as a coordinator does: with the log and no evidence."""
        self._guide = controller.RolloutController(
            lambda: self._sighted,
            self._now,
            self._plan.bounds,
            may_spend_budget=lambda: True,
            judge=self._plan.judge,
        )
        self._leader = leader.OnTimePoolLeader(
            settings.LeaderSettings(POOL),
            self._now,
            lambda: list(self._known.values()),
            self._guide,
        )

    async def _take_over(self) -> None:
        """Let another coordinator begin in the middle of the rollout."""
        await asyncio.sleep(self._chance.uniform(0, self._plan.seconds))
        self._lead()
        await self._owners.hand_over(self._leader)

    async def _conduct(self, end: float) -> None:
        while self._age() < end:
            await asyncio.sleep(_STEP_SECONDS)
            step = self._guide.next_step(self._leader.rollout_load())
            if step is not None:
                await asyncio.sleep(_STORE_SECONDS)
                self._store(step)

    async def _follow(self, end: float) -> None:
        """Let the entry hosts move requests off old servers."""
        while self._age() < end:
            await asyncio.sleep(_FOLLOW_SECONDS)
            if schedule.moves_running(self._sighted.rollout, self._age()):
                self._owners.preempt_old_versions(NEW)

    def _store(self, step: controller.Advance | controller.End) -> None:
        before = self._sighted.rollout
        match step:
            case controller.Advance(phase, exposure, counted, answers):
                after = dataclasses.replace(
                    before,
                    phase=max(before.phase, phase),
                    exposure=max(before.exposure, exposure),
                    requests=max(before.requests, counted),
                    answers=max(before.answers, answers),
                )
            case controller.End(state, reason):
                after = dataclasses.replace(before, state=state, reason=reason)
                self._result.ended = self._age()
                self._end(state)
        self._sighted = controller.ObservedOrder(after, self._sighted.started)
        self._leader.grant_waiting()

    def _end(self, state: orders.State) -> None:
        """Stop the old servers at once where the rollout is completed."""
        if state is not orders.State.completed:
            return
        for name, found in list(self._known.items()):
            if found.version == OLD:
                self._result.lost += self._running[name]
                self._known.pop(name)

    async def _offer(self, group: asyncio.TaskGroup, end: float) -> None:
        while self._age() < end:
            rate = self._plan.rate
            in_burst = _BURST[0] < self._age() < _BURST[1]
            if in_burst and self._plan.trouble is versions.Trouble.burst:
                rate *= 2
            await asyncio.sleep(self._chance.expovariate(rate))
            group.create_task(self._caller())

    async def _caller(self) -> None:
        rare = self._chance.random() < _RARE_PART
        now = self._now()
        ask = requests.SlotRequest(
            request_id=ids.RequestId(f'{self._chance.getrandbits(_ID_BITS):x}'),
            owner=self._owners.next_owner(),
            pool=POOL,
            customer=ids.CustomerName('customer'),
            rule=_RARE if rare else _COMMON,
            tier=ids.Tier.normal,
            deadline=now + 10,
            prompt_tokens=_PROMPT_TOKENS,
            max_tokens=_TOKENS,
            likely_tokens=_TOKENS,
            fingerprint=ids.Fingerprint(self._chance.getrandbits(_ID_BITS)),
            target=now + _TARGET_SECONDS,
            patience=now + _PATIENCE_SECONDS,
        )
        held: float | None = None
        while True:
            answer = await self._leader.request_slot(ask)
            if isinstance(answer, requests.Denial):
                self._result.refused += 1
                return
            held = await self._serve(ask, answer, held)
            if held is None:
                return
            self._result.moved += 1
            ask = dataclasses.replace(
                ask,
                sending=requests.Sending.retry,
                target=self._now() + _TARGET_SECONDS,
                patience=self._now() + _PATIENCE_SECONDS,
            )

    async def _serve(
        self,
        ask: requests.SlotRequest,
        grant: requests.Grant,
        held: float | None,
    ) -> float | None:
        """Serve a request on the server that was granted.

        :param held: seconds of work that are left, None for a new request.
        :returns: seconds of work for another server, None where it ended.
        """
        work = self._work(ask, grant)
        if held is None:
            held = self._chance.expovariate(1 / self._plan.held)
        served = self._owners.begin(ask, grant)
        self._running[grant.server_id] += 1
        is_done = await served.work(work.first)
        if is_done and not work.fails:
            served.first_token = work.first
            self._leader.progress(requests.Progress(ask.request_id, work.first))
            is_done = await served.work(held / work.speed)
        self._running[grant.server_id] -= 1
        self._owners.end(served)
        outcome = work.outcome if is_done else requests.Outcome.preempted
        self._leader.release(
            requests.Release(
                ask.request_id,
                outcome,
                first_token=served.first_token,
                output_tokens=_TOKENS,
                seconds=work.first + held,
            ),
        )
        if is_done:
            return None
        self._result.mixed += served.first_token is not None
        worked = self._now() - served.granted_at - work.first
        return max(held - max(worked, 0) * work.speed, 0)

    def _work(self, ask: requests.SlotRequest, grant: requests.Grant) -> _Work:
        """Return how the server serves a request."""
        bad = self._count(ask, grant, self._age())
        speed = self._speeds[grant.server_id]
        if bad and self._plan.version.kind is versions.Kind.slow:
            speed /= self._plan.version.slowness
        elif bad:
            return _Work(_FAILURE_SECONDS, speed, fails=True)
        return _Work(_FIRST_SECONDS / speed, speed)

    def _count(
        self,
        ask: requests.SlotRequest,
        grant: requests.Grant,
        age: float,
    ) -> bool:
        """Count a request at its server; tell whether its answer is bad."""
        new = grant.version == NEW
        if age <= self._plan.seconds:
            self._result.requests += 1
            self._result.exposure += new
        if not new:
            return self._is_bad_of_old(grant.server_id)
        if self._fiftieth is not None:
            late = age > self._fiftieth + _ROLL_BACK_SECONDS
            self._result.after += late
        bad = self._is_bad_of_new(ask, grant.server_id, age)
        self._result.bad += bad
        if self._result.bad == _BAD_ANSWERS and bad:
            self._fiftieth = age
        return bad

    def _is_bad_of_old(self, name: ids.ServerId) -> bool:
        if self._plan.trouble is not versions.Trouble.old_fails:
            return False
        first = next(iter(self._known))
        return name == first and self._chance.random() < _FAILS_OFTEN

    def _is_bad_of_new(
        self,
        ask: requests.SlotRequest,
        name: ids.ServerId,
        age: float,
    ) -> bool:
        if self._plan.trouble is versions.Trouble.new_broken:
            if name == f'{NEW}-00':
                return True
        part = self._plan.version.chance_of_bad(
            age,
            self._running[name] / self._plan.slots,
            rare_route=ask.rule == _RARE,
        )
        return self._chance.random() < part


def _servers(
    plan: Plan,
    version: ids.SoftwareVersion,
) -> list[servers.Announcement]:
    return [
        servers.Announcement(
            ids.ServerId(f'{version}-{number:02}'),
            ids.Incarnation(1),
            ids.Address('127.0.0.1', 1),
            'engine',
            POOL,
            ids.FailureDomain(_DOMAINS[number % len(_DOMAINS)]),
            slots=plan.slots,
            version=version,
        )
        for number in range(plan.servers)
    ]
