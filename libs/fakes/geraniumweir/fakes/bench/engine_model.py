"""A model of an inference engine with continuous batching, in virtual time.

An engine admits requests in arrival order while it has a slot and room in its
KV cache, and knows no tiers. It works in steps: one step takes a chunk of
prompt tokens of the first request that still prefills and one token of every
request that decodes, so a full batch decodes slower and a long prompt holds
up everybody's tokens. An engine can stall, slow down, be cut off, crash and
start again. Room in the KV cache is reserved for the whole answer, so the
model never swaps a running request out, which real engines do.

References
==========
.. [1] G.-I. Yu et al., "Orca: A Distributed Serving System for
   Transformer-Based Generative Models", OSDI 2022.
.. [2] A. Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference
   with Sarathi-Serve", OSDI 2024.
"""

import asyncio
import collections
import dataclasses
import enum

from geraniumweir.common import ids
from geraniumweir.fakes.bench import hardware, prefix_cache, traffic

_CRASH_AFTER_TOKENS = 5
_LONGEST_DECODE = 4
_RESTART_SECONDS = 5.0


class JobEnd(enum.Enum):
    """How the work on one dispatched request ended."""

    done = 'done'
    cancelled = 'cancelled'
    broken = 'broken'
    preempted = 'preempted'


class EngineDownError(ConnectionRefusedError):
    """The engine took no connection, so no byte of the request was sent."""


class Job:
    """One dispatched request on an engine.

    :ivar computed: prompt tokens that were computed for it.
    :ivar repeated: those of them that a cache of the pool held.
    :ivar recomputed: those that the pool had computed before and evicted.
    :ivar admitted_at: when it left the engine's own queue, or None.
    :ivar first_token_at: virtual time, or None.
    """

    __slots__ = (
        'admitted_at',
        'call',
        'computed',
        'ended',
        'first_token_at',
        'output_tokens',
        'position',
        'prompt_tokens',
        'recomputed',
        'repeated',
        'tokens',
    )

    def __init__(self, call: traffic.Call) -> None:
        """Start undone.

        :param call: the request.
        """
        self.call = call
        self.prompt_tokens = call.prompt_tokens
        self.output_tokens = call.output_tokens
        self.ended: asyncio.Future[JobEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self.computed = 0
        self.repeated = 0
        self.recomputed = 0
        self.position = 0
        self.tokens = 0
        self.admitted_at: float | None = None
        self.first_token_at: float | None = None

    @property
    def prefilling(self) -> bool:
        """Tell whether prompt tokens are left to compute."""
        return self.position < self.prompt_tokens

    @property
    def kv_tokens(self) -> int:
        """Count the tokens for which room is reserved."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """What one step does.

    :ivar chunk: prompt tokens, of the first job that prefills.
    :ivar rounds: tokens for every job that decodes.
    """

    prefills: Job | None
    chunk: int
    decodes: tuple[Job, ...]
    rounds: int


class Engine:
    """One engine; every change of its state happens in its steps."""

    def __init__(
        self,
        server_id: ids.ServerId,
        kind: hardware.Hardware,
        pool: prefix_cache.PoolBlocks,
    ) -> None:
        """Start idle.

        :param kind: how fast and how large it is.
        :param pool: the caches of the pool, for the account of waste.
        """
        self.server_id = server_id
        self.kind = kind
        self.incarnation = ids.Incarnation(1)
        self.reachable = True
        self.crashes = 0
        self.running: list[Job] = []
        self.waiting: collections.deque[Job] = collections.deque()
        self.cache = prefix_cache.PrefixCache(kind.cache_blocks, pool)
        self._pool = pool
        self._pace = float(1)
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, call: traffic.Call) -> Job:
        """Take a request into the engine's own queue.

        :raises EngineDownError: when the engine can't be reached.
        """
        if not self.reachable:
            raise EngineDownError(self.server_id)
        job = Job(call)
        self.waiting.append(job)
        self._arm()
        return job

    def cancel(self, job: Job, end: JobEnd = JobEnd.cancelled) -> None:
        """Stop work on a request; one that has ended is ignored.

        :param end: why.
        """
        if job in self.running:
            self.running.remove(job)
        elif job in self.waiting:
            self.waiting.remove(job)
        _end(job, end)

    def set_pace(self, pace: float) -> None:
        """Slow down without a sign of it.

        :param pace: share of the usual speed; 0 stalls the engine.
        """
        self._pace = pace
        self._disarm()
        self._arm()

    def crash(self) -> None:
        """Lose all work, the cache and the process."""
        self.crashes += 1
        self.cut_off()
        self.cache.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(_RESTART_SECONDS, self._restart)

    def cut_off(self) -> None:
        """Become unreachable; whatever was in flight is broken."""
        self.reachable = False
        self._disarm()
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in lost:
            _end(job, JobEnd.broken)

    def heal(self) -> None:
        """Become reachable again after a cut."""
        self.reachable = True

    def kv_used(self) -> int:
        """Count reserved tokens of KV cache."""
        return sum(job.kv_tokens for job in self.running)

    def _restart(self) -> None:
        self.incarnation = ids.Incarnation(self.incarnation + 1)
        self.reachable = True

    def _arm(self) -> None:
        if self._timer is not None or not self._pace or not self.reachable:
            return
        self._admit()
        if not self.running:
            return
        step = self._plan()
        seconds = self.kind.step_seconds(step.chunk, len(step.decodes))
        if step.rounds:
            seconds *= step.rounds
        loop = asyncio.get_running_loop()
        delay = seconds / self._pace
        self._timer = loop.call_later(delay, self._finish, step)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None

    def _admit(self) -> None:
        if not self.waiting:
            return
        used = self.kv_used()
        while self.waiting and len(self.running) < self.kind.slots:
            used += self.waiting[0].kv_tokens
            if used > self.kind.kv_tokens and self.running:
                return
            job = self.waiting.popleft()
            job.admitted_at = asyncio.get_running_loop().time()
            cached = self.cache.match(job.call.blocks)
            # The last token is always computed, to have its logits.
            job.position = min(
                cached * prefix_cache.BLOCK_TOKENS,
                job.prompt_tokens - 1,
            )
            self.running.append(job)

    def _plan(self) -> _Step:
        prefills = next((job for job in self.running if job.prefilling), None)
        decodes = tuple(job for job in self.running if not job.prefilling)
        if prefills is not None:
            left = prefills.prompt_tokens - prefills.position
            chunk = min(hardware.CHUNK_TOKENS, left)
            return _Step(prefills, chunk, decodes, 1)
        shortest = min(job.output_tokens - job.tokens for job in decodes)
        rounds = max(1, min(shortest, _LONGEST_DECODE))
        return _Step(None, 0, decodes, rounds)

    def _finish(self, step: _Step) -> None:
        self._timer = None
        if step.prefills is not None and step.prefills in self.running:
            self._prefill(step.prefills, step.chunk)
            self._settle(step.prefills)
        for job in step.decodes:
            job.tokens += step.rounds
            self._settle(job)
        self._arm()

    def _prefill(self, job: Job, chunk: int) -> None:
        before = job.position // prefix_cache.BLOCK_TOKENS
        job.position += chunk
        job.computed += chunk
        after = job.position // prefix_cache.BLOCK_TOKENS
        for block in job.call.blocks[before:after]:
            if self._pool.holders[block]:
                job.repeated += prefix_cache.BLOCK_TOKENS
            elif block in self._pool.seen:
                job.recomputed += prefix_cache.BLOCK_TOKENS
            self.cache.store(block)
        if not job.prefilling:
            job.tokens = 1
            job.first_token_at = asyncio.get_running_loop().time()

    def _settle(self, job: Job) -> None:
        if job.ended.done() or job.prefilling:
            return
        if job.call.poison and job.tokens > _CRASH_AFTER_TOKENS:
            self.crash()
        elif job.tokens >= job.output_tokens:
            self.running.remove(job)
            _end(job, JobEnd.done)


def _end(job: Job, end: JobEnd) -> None:
    if not job.ended.done():
        job.ended.set_result(end)
