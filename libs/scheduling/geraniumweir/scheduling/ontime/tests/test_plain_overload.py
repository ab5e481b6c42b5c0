"""Plain servers in overload.

The fault: callers of short look-ups were refused by the thousand, while one in
five of those that were served got the response just after its target. Each
request was started at the last moment at which a usual response would have been
in time, and every other response takes longer than usual.
"""

import asyncio
import dataclasses
import math
import random

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_SECONDS = 10
_TARGET_SECONDS = 0.3
_DEADLINE_SECONDS = 1.5
_WORK_SECONDS = 0.06
_SPREAD = 0.5


@dataclasses.dataclass(slots=True)
class _Callers:
    """Results of the callers.

    :ivar first_requests: number of all callers.
    """

    first_requests: int = 0
    on_time: int = 0
    late: int = 0


def _simulate(rate: float, slots: int, seed: int) -> _Callers:
    return virtual.run(_run(rate, slots, random.Random(seed)))


async def _run(rate: float, slots: int, rng: random.Random) -> _Callers:
    loop = asyncio.get_running_loop()
    server = dataclasses.replace(play.server('a', slots), kind='service')
    pool = play.make_leader(server, now=loop.time)
    callers = _Callers()
    start = loop.time()
    async with asyncio.TaskGroup() as group:
        while loop.time() - start < _SECONDS:
            await asyncio.sleep(rng.expovariate(rate))
            callers.first_requests += 1
            group.create_task(_send_request(pool, callers, rng))
    return callers


async def _send_request(
    pool: leader.OnTimePoolLeader,
    callers: _Callers,
    rng: random.Random,
) -> None:
    loop = asyncio.get_running_loop()
    start = loop.time()
    slot_request = play.make_request(
        str(callers.first_requests),
        start,
        deadline=start + _DEADLINE_SECONDS,
        target=start + _TARGET_SECONDS,
        patience=math.inf,
        prompt_tokens=0,
        max_tokens=1,
        likely_tokens=1,
        streams=False,
        fingerprint=ids.Fingerprint(callers.first_requests),
    )
    answer = await pool.request_slot(slot_request)
    if isinstance(answer, requests.Denial):
        return
    median = math.log(_WORK_SECONDS) - _SPREAD**2 / 2
    seconds = rng.lognormvariate(median, _SPREAD)
    await asyncio.sleep(seconds)
    done = requests.Outcome.done
    pool.release(
        requests.Release(slot_request.request_id, done, seconds, 1, seconds),
    )
    if loop.time() - start <= _TARGET_SECONDS:
        callers.on_time += 1
    else:
        callers.late += 1


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_slots_go_to_answers_that_are_on_time(seed: int) -> None:
    """At twice the capacity nine of ten responses are in time."""
    callers = _simulate(rate=190, slots=6, seed=seed)
    assert callers.on_time >= 9 * callers.late


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_are_served_in_time_where_there_is_room(seed: int) -> None:
    """The oldest request isn't passed over in a queue that is short-lived."""
    callers = _simulate(rate=172, slots=12, seed=seed)
    assert callers.on_time >= 0.98 * callers.first_requests
