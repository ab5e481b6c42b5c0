"""Plain servers whose requests are about as short as their messages' way.

The fault: a grant held a slot from the leader's decision until its release had
arrived, so the server was idle for the rest of that time, while callers were
refused for want of a slot.
"""

import asyncio
import dataclasses
import itertools
import math
import random

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime.tests import play

_SECONDS = 12
_FIRST_MEASURED_SECOND = 2
_SLOTS = 6
_WORK_SECONDS = 0.037
_SPREAD = 0.5
# Way of a grant to the server, and of its release back to the leader.
_WAY_SECONDS = 0.007
_TARGET_SECONDS = 0.3
_DEADLINE_SECONDS = 1.5
# Requests a second that the server can complete.
_CAPACITY = _SLOTS / _WORK_SECONDS
# What is served in overload stays within a tenth of the best.
_MIN_SERVED = 0.9
_SEEDS = (1, 2, 3)


@dataclasses.dataclass(slots=True)
class _Server:
    """A server that runs requests in its slots and queues some.

    :ivar queue: number of requests that it queues.
    :ivar present: requests that run or wait there.
    :ivar most: the largest number of them.
    """

    queue: int
    present: int = 0
    most: int = 0
    slots: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(_SLOTS)
    )

    async def run(self, seconds: float) -> bool:
        """Return whether it ran a request."""
        if self.present >= _SLOTS + self.queue:
            return False
        self.present += 1
        self.most = max(self.most, self.present)
        async with self.slots:
            await asyncio.sleep(seconds)
        self.present -= 1
        return True


class _Play:
    """Callers of one plain server behind a network.

    :ivar in_time: responses in time.
    :ivar callers: all callers.
    :ivar rejected: requests that the server rejected.
    """

    def __init__(self, queue: int, seed: int) -> None:
        loop = asyncio.get_running_loop()
        announced = dataclasses.replace(
            play.server('a', _SLOTS), kind='service'
        )
        self.server = _Server(queue)
        self.in_time = 0
        self.callers = 0
        self.rejected = 0
        self._pool = play.make_leader(announced, now=loop.time)
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    async def run(self, rate: float) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while loop.time() < _SECONDS:
                await asyncio.sleep(self._rng.expovariate(rate))
                group.create_task(self._call())

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        served = await self._request(start, next(self._numbers))
        if start >= _FIRST_MEASURED_SECOND:
            self.callers += 1
            in_time = loop.time() - start <= _TARGET_SECONDS
            self.in_time += served and in_time

    async def _request(self, start: float, number: int) -> bool:
        slot_request = play.make_request(
            str(number),
            start,
            target=start + _TARGET_SECONDS,
            deadline=start + _DEADLINE_SECONDS,
            patience=math.inf,
            prompt_tokens=0,
            max_tokens=1,
            likely_tokens=1,
            streams=False,
            fingerprint=ids.Fingerprint(number),
        )
        answer = await self._pool.request_slot(slot_request)
        if isinstance(answer, requests.Denial):
            return False
        return await self._dispatch(answer)

    async def _dispatch(self, grant: requests.Grant) -> bool:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_WAY_SECONDS)
        median = math.log(_WORK_SECONDS) - _SPREAD**2 / 2
        dispatched_at = loop.time()
        served = await self.server.run(
            self._rng.lognormvariate(median, _SPREAD)
        )
        seconds = loop.time() - dispatched_at
        self.rejected += not served
        outcome = (
            requests.Outcome.done if served else requests.Outcome.turned_away
        )
        asyncio.create_task(
            self._release(
                requests.Release(grant.request_id, outcome, seconds, 1, seconds)
            )
        )
        return served

    async def _release(self, release: requests.Release) -> None:
        await asyncio.sleep(_WAY_SECONDS)
        self._pool.release(release)


def _play(rate: float, queue: int, seed: int) -> _Play:
    async def scenario() -> _Play:
        played = _Play(queue, seed)
        await played.run(rate)
        return played

    return virtual.run(scenario())


@pytest.mark.parametrize('seed', _SEEDS)
def test_server_is_not_idle_while_grants_are_on_their_way(seed: int) -> None:
    """At twice the capacity it completes what it can."""
    played = _play(2 * _CAPACITY, queue=24, seed=seed)
    measured_seconds = _SECONDS - _FIRST_MEASURED_SECOND
    assert played.in_time >= _MIN_SERVED * _CAPACITY * measured_seconds
    assert played.server.most <= 2 * _SLOTS


@pytest.mark.parametrize('seed', _SEEDS)
def test_server_with_room_gets_no_more_than_its_slots(seed: int) -> None:
    """A queue at the server would only delay what comes after."""
    played = _play(_CAPACITY / 2, queue=24, seed=seed)
    assert played.server.most <= _SLOTS
    assert played.in_time >= 0.99 * played.callers


@pytest.mark.parametrize('seed', _SEEDS)
def test_server_without_a_queue_is_sent_no_more_than_its_slots(
    seed: int,
) -> None:
    """It rejects what is beyond; that shows once, for all of its slots."""
    played = _play(2 * _CAPACITY, queue=0, seed=seed)
    assert played.rejected <= _SLOTS
    full_rate = _SLOTS / (_WORK_SECONDS + 2 * _WAY_SECONDS)
    measured_seconds = _SECONDS - _FIRST_MEASURED_SECOND
    assert played.in_time >= _MIN_SERVED * full_rate * measured_seconds
