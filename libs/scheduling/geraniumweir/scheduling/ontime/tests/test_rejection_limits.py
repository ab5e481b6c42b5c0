"""Requests granted to servers that fail when they reject too many."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests, settings
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_SLOTS = 10
_BORNE = 3
_START = (ids.ServerId('a'), ids.Incarnation(1))


async def _grants_within(
    outcome: requests.Outcome,
    seconds: float,
) -> list[float]:
    """Return when requests were granted that all end with an outcome."""
    loop = asyncio.get_running_loop()
    pool_leader = leader.OnTimePoolLeader(
        settings.LeaderSettings(play.POOL),
        loop.time,
        lambda: [play.server('a', _SLOTS)],
        rejections=lambda: {_START: _BORNE},
    )
    granted: list[float] = []

    async def send(number: int) -> None:
        slot_request = play.make_request(f'{number}', loop.time())
        answer = await pool_leader.request_slot(slot_request)
        if isinstance(answer, requests.Denial):
            return
        granted.append(loop.time())
        await asyncio.sleep(0.01)
        pool_leader.release(
            requests.Release(answer.request_id, outcome, 0.01, 1, 0.01)
        )

    start = loop.time()
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < start + seconds:
            number += 1
            group.create_task(send(number))
            await asyncio.sleep(0.02)
    return granted


def test_full_server_rejects_no_more_than_it_bears_in_a_second() -> None:
    """Whatever is granted may be rejected."""

    async def work() -> None:
        granted = await _grants_within(requests.Outcome.turned_away, 5)
        assert granted
        for start in granted:
            within = [at for at in granted if start <= at < start + 1]
            assert len(within) <= _BORNE

    virtual.run(work())


def test_limit_of_rejections_is_no_limit_of_answered_requests() -> None:
    """A server that answers gets all that it has room for."""

    async def work() -> None:
        granted = await _grants_within(requests.Outcome.done, 5)
        assert len(granted) > 5 * _BORNE * 2

    virtual.run(work())
