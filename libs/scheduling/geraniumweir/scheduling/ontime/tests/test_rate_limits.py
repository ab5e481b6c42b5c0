"""What servers get of a pool's requests that name a limit."""

import asyncio
import dataclasses
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import notices, requests, settings
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_WINDOW_SECONDS = 4
_HELD_SECONDS = 0.05
_NEEDY = play.server('needy')
_SOUND = play.server('sound')
_START = (ids.ServerId('needy'), ids.Incarnation(1))


@dataclasses.dataclass(slots=True)
class _Pool:
    """A pool of which one server may name a limit.

    :ivar per_second: that limit.
    :ivar granted: when each server got a request.
    """

    servers: typing.Sequence[typing.Any]
    per_second: float | None = None
    granted: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    denied: list[requests.DenialReason] = dataclasses.field(
        default_factory=list,
    )

    def lead(self) -> leader.OnTimePoolLeader:
        return leader.OnTimePoolLeader(
            settings.LeaderSettings(play.POOL),
            asyncio.get_running_loop().time,
            lambda: self.servers,
            rates=self._rates,
        )

    def _rates(self) -> dict[notices.ServerIncarnation, float]:
        return {} if self.per_second is None else {_START: self.per_second}

    async def offer(
        self,
        led: leader.OnTimePoolLeader,
        rate: float,
        seconds: float,
    ) -> None:
        """Let requests come evenly and wait for their end."""
        name = f'{asyncio.get_running_loop().time()}'
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                group.create_task(self._one(led, f'{name}-{number}'))
                await asyncio.sleep(1 / rate)

    async def _one(self, led: leader.OnTimePoolLeader, name: str) -> None:
        loop = asyncio.get_running_loop()
        answer = await led.request_slot(play.slot_request(name, loop.time()))
        if isinstance(answer, requests.Denial):
            self.denied.append(answer.reason)
            return
        self.granted.setdefault(answer.server_id, []).append(loop.time())
        await asyncio.sleep(_HELD_SECONDS)
        led.release(
            requests.Release(
                ids.RequestId(name),
                requests.Outcome.done,
                _HELD_SECONDS,
                100,
                _HELD_SECONDS,
            ),
        )

    def most(self, name: str, since: float = 0) -> int:
        """Give the most that a server got within a window."""
        times = [at for at in self.granted.get(name, []) if at >= since]
        return max(
            (
                sum(start <= at <= start + _WINDOW_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )


@pytest.mark.parametrize('limit', [0, 0.4, 1.9, 10])
def test_server_gets_its_limit_and_others_the_rest(limit: float) -> None:
    """The aim is the limit itself, not what it may be overstepped by."""

    async def work() -> None:
        pool = _Pool((_NEEDY, _SOUND))
        led = pool.lead()
        await pool.offer(led, 30, 3)
        pool.per_second = max(limit, 0.1)
        led.grant_waiting()
        since = asyncio.get_running_loop().time()
        await pool.offer(led, 30, 12)
        assert pool.most('needy', since) <= limit * _WINDOW_SECONDS * 1.25 + 1
        assert not pool.denied

    virtual.run(work())


def test_new_coordinator_grants_nothing_that_was_saved_up() -> None:
    """What the one before it granted isn't known."""

    async def work() -> None:
        pool = _Pool((_NEEDY,), per_second=2)
        for _ in range(4):
            await pool.offer(pool.lead(), 20, 1)
        assert 4 <= pool.most('needy') <= 2 * _WINDOW_SECONDS + 2

    virtual.run(work())


def test_lifted_limit_holds_nothing_back() -> None:
    """From the next look on."""

    async def work() -> None:
        pool = _Pool((_NEEDY,), per_second=1)
        led = pool.lead()
        await pool.offer(led, 20, 4)
        pool.per_second = None
        led.grant_waiting()
        since = asyncio.get_running_loop().time()
        pool.denied.clear()
        await pool.offer(led, 20, 4)
        assert pool.most('needy', since) >= 75
        assert not pool.denied

    virtual.run(work())


def test_callers_of_a_pool_in_need_are_refused_early() -> None:
    """Most can't be served: they hear so before they have waited for long."""

    async def work() -> None:
        pool = _Pool((_NEEDY,), per_second=1)
        led = pool.lead()
        await pool.offer(led, 20, 3)
        loop = asyncio.get_running_loop()
        asked = loop.time()
        answer = await led.request_slot(play.slot_request('late', asked))
        assert isinstance(answer, requests.Denial)
        assert loop.time() - asked < 1

    virtual.run(work())


def test_host_without_any_part_of_a_limit_refuses_early() -> None:
    """As one of hundreds that are alone, on which no lot fell."""

    async def work() -> None:
        pool = _Pool((_NEEDY,), per_second=0)
        await pool.offer(pool.lead(), 20, 3)
        assert not pool.granted
        assert pool.denied.count(requests.DenialReason.shed) == 60

    virtual.run(work())
