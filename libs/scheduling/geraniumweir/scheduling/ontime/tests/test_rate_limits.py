"""Requests granted to servers that set a rate limit."""

import asyncio
import dataclasses
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import notices, requests, settings
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_WINDOW_SECONDS = 4
_HOLD_SECONDS = 0.05
_LIMITED = play.server('needy')
_UNLIMITED = play.server('sound')
_START = (ids.ServerId('needy'), ids.Incarnation(1))


@dataclasses.dataclass(slots=True)
class _Pool:
    """A pool of which one server may set a rate limit.

    :ivar per_second: that limit.
    :ivar grant_times: times of the grants, by server.
    :ivar denied: reasons of all denials.
    """

    servers: typing.Sequence[typing.Any]
    per_second: float | None = None
    grant_times: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    denied: list[requests.DenialReason] = dataclasses.field(
        default_factory=list,
    )

    def make_leader(self) -> leader.OnTimePoolLeader:
        return leader.OnTimePoolLeader(
            settings.LeaderSettings(play.POOL),
            asyncio.get_running_loop().time,
            lambda: self.servers,
            rates=self._rates,
        )

    def _rates(self) -> dict[notices.Start, float]:
        return {} if self.per_second is None else {_START: self.per_second}

    async def send_evenly(
        self,
        pool_leader: leader.OnTimePoolLeader,
        rate: float,
        seconds: float,
    ) -> None:
        """Send requests evenly and wait for their end."""
        name = f'{asyncio.get_running_loop().time()}'
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                group.create_task(
                    self._send_request(pool_leader, f'{name}-{number}')
                )
                await asyncio.sleep(1 / rate)

    async def _send_request(
        self, pool_leader: leader.OnTimePoolLeader, name: str
    ) -> None:
        loop = asyncio.get_running_loop()
        answer = await pool_leader.ask(play.make_request(name, loop.time()))
        if isinstance(answer, requests.Denial):
            self.denied.append(answer.reason)
            return
        self.grant_times.setdefault(answer.server_id, []).append(loop.time())
        await asyncio.sleep(_HOLD_SECONDS)
        pool_leader.release(
            requests.Release(
                ids.RequestId(name),
                requests.Outcome.done,
                _HOLD_SECONDS,
                100,
                _HOLD_SECONDS,
            ),
        )

    def max_in_window(self, name: str, limit_changed_at: float = 0) -> int:
        """Return the highest number of grants of a server within a window."""
        times = [
            at
            for at in self.grant_times.get(name, [])
            if at >= limit_changed_at
        ]
        return max(
            (
                sum(start <= at <= start + _WINDOW_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )


@pytest.mark.parametrize('limit', [0, 0.4, 1.9, 10])
def test_server_gets_its_rate_limit_and_others_the_remainder(
    limit: float,
) -> None:
    """The aim is the limit itself, not the tolerance above it."""

    async def work() -> None:
        pool = _Pool((_LIMITED, _UNLIMITED))
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, 30, 3)
        pool.per_second = max(limit, 0.1)
        pool_leader.grant_waiting()
        limit_changed_at = asyncio.get_running_loop().time()
        await pool.send_evenly(pool_leader, 30, 12)
        assert (
            pool.max_in_window('needy', limit_changed_at)
            <= limit * _WINDOW_SECONDS * 1.25 + 1
        )
        assert not pool.denied

    virtual.run(work())


def test_new_leader_starts_without_saved_rate_tokens() -> None:
    """The grants of the leader before it aren't part of its state."""

    async def work() -> None:
        pool = _Pool((_LIMITED,), per_second=2)
        for _ in range(4):
            await pool.send_evenly(pool.make_leader(), 20, 1)
        assert 4 <= pool.max_in_window('needy') <= 2 * _WINDOW_SECONDS + 2

    virtual.run(work())


def test_lifted_limit_restricts_nothing() -> None:
    """It applies from the next cycle on."""

    async def work() -> None:
        pool = _Pool((_LIMITED,), per_second=1)
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, 20, 4)
        pool.per_second = None
        pool_leader.grant_waiting()
        limit_changed_at = asyncio.get_running_loop().time()
        pool.denied.clear()
        await pool.send_evenly(pool_leader, 20, 4)
        assert pool.max_in_window('needy', limit_changed_at) >= 75
        assert not pool.denied

    virtual.run(work())


def test_callers_of_a_limited_pool_are_refused_early() -> None:
    """Most can't be served, so they must not wait for long before."""

    async def work() -> None:
        pool = _Pool((_LIMITED,), per_second=1)
        pool_leader = pool.make_leader()
        await pool.send_evenly(pool_leader, 20, 3)
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        answer = await pool_leader.ask(play.make_request('late', requested_at))
        assert isinstance(answer, requests.Denial)
        assert loop.time() - requested_at < 1

    virtual.run(work())


def test_host_without_share_of_a_limit_refuses_early() -> None:
    """As one of hundreds of partitioned hosts that didn't draw a share."""

    async def work() -> None:
        pool = _Pool((_LIMITED,), per_second=0)
        await pool.send_evenly(pool.make_leader(), 20, 3)
        assert not pool.grant_times
        assert pool.denied.count(requests.DenialReason.shed) == 60

    virtual.run(work())
