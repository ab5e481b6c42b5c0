"""Properties of the engine model that the bench rests on."""

import asyncio
import dataclasses

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.fakes.bench import (
    engine_model,
    hardware,
    prefix_cache,
    traffic,
)

_OLD = hardware.Hardware('g1', 1)
_BLOCK = prefix_cache.BLOCK_TOKENS


def _call(
    prompt: int = 256,
    output: int = 10,
    blocks: tuple[int, ...] = (),
    *,
    poison: bool = False,
) -> traffic.Call:
    kind = traffic.load_mix('noodhulp').kinds[0]
    intent = traffic.Intent(
        number=1,
        kind=kind,
        customer=ids.CustomerName('hub-gent'),
        arrival=0,
        prompt_tokens=prompt,
        output_tokens=output,
        max_tokens=0,
        blocks=tuple(ids.BlockHash(block) for block in blocks),
        shared_tokens=0,
        fingerprint=ids.Fingerprint(0),
        poison=poison,
    )
    return traffic.Call(ids.RequestId('r'), 0, intent, 0, 100)


def _engine(
    kind: hardware.Hardware = _OLD,
    pool: prefix_cache.PoolBlocks | None = None,
) -> engine_model.Engine:
    pool = pool or prefix_cache.PoolBlocks()
    return engine_model.Engine(ids.ServerId('engine'), kind, pool)


def _seconds_to_end(count: int, kind: hardware.Hardware = _OLD) -> float:
    async def scenario() -> float:
        engine = _engine(kind)
        jobs = [engine.submit(_call(output=100)) for _ in range(count)]
        for job in jobs:
            assert await job.ended is engine_model.JobEnd.done
        return asyncio.get_running_loop().time()

    return virtual.run(scenario())


def test_alone_as_fast_as_hardware_says() -> None:
    """A request alone takes the time that bounds are worked out from."""
    assert _seconds_to_end(1) == pytest.approx(
        _OLD.alone_seconds(256, 100),
        rel=0.02,
    )


def test_fast_generation_divides_the_time() -> None:
    """Six times the speed, a sixth of the time."""
    fast = hardware.Hardware('g3', 6)
    assert _seconds_to_end(1) / _seconds_to_end(1, fast) == pytest.approx(6)


def test_decode_slows_with_batch_but_less_than_in_turn() -> None:
    """A batch of eight is slower than one and faster than eight in turn."""
    assert _seconds_to_end(1) < _seconds_to_end(8) < 8 * _seconds_to_end(1)


def test_work_never_beats_least_work() -> None:
    """The bound's least work holds even for a full batch."""
    count = 2 * hardware.SLOTS
    least = count * hardware.least_work(256, 100)
    assert _seconds_to_end(count) >= least


def test_admits_in_arrival_order_within_slots() -> None:
    """Whoever comes after the slots are full waits, tier or no tier."""

    async def scenario() -> tuple[float, float]:
        engine = _engine(dataclasses.replace(_OLD, slots=2))
        jobs = [engine.submit(_call()) for _ in range(3)]
        await jobs[2].ended
        assert jobs[1].first_token_at is not None
        assert jobs[2].admitted_at is not None
        return jobs[1].first_token_at, jobs[2].admitted_at

    first_token, admitted = virtual.run(scenario())
    assert admitted > first_token


def test_kv_room_limits_the_batch() -> None:
    """A request that doesn't fit beside another waits for its end."""

    async def scenario() -> tuple[float, float]:
        engine = _engine(dataclasses.replace(_OLD, kv_tokens=400))
        first, second = engine.submit(_call()), engine.submit(_call())
        await second.ended
        assert first.first_token_at is not None
        assert second.admitted_at is not None
        return first.first_token_at, second.admitted_at

    first_token, admitted = virtual.run(scenario())
    assert admitted > first_token


def test_prefix_is_computed_once_and_again_elsewhere_is_repeated() -> None:
    """A cached prefix is free here; on another engine it counts as waste."""

    async def scenario() -> list[tuple[int, int]]:
        pool = prefix_cache.PoolBlocks()
        here, there = _engine(pool=pool), _engine(pool=pool)
        accounts = []
        for engine in (here, here, there):
            job = engine.submit(_call(2 * _BLOCK + 10, 5, (7, 8)))
            await job.ended
            accounts.append((job.computed, job.repeated))
        return accounts

    whole = 2 * _BLOCK + 10
    assert virtual.run(scenario()) == [
        (whole, 0),
        (10, 0),
        (whole, 2 * _BLOCK),
    ]


def test_evicted_prefix_counts_as_recomputed() -> None:
    """What no cache holds any more isn't called repeated."""

    async def scenario() -> tuple[int, int]:
        engine = _engine(dataclasses.replace(_OLD, cache_blocks=1))
        for block in (1, 2):
            await engine.submit(_call(_BLOCK + 1, 2, (block,))).ended
        job = engine.submit(_call(_BLOCK + 1, 2, (1,)))
        await job.ended
        return job.repeated, job.recomputed

    assert virtual.run(scenario()) == (0, _BLOCK)


def test_poison_takes_its_neighbours_with_it() -> None:
    """A crash breaks everything in flight and brings a new incarnation."""

    async def scenario() -> list[object]:
        engine = _engine()
        neighbour = engine.submit(_call(output=400))
        poison = engine.submit(_call(output=50, poison=True))
        ends = [await neighbour.ended, await poison.ended]
        with pytest.raises(engine_model.EngineDownError):
            engine.submit(_call())
        await asyncio.sleep(10)
        return [*ends, engine.incarnation, engine.reachable]

    broken = engine_model.JobEnd.broken
    assert virtual.run(scenario()) == [broken, broken, 2, True]


def test_stalled_engine_goes_on_where_it_stopped() -> None:
    """A stall delays work by its length and loses none."""

    async def scenario() -> float:
        engine = _engine()
        job = engine.submit(_call(output=100))
        await asyncio.sleep(1)
        engine.set_pace(0)
        await asyncio.sleep(50)
        assert not job.ended.done()
        engine.set_pace(1)
        await job.ended
        return asyncio.get_running_loop().time()

    assert 50 < virtual.run(scenario()) < 60


def test_cancel_frees_the_slot() -> None:
    """Cancelled work ends at once and lets the next one in."""

    async def scenario() -> tuple[engine_model.JobEnd, float]:
        engine = _engine(dataclasses.replace(_OLD, slots=1))
        long = engine.submit(_call(output=5000))
        short = engine.submit(_call())
        await asyncio.sleep(1)
        engine.cancel(long)
        await short.ended
        return await long.ended, asyncio.get_running_loop().time()

    end, seconds = virtual.run(scenario())
    assert end is engine_model.JobEnd.cancelled
    assert seconds < 2
