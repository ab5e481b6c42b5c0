"""Single decisions of the leader, each with what it guards against."""

import asyncio
import dataclasses

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import ordering, records
from geraniumweir.scheduling.ontime.tests import play


def _waiting(
    sequence: int,
    target: float,
    **changes: object,
) -> records.Waiting:
    made = play.slot_request(str(sequence), 0, target=target, **changes)
    return records.Waiting(
        made,
        sequence,
        0,
        0,
        100,
        asyncio.get_running_loop().create_future(),
    )


def _plan(
    *waiting: records.Waiting,
    interval: float,
    arrivals: float = 0,
) -> ordering.Plan:
    pace = ordering.Pace(interval, arrivals)
    return ordering.plan(waiting, 0, pace, lambda _: 0)


def _names(turns: list[ordering.Turn]) -> list[int]:
    return [turn.waiting.sequence for turn in turns]


def test_tightest_target_goes_first_while_all_can_be_met() -> None:
    """The order of latest starts serves all of them."""

    async def work() -> None:
        found = _plan(_waiting(1, 0.8), _waiting(2, 0.3), interval=0.1)
        assert _names(found.turns) == [2, 1]

    virtual.run(work())


def test_least_important_gives_way() -> None:
    """One of two can be on time: not the one of the lower rank."""

    async def work() -> None:
        low = _waiting(1, 0.3, rank=2)
        high = _waiting(2, 0.35)
        found = _plan(low, high, interval=0.4)
        assert _names(found.turns) == [2, 1]
        assert found.turns[1].late

    virtual.run(work())


def test_lower_tier_gives_way_before_a_lower_rank() -> None:
    """Tiers are strict."""

    async def work() -> None:
        low = _waiting(1, 0.3, tier=ids.Tier.low)
        high = _waiting(2, 0.35, rank=2)
        assert _names(_plan(low, high, interval=0.4).turns) == [2, 1]

    virtual.run(work())


def test_late_is_refused_at_once_when_newcomers_take_all_slots() -> None:
    """It would wait until its caller leaves."""

    async def work() -> None:
        late = _waiting(1, -0.1)
        assert _names(_plan(late, interval=0.1, arrivals=10).hopeless) == [1]
        assert _names(_plan(late, interval=0.1, arrivals=1).turns) == [1]

    virtual.run(work())


async def _granted(
    pool: play.leader.OnTimePoolLeader,
    name: str,
    **changes: object,
) -> requests.Grant:
    now = asyncio.get_running_loop().time()
    answer = await pool.request_slot(play.slot_request(name, now, **changes))
    assert isinstance(answer, requests.Grant)
    return answer


def test_lost_owner_does_not_shut_a_server() -> None:
    """Its request never gets a first token here; others on the server do."""

    async def work() -> None:
        now = asyncio.get_running_loop().time
        pool = play.make(play.server('a', 8), now=now)
        await _granted(pool, 'phantom')
        for number in range(5):
            await asyncio.sleep(1)
            grant = await _granted(pool, str(number))
            pool.progress(requests.Progress(grant.request_id, 0.06, 1))
            done = requests.Outcome.done
            pool.release(requests.Release(grant.request_id, done, 0.06, 100, 1))

    virtual.run(work())


def test_server_that_hangs_gets_one_request_at_a_time() -> None:
    """What it is sent is lost, so it is tried and not relied on."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(
            play.server('hangs', 2), play.server('works', 1), now=loop.time
        )
        sent: list[ids.ServerId] = []
        for number in range(30):
            grant = await _granted(pool, str(number))
            sent.append(grant.server_id)
            if grant.server_id == 'works':
                pool.progress(requests.Progress(grant.request_id, 0.06, 1))
                done = requests.Outcome.done
                ended = requests.Release(grant.request_id, done, 0.06, 100, 0.6)
                pool.release(ended)
            await asyncio.sleep(0.2)
        assert sent[10:].count(ids.ServerId('hangs')) <= 4

    virtual.run(work())


def test_server_replaced_by_another_run_gets_nothing_more() -> None:
    """Its old id would be answered 'wrong server' again and again."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a'), play.server('b'), now=loop.time)
        grant = await _granted(pool, 'first')
        wrong = requests.Outcome.wrong_server
        pool.release(requests.Release(grant.request_id, wrong))
        others = {
            (await _granted(pool, str(number))).server_id for number in range(4)
        }
        assert grant.server_id not in others

    virtual.run(work())


def test_repeat_has_the_target_of_its_first_request() -> None:
    """A newcomer that can be on time goes before it."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a', 1), now=loop.time)
        await _granted(pool, 'running')
        first = await pool.request_slot(
            play.slot_request(
                'x.1', 0, fingerprint=ids.Fingerprint(7), patience=0.1
            ),
        )
        assert isinstance(first, requests.Denial)
        await asyncio.sleep(0.35)
        now = loop.time()
        again = play.slot_request('x.2', now, fingerprint=ids.Fingerprint(7))
        repeat = asyncio.create_task(pool.request_slot(again))
        await asyncio.sleep(0)
        newcomer = asyncio.create_task(
            pool.request_slot(play.slot_request('y', now))
        )
        await asyncio.sleep(0)
        done = requests.Outcome.done
        pool.release(
            requests.Release(ids.RequestId('running'), done, 0.06, 9, 0.4),
        )
        await asyncio.sleep(0.01)
        assert newcomer.done()
        repeat.cancel()

    virtual.run(work())


@pytest.mark.parametrize('reading', [20000, 200000])
def test_long_prompt_stays_off_a_slow_engine_with_streams(
    reading: int,
) -> None:
    """Its chunks would make every pause there too long."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a', 4), now=loop.time)
        for number in range(6):
            tokens = 1000 + number * 1000
            seconds = tokens / 10000
            grant = await _granted(
                pool, str(number), prompt_tokens=tokens, target=9
            )
            pool.progress(requests.Progress(grant.request_id, seconds, 1))
            ended = requests.Release(
                grant.request_id,
                requests.Outcome.done,
                seconds,
                100,
                1,
                usual_gap=0.1,
                longest_gap=0.3,
            )
            pool.release(ended)
        await _granted(pool, 'stream', gap=0.25)
        made = play.slot_request('long', loop.time(), prompt_tokens=reading)
        made = dataclasses.replace(made, target=loop.time() + 30)
        long = asyncio.create_task(pool.request_slot(made))
        await asyncio.sleep(0.01)
        assert not long.done()
        long.cancel()

    virtual.run(work())


# Shorter than any look at the queue, in seconds.
_AT_ONCE = 0.01


async def _taught(pool: play.leader.OnTimePoolLeader, seconds: float) -> None:
    """Let a pool learn that a thousand tokens are read in some seconds."""
    for number in range(20):
        tokens = 1000 + 500 * (number % 4)
        took = seconds * tokens / 1000
        name = f'lesson {number}'
        await _granted(pool, name, prompt_tokens=tokens, target=1e9)
        done = requests.Outcome.done
        ended = requests.Release(ids.RequestId(name), done, took, 100, took + 1)
        pool.release(ended)
        await asyncio.sleep(0.5)


def test_long_prompt_starts_at_once_where_waiting_is_no_use() -> None:
    """All servers are free, and it may just be on time.

    It waited for a better server until it was late for certain.
    """

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a'), now=loop.time)
        await _taught(pool, 0.1)
        now = loop.time()
        await _granted(pool, 'long', prompt_tokens=14000, target=now + 1)
        assert loop.time() < now + _AT_ONCE

    virtual.run(work())


def test_long_output_is_tried_where_slots_are_free() -> None:
    """Half of all outputs are shorter than said.

    It waited, beside free slots, until its caller left.
    """

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a'), now=loop.time)
        await _taught(pool, 0.1)
        now = loop.time()
        # A token takes 10 ms.
        await _granted(pool, 'long', likely_tokens=800, max_tokens=900)
        assert loop.time() < now + _AT_ONCE

    virtual.run(work())


def test_refused_caller_is_told_to_return_within_its_time() -> None:
    """One with 3 s left was told to come back after 3 to 6 s."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a', 1), now=loop.time)
        now = loop.time()
        asks = [
            play.slot_request(
                str(number), now, deadline=now + 3, target=now + 0.1
            )
            for number in range(200)
        ]
        waiting = [
            asyncio.create_task(pool.request_slot(made)) for made in asks
        ]
        await asyncio.sleep(1)
        told = [task.result() for task in waiting if task.done()]
        denials = [one for one in told if isinstance(one, requests.Denial)]
        assert len(denials) > 100
        assert all(0 < one.retry_after_ms <= 1500 for one in denials)
        for task in waiting:
            task.cancel()

    virtual.run(work())


def test_endless_output_is_refused_at_once() -> None:
    """No server ends twenty times of what the time left allows."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make(play.server('a'), now=loop.time)
        await _taught(pool, 0.1)
        now = loop.time()
        made = play.slot_request(
            'endless', now, likely_tokens=20000, max_tokens=20000
        )
        found = await pool.request_slot(made)
        assert isinstance(found, requests.Denial)
        assert loop.time() < now + _AT_ONCE

    virtual.run(work())
