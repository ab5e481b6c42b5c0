"""The engines of a run, their announcements and their late reports."""

import asyncio
import collections
import random
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import (
    engine_model,
    policies,
    prefix_cache,
    scenarios,
)
from geraniumweir.membership import servers

_REPORT_SECONDS = 1.0
_ADDRESS = ids.Address('127.0.0.1', 1)
_POOL = ids.PoolName('pool')
_DOMAIN = ids.FailureDomain('domain')


class Fleet:
    """All engines of a pool, and the leases of their announcements."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
    ) -> None:
        """Start the engines."""
        self.engines: dict[ids.ServerId, engine_model.Engine] = {}
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._registry = servers.Registry()
        self._sequences: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._loop = asyncio.get_running_loop()
        pool = prefix_cache.PoolBlocks()
        for number, kind in enumerate(scenario.hardware()):
            server_id = ids.ServerId(f'engine-{number}')
            engine = engine_model.Engine(server_id, kind, pool)
            self.engines[server_id] = engine
            self._registry.announce(_announcement(engine), self._loop.time())

    def live(self) -> list[servers.Announcement]:
        """List the engines whose lease holds."""
        return self._registry.live(self._loop.time())

    async def report_to(self, policy: policies.Policy) -> None:
        """Announce and report once a second, engine after engine."""
        pause = _REPORT_SECONDS / len(self.engines)
        while True:
            for engine in self.engines.values():
                await asyncio.sleep(pause)
                if engine.reachable:
                    self._report(engine, policy)

    def _report(
        self,
        engine: engine_model.Engine,
        policy: policies.Policy,
    ) -> None:
        now = self._loop.time()
        if self._registry.announce(_announcement(engine), now):
            policy.restarted(engine.server_id)
        load = policies.Load(
            engine.server_id,
            engine.incarnation,
            len(engine.running),
            len(engine.waiting),
            engine.kv_used(),
            now,
        )
        self._send_late(policy.take_load, load)
        self._sequences[engine.server_id] += 1
        news = policies.CacheNews(
            engine.server_id,
            engine.incarnation,
            self._sequences[engine.server_id],
            engine.cache.take_changes(),
        )
        if self._rng.random() >= self._scenario.event_loss:
            self._send_late(policy.take_cache_news, news)

    def _send_late(
        self,
        take: typing.Callable[[typing.Any], None],
        message: policies.Load | policies.CacheNews,
    ) -> None:
        # Up to half a second of jitter lets messages overtake each other.
        lag = self._scenario.report_lag + self._rng.random() / 2
        self._loop.call_later(lag, take, message)


def _announcement(engine: engine_model.Engine) -> servers.Announcement:
    return servers.Announcement(
        engine.server_id,
        engine.incarnation,
        _ADDRESS,
        'engine',
        _POOL,
        _DOMAIN,
        hardware=engine.kind.name,
        slots=engine.kind.slots,
        kv_tokens=engine.kind.kv_tokens,
        can_cancel=True,
    )
