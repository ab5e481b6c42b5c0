"""Speed of servers by occupancy, and slow spells.

The faults: the last slot of a full engine was predicted as fast as an empty
one, and an engine in a slow spell got requests that it then served late.
"""

import asyncio
import itertools
import random

import pytest
from geraniumweir.common import virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import occupancy_speed, speeds
from geraniumweir.scheduling.ontime.tests import play

_SLOTS = 6
_SPELL_EVERY_SECONDS = 4.0
_SPELL_FACTOR = 2.5
_FIRST_SECONDS = 0.06
_TARGET_SECONDS = 0.14
_HOLD_SECONDS = 0.35


def _decode(running: float, factor: float = 1) -> float:
    """Return the time for a token of an engine that slows down as it fills."""
    return factor * (0.002 + 0.0005 * running)


def test_full_server_is_predicted_slower_than_an_empty_one() -> None:
    """Within a tenth, for two servers whose speeds differ 4.4 times."""
    estimator = speeds.SpeedEstimator()
    engines = [(1, speeds.Speed()), (4.4, speeds.Speed())]
    for running in (1, 2, 4, 6) * 20:
        for factor, speed in engines:
            seconds = _decode(running, factor) * 100
            estimator.add_response(speed, 100, seconds, running)
    for factor, speed in engines:
        for running in (1, 6):
            expected = _decode(running, factor)
            predicted = estimator.decode(speed, running)
            assert predicted == pytest.approx(expected, rel=0.1)


def test_slope_of_the_pool_holds_for_a_server_with_few_samples() -> None:
    """Two samples at one occupancy show no slope; the pool's is used."""
    estimator = speeds.SpeedEstimator()
    known = speeds.Speed()
    for running in (1, 2, 4, 6) * 20:
        estimator.add_response(known, 100, _decode(running) * 100, running)
    fresh = speeds.Speed()
    for _ in range(2):
        estimator.add_response(fresh, 100, _decode(2, 4.4) * 100, 2)
    predicted = estimator.decode(fresh, 6)
    assert predicted == pytest.approx(_decode(6, 4.4), rel=0.25)
    assert estimator.decode(speeds.Speed(), 6) > estimator.decode(
        speeds.Speed(), 1
    )


@pytest.mark.parametrize('seed', range(20))
def test_estimates_of_few_samples_are_positive_and_bounded(seed: int) -> None:
    """Any samples, zeros among them, in any number from none."""
    rng = random.Random(seed)
    estimator = speeds.SpeedEstimator()
    speed = speeds.Speed()
    longest = 0.005
    for _ in range(12):
        for running in range(1, 101, 3):
            predicted = estimator.decode(speed, running)
            assert 0 <= predicted <= longest * 100
            steeper = estimator.decode(speed, running + 1)
            assert steeper >= predicted
        seconds = rng.choice((0, 1e-6, 0.01, 3))
        longest = max(longest, seconds)
        estimator.add_response(speed, 1, seconds, rng.uniform(1, 6))


def test_spell_is_over_with_a_usual_sample_or_in_time() -> None:
    """One slow sample alone is none; two show a spell of 0.6 s at most."""
    spell = occupancy_speed.Spell()
    spell.add(0.3, 0.1, 10)
    assert spell.factor(10) == 1
    spell.add(0.3, 0.1, 10.2)
    assert spell.factor(10.3) == pytest.approx(3)
    assert spell.factor(10.61) == 1
    spell.add(0.1, 0.1, 10.4)
    assert spell.factor(10.4) == 1
    # Some milliseconds more than almost nothing are no spell.
    for now in (11, 11.1):
        spell.add(0.006, 0.001, now)
    assert spell.factor(11.1) == 1


class _Play:
    """Equal engines, each slow for 0.6 s of every 4 s at its own time."""

    def __init__(self, engines: int) -> None:
        self.late = 0
        self.on_time = 0
        self._loop = asyncio.get_running_loop()
        self._start = self._loop.time()
        self._spells = {
            f's{number}': number * _SPELL_EVERY_SECONDS / engines
            for number in range(engines)
        }
        self._pool = play.make_leader(
            *(play.server(name, _SLOTS) for name in self._spells),
            now=self._loop.time,
        )

    async def run(self, rate: int, seconds: int, seed: int) -> None:
        """Send requests at random times."""
        rng = random.Random(seed)
        numbers = itertools.count()
        await asyncio.gather(
            *(
                self._call(str(next(numbers)), rng.uniform(0, seconds))
                for _ in range(rate * seconds)
            )
        )

    def _factor(self, name: str) -> float:
        begun = self._loop.time() - self._start - self._spells[name]
        in_spell = begun % _SPELL_EVERY_SECONDS < occupancy_speed.SPELL_SECONDS
        return _SPELL_FACTOR if in_spell else 1

    async def _call(self, name: str, due: float) -> None:
        await asyncio.sleep(due)
        now = self._loop.time()
        asked = play.make_request(name, now, target=now + _TARGET_SECONDS)
        granted = await self._pool.request_slot(asked)
        if not isinstance(granted, requests.Grant):
            self.late += 1
            return
        sent = self._loop.time()
        await asyncio.sleep(_FIRST_SECONDS * self._factor(granted.server_id))
        first = self._loop.time() - sent
        if self._loop.time() <= asked.target:
            self.on_time += 1
        else:
            self.late += 1
        self._pool.progress(requests.Progress(asked.request_id, first, 1))
        await asyncio.sleep(_HOLD_SECONDS * self._factor(granted.server_id))
        done = requests.Outcome.done
        self._pool.release(
            requests.Release(
                asked.request_id, done, first, 100, self._loop.time() - sent
            )
        )


async def _late(seed: int) -> int:
    found = _Play(6)
    await found.run(55, 20, seed)
    return found.late


def _late_of_seeds() -> int:
    return sum(virtual.run(_late(seed)) for seed in range(3))


def test_servers_in_a_slow_spell_get_fewer_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A tenth fewer first tokens are late than if spells aren't detected."""
    late = _late_of_seeds()
    monkeypatch.setattr(occupancy_speed.Spell, 'factor', lambda *_: 1)
    without = _late_of_seeds()
    assert late * 10 < without * 9, (late, without)
