"""Plays a shape: entry hosts, callers and engines around a pool leader."""

import asyncio
import dataclasses
import itertools
import random
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.fakes.bench import engine_model, hardware, prefix_cache
from geraniumweir.fakes.surge import callers, shapes
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests, settings
from geraniumweir.scheduling.ontime import leader

_POOL = ids.PoolName('pool')
# Engines of three are two of one generation and one of an older.
_SPEEDS = (0.68, 0.68, 3.0)
_KV_TOKENS = 550_000
_STEP_SECONDS = 0.003
# How much longer a step takes for each further request in the batch.
_STEP_PART_EACH = 0.03
_PREFILL_TOKENS_PER_SECOND = 92_000
# How often an entry host looks at its engine here, in seconds.
_LOOK_SECONDS = 0.01
# Between the events of a stream, in seconds.
_LONGEST_PAUSE = 0.25
# Callers wait as told for this part of the time that they have left at most.
_LONGEST_WAIT = 1 / 3
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Accelerator(hardware.Hardware):
    """An engine whose step takes longer by its ``speed``."""

    def step_seconds(self, chunk: int, decodes: int) -> float:
        """Give the length of one step in seconds."""
        seconds = _STEP_SECONDS
        seconds *= 1 + _STEP_PART_EACH * max(decodes - 1, 0)
        return self.speed * (seconds + chunk / _PREFILL_TOKENS_PER_SECOND)


@dataclasses.dataclass(slots=True, eq=False)
class _Open:
    """A grant in use."""

    ask: requests.SlotRequest
    grant: requests.Grant
    job: engine_model.Job
    start: float

    def first(self) -> float | None:
        """Give the seconds to its first token."""
        at = self.job.first_token_at
        return None if at is None else at - self.start


class _Play:
    """One play."""

    def __init__(self, shape: shapes.Shape) -> None:
        self.accounts = {
            kind.name: shapes.Account() for kind in shapes.kinds(shape.kinds)
        }
        self._shape = shape
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(shape.seed)
        self._engines = _engines(shape)
        self._announced = [
            _announcement(engine, shape.slots) for engine in self._engines
        ]
        self._by_id = {engine.server_id: engine for engine in self._engines}
        self._open: dict[ids.RequestId, _Open] = {}
        self._leader = self._new_leader()
        # Set whenever the coordinator is lost.
        self._lost = asyncio.Event()
        self._turned: dict[ids.HostId, asyncio.Event] = {}
        for number in range(shape.entry_hosts):
            turned = asyncio.Event()
            turned.set()
            self._turned[ids.HostId(f'entry-{number}')] = turned

    async def run(self) -> None:
        """Play it to the end of the last request."""
        tasks = [
            asyncio.create_task(self._call(caller))
            for caller in callers.draw(self._shape, self._rng)
        ]
        spells = [
            asyncio.create_task(self._slow_down(engine))
            for engine in self._engines
            if self._shape.slow_spells.share
        ]
        if self._shape.freeze is not None:
            tasks.append(asyncio.create_task(self._freeze(self._shape.freeze)))
        await asyncio.gather(*tasks)
        for task in spells:
            task.cancel()

    async def _slow_down(self, engine: engine_model.Engine) -> None:
        """Draw anew from time to time whether an engine is slow."""
        spells = self._shape.slow_spells
        rng = random.Random(f'{self._shape.seed}/{engine.server_id}')
        await asyncio.sleep(rng.uniform(0, spells.seconds))
        while True:
            is_slow = rng.random() < spells.share
            engine.set_pace(1 / spells.factor if is_slow else 1)
            await asyncio.sleep(spells.seconds)

    def _new_leader(self) -> leader.OnTimePoolLeader:
        return leader.OnTimePoolLeader(
            settings.LeaderSettings(_POOL, 'surge', takeover_seconds=0.1),
            self._loop.time,
            lambda: self._announced,
        )

    async def _call(self, caller: callers.Caller) -> None:
        await asyncio.sleep(caller.arrives - self._loop.time())
        account = self.accounts[caller.kind.name]
        account.asked += 1
        end = self._loop.time() + caller.kind.time_limit
        for attempt in range(2):
            ask = self._ask(caller, attempt, end)
            answer = await self._answer(ask)
            if isinstance(answer, requests.Grant):
                await self._serve(caller, ask, answer)
                return
            if answer is None:
                account.left += 1
                return
            left = end - self._loop.time()
            told = answer.retry_after_ms / _MS
            await asyncio.sleep(min(told, left * _LONGEST_WAIT))
        account.refused += 1

    def _ask(
        self, caller: callers.Caller, attempt: int, end: float
    ) -> requests.SlotRequest:
        now = self._loop.time()
        kind = caller.kind
        return requests.SlotRequest(
            ids.RequestId(f'{caller.name}.{attempt}'),
            self._rng.choice(tuple(self._turned)),
            _POOL,
            ids.CustomerName('customer'),
            kind.name,
            ids.Tier.normal,
            end,
            prompt_tokens=caller.prompt_tokens,
            max_tokens=caller.output_tokens * 2,
            likely_tokens=caller.likely_tokens,
            fingerprint=ids.Fingerprint(hash(caller.name)),
            target=now + kind.target,
            rank=kind.rank,
            patience=min(now + kind.patience, end),
            gap=_LONGEST_PAUSE,
            streams=True,
        )

    async def _answer(
        self,
        ask: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial | None:
        """Wait for an answer, at one coordinator after the other."""
        answer = None
        try:
            async with asyncio.timeout_at(ask.patience):
                while answer is None:
                    answer = await self._answer_of_one(ask)
        except TimeoutError:
            return None
        return answer

    async def _answer_of_one(
        self,
        ask: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial | None:
        await self._turned[ask.owner].wait()
        asked = asyncio.create_task(self._leader.request_slot(ask))
        lost = asyncio.create_task(self._lost.wait())
        try:
            await asyncio.wait(
                (asked, lost),
                return_when=asyncio.FIRST_COMPLETED,
            )
            return None if lost.done() else asked.result()
        finally:
            lost.cancel()
            asked.cancel()

    async def _serve(
        self,
        caller: callers.Caller,
        ask: requests.SlotRequest,
        grant: requests.Grant,
    ) -> None:
        engine = self._by_id[grant.server_id]
        job = engine.submit(typing.cast(typing.Any, _Work(caller)))
        found = _Open(ask, grant, job, self._loop.time())
        self._open[ask.request_id] = found
        account = self.accounts[caller.kind.name]
        outcome = await self._watch(engine, found)
        self._open.pop(ask.request_id)
        self._release(caller, found, outcome)
        first = job.first_token_at
        if first is None or outcome is not requests.Outcome.done:
            account.left += 1
        elif first <= caller.arrives + caller.kind.target:
            account.on_time += 1
        else:
            account.late += 1

    async def _watch(
        self,
        engine: engine_model.Engine,
        found: _Open,
    ) -> requests.Outcome:
        """Follow a request to its end."""
        told = False
        while not found.job.ended.done():
            await asyncio.sleep(_LOOK_SECONDS)
            first = found.first()
            if first is None and self._loop.time() > found.ask.patience:
                engine.cancel(found.job)
                return requests.Outcome.cancelled
            if first is not None and not told and self._hears(found.ask.owner):
                told = True
                progress = requests.Progress(found.ask.request_id, first, 1)
                self._leader.progress(progress)
        return requests.Outcome.done

    def _release(
        self,
        caller: callers.Caller,
        found: _Open,
        outcome: requests.Outcome,
    ) -> None:
        if not self._hears(found.ask.owner):
            return
        seconds = self._loop.time() - found.start
        first = found.first()
        pause = (seconds - (first or 0)) / caller.output_tokens
        self._leader.release(
            requests.Release(
                found.ask.request_id,
                outcome,
                first,
                caller.output_tokens,
                seconds,
                pause,
                pause,
            ),
        )

    def _hears(self, host: ids.HostId) -> bool:
        return self._turned[host].is_set()

    async def _freeze(self, freeze: shapes.Freeze) -> None:
        await asyncio.sleep(freeze.start)
        for turned in self._turned.values():
            turned.clear()
        self._lost.set()
        await asyncio.sleep(freeze.gap)
        self._lost.clear()
        self._leader = self._new_leader()
        turns = [
            (self._rng.uniform(0, freeze.spread), host) for host in self._turned
        ]
        begun = self._loop.time()
        for after, host in sorted(turns):
            await asyncio.sleep(begun + after - self._loop.time())
            self._turn(host)

    def _turn(self, host: ids.HostId) -> None:
        """Let an entry host turn to the new coordinator."""
        now = self._loop.time()
        self._turned[host].set()
        self._leader.adopt(
            [
                requests.OpenGrant(
                    found.ask,
                    found.grant,
                    now - found.start,
                    found.first(),
                )
                for found in self._open.values()
                if found.ask.owner == host
            ],
        )


class _Work:
    """A request as an engine sees it."""

    poison = False
    blocks: tuple[ids.BlockHash, ...] = ()

    def __init__(self, caller: callers.Caller) -> None:
        self.prompt_tokens = caller.prompt_tokens
        self.output_tokens = caller.output_tokens


async def play(shape: shapes.Shape) -> dict[ids.RuleName, shapes.Account]:
    """Play a shape and give what the callers of each class got."""
    found = _Play(shape)
    await found.run()
    return found.accounts


def run(shape: shapes.Shape) -> dict[ids.RuleName, shapes.Account]:
    """Play a shape in virtual time."""
    return virtual.run(play(shape))


def _engines(shape: shapes.Shape) -> list[engine_model.Engine]:
    pool = prefix_cache.PoolBlocks()
    speeds = itertools.islice(itertools.cycle(_SPEEDS), shape.engines)
    return [
        engine_model.Engine(
            ids.ServerId(f'engine-{number}'),
            Accelerator(
                'accelerator',
                speed,
                kv_tokens=_KV_TOKENS,
                slots=shape.slots,
            ),
            pool,
        )
        for number, speed in enumerate(speeds)
    ]


def _announcement(
    engine: engine_model.Engine,
    slots: int,
) -> servers.Announcement:
    return servers.Announcement(
        engine.server_id,
        engine.incarnation,
        ids.Address('127.0.0.1', 1),
        'engine',
        _POOL,
        ids.FailureDomain('x'),
        slots=slots,
    )
