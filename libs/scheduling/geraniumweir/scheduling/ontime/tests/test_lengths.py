"""Classes whose requests differ a hundredfold in length, in overload.

The fault: in overload a few long requests took the slots of many short ones,
so that fewer callers were served the more came.
"""

import asyncio
import dataclasses
import functools
import math
import random
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import classes, leader, lengths
from geraniumweir.scheduling.ontime.tests import play

_SLOTS = 40
_SECONDS = 25
_WARM_UP_SECONDS = 5
_DECODE_SECONDS = 0.004
_FIRST_SECONDS = 0.06
_MEAN_HOLD_SECONDS = 1.0
# The longest tenth of such requests holds nearly half of the slot time.
_SPREAD = 1.4
_LONGEST = 10
_HINT_SPREAD = 0.5


@dataclasses.dataclass(slots=True)
class _Callers:
    """Output tokens of all callers, and of those served in time."""

    all: list[int] = dataclasses.field(default_factory=list)
    in_time: list[int] = dataclasses.field(default_factory=list)

    def ratio(self, first: float = 0, last: float = 1) -> float:
        """Return the fraction served in time between two quantiles."""
        ordered = sorted(self.all)
        start = ordered[int(len(ordered) * first)]
        end = math.inf if last == 1 else ordered[int(len(ordered) * last)]

        def count(found: typing.Iterable[int]) -> int:
            return sum(start <= one < end for one in found)

        return count(self.in_time) / count(self.all)


def _tokens(rng: random.Random) -> int:
    mean = _MEAN_HOLD_SECONDS / _DECODE_SECONDS
    median = mean * math.exp(-(_SPREAD**2) / 2)
    return (
        int(min(median * rng.lognormvariate(0, _SPREAD), mean * _LONGEST)) + 1
    )


async def _call(
    pool: leader.OnTimePoolLeader,
    name: str,
    rng: random.Random,
    callers: _Callers,
) -> None:
    loop = asyncio.get_running_loop()
    start = loop.time()
    tokens = _tokens(rng)
    counted = start > _WARM_UP_SECONDS
    if counted:
        callers.all.append(tokens)
    hint = int(tokens * rng.lognormvariate(0, _HINT_SPREAD)) + 1
    slot_request = play.make_request(
        name, start, likely_tokens=hint, max_tokens=4 * tokens + 100
    )
    answer = await pool.request_slot(slot_request)
    if isinstance(answer, requests.Denial):
        return
    if counted and loop.time() + _FIRST_SECONDS <= slot_request.target:
        callers.in_time.append(tokens)
    await asyncio.sleep(_FIRST_SECONDS)
    request_id = slot_request.request_id
    pool.progress(requests.Progress(request_id, _FIRST_SECONDS, 1))
    seconds = _DECODE_SECONDS * tokens
    await asyncio.sleep(seconds)
    done = requests.Outcome.done
    pool.release(
        requests.Release(
            request_id, done, _FIRST_SECONDS, tokens, seconds + _FIRST_SECONDS
        ),
    )


async def _run(load: float, seed: int) -> _Callers:
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    announced = [play.server(f'a{number}', 8) for number in range(_SLOTS // 8)]
    pool = play.make_leader(*announced, now=loop.time)
    callers = _Callers()
    mean = _MEAN_HOLD_SECONDS + _FIRST_SECONDS
    start = loop.time()
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() - start < _SECONDS:
            await asyncio.sleep(rng.expovariate(load * _SLOTS / mean))
            number += 1
            group.create_task(_call(pool, str(number), rng, callers))
    return callers


@functools.cache
def _play(load: float, seed: int) -> _Callers:
    return virtual.run(_run(load, seed))


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', [1.2, 1.5, 2, 3])
def test_no_fewer_callers_are_served_when_more_come(
    load: float, seed: int
) -> None:
    """Goodput stays within a tenth of what is served at the capacity."""
    at_capacity = len(_play(1, seed).in_time)
    assert len(_play(load, seed).in_time) > 0.9 * at_capacity


@pytest.mark.parametrize('seed', [1, 2])
def test_most_callers_are_served_at_twice_the_capacity(seed: int) -> None:
    """The shortest seven tenths of the requests need a fifth of the slots."""
    assert _play(2, seed).ratio() > 2 / 3


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', [1.5, 2])
def test_longest_requests_are_not_starved(load: float, seed: int) -> None:
    """They are served at least half as often as their class."""
    callers = _play(load, seed)
    assert callers.ratio(first=0.9) > 0.5 * callers.ratio()
    assert callers.ratio(first=0.7, last=0.9) > 0.5 * callers.ratio()


def test_band_with_few_requests_is_not_judged() -> None:
    """One refused request must not put all long ones first."""
    found = lengths.Lengths()
    one = classes.Class(ids.Tier.normal, 0)
    for number in range(100):
        band = found.record_arrival(one, 1, number / 100)
        found.record_grant(one, band, number / 100)
    found.record_arrival(one, 50, 1)
    assert not found.starved(1)[one]
