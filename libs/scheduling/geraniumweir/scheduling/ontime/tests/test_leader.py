"""Single decisions of the leader, each with the fault it guards against."""

import asyncio
import dataclasses

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import ordering, records
from geraniumweir.scheduling.ontime.tests import play


def _make_waiting(
    sequence: int,
    target: float,
    **changes: object,
) -> records.Waiting:
    slot_request = play.make_request(str(sequence), 0, target=target, **changes)
    return records.Waiting(
        slot_request,
        sequence,
        0,
        0,
        100,
        asyncio.get_running_loop().create_future(),
    )


def _make_plan(
    *waiting: records.Waiting,
    interval: float,
    arrivals: float = 0,
) -> ordering.Plan:
    pace = ordering.Pace(interval, arrivals)
    return ordering.plan(waiting, 0, pace, lambda _: 0)


def _names(turns: list[ordering.Turn]) -> list[int]:
    return [turn.waiting.sequence for turn in turns]


def test_tightest_target_goes_first_while_all_can_be_met() -> None:
    """The order of latest starts serves all of them in time."""

    async def work() -> None:
        planned = _make_plan(
            _make_waiting(1, 0.8), _make_waiting(2, 0.3), interval=0.1
        )
        assert _names(planned.turns) == [2, 1]

    virtual.run(work())


def test_least_important_request_is_late() -> None:
    """If one of two can be on time, it must be the one of the higher rank."""

    async def work() -> None:
        low = _make_waiting(1, 0.3, rank=2)
        high = _make_waiting(2, 0.35)
        planned = _make_plan(low, high, interval=0.4)
        assert _names(planned.turns) == [2, 1]
        assert planned.turns[1].late

    virtual.run(work())


def test_lower_tier_is_late_before_lower_rank() -> None:
    """Tiers are strict."""

    async def work() -> None:
        low = _make_waiting(1, 0.3, tier=ids.Tier.low)
        high = _make_waiting(2, 0.35, rank=2)
        assert _names(_make_plan(low, high, interval=0.4).turns) == [2, 1]

    virtual.run(work())


def test_late_request_is_refused_at_once_when_new_ones_take_all_slots() -> None:
    """Otherwise it would wait until its caller leaves."""

    async def work() -> None:
        late = _make_waiting(1, -0.1)
        assert _names(_make_plan(late, interval=0.1, arrivals=10).hopeless) == [
            1
        ]
        assert _names(_make_plan(late, interval=0.1, arrivals=1).turns) == [1]

    virtual.run(work())


def test_request_without_a_place_goes_before_late_ones_of_its_tier() -> None:
    """Late ones would take slots in which it could be in time."""

    async def work() -> None:
        planned = _make_plan(
            _make_waiting(1, -0.1),
            _make_waiting(2, 0.03),
            _make_waiting(3, 0.05, rank=1),
            interval=0.1,
            arrivals=9.2,
        )
        assert _names(planned.turns) == [2, 3, 1]
        assert not planned.turns[1].late

    virtual.run(work())


def test_late_request_of_a_higher_tier_goes_before_a_lower_one() -> None:
    """Not even if the plan has no place for the lower one in time."""

    async def work() -> None:
        planned = _make_plan(
            _make_waiting(1, -0.1, tier=ids.Tier.high),
            _make_waiting(2, 0.03),
            _make_waiting(3, 0.05, rank=1),
            interval=0.1,
            arrivals=9.2,
        )
        assert _names(planned.turns) == [2, 1, 3]

    virtual.run(work())


async def _request_grant(
    pool: play.leader.OnTimePoolLeader,
    name: str,
    **changes: object,
) -> requests.Grant:
    now = asyncio.get_running_loop().time()
    answer = await pool.request_slot(play.make_request(name, now, **changes))
    assert isinstance(answer, requests.Grant)
    return answer


def test_grant_of_lost_owner_does_not_block_a_server() -> None:
    """Its first token is never reported; those of others on the server are."""

    async def work() -> None:
        now = asyncio.get_running_loop().time
        pool = play.make_leader(play.server('a', 8), now=now)
        await _request_grant(pool, 'phantom')
        for number in range(5):
            await asyncio.sleep(1)
            grant = await _request_grant(pool, str(number))
            pool.progress(requests.Progress(grant.request_id, 0.06, 1))
            done = requests.Outcome.done
            pool.release(requests.Release(grant.request_id, done, 0.06, 100, 1))

    virtual.run(work())


def test_server_that_hangs_gets_one_request_at_a_time() -> None:
    """Requests sent to it are lost, so it must get only probes."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(
            play.server('hangs', 2), play.server('works', 1), now=loop.time
        )
        sent: list[ids.ServerId] = []
        for number in range(30):
            grant = await _request_grant(pool, str(number))
            sent.append(grant.server_id)
            if grant.server_id == 'works':
                pool.progress(requests.Progress(grant.request_id, 0.06, 1))
                done = requests.Outcome.done
                ended = requests.Release(grant.request_id, done, 0.06, 100, 0.6)
                pool.release(ended)
            await asyncio.sleep(0.2)
        assert sent[10:].count(ids.ServerId('hangs')) <= 4

    virtual.run(work())


def test_server_whose_address_was_taken_gets_no_more_requests() -> None:
    """Requests for its old id would get 'wrong server' again and again."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(
            play.server('a'), play.server('b'), now=loop.time
        )
        grant = await _request_grant(pool, 'first')
        wrong = requests.Outcome.wrong_server
        pool.release(requests.Release(grant.request_id, wrong))
        others = {
            (await _request_grant(pool, str(number))).server_id
            for number in range(4)
        }
        assert grant.server_id not in others

    virtual.run(work())


def test_repeat_keeps_the_target_of_its_first_request() -> None:
    """A new request that can be on time goes before it."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(play.server('a', 1), now=loop.time)
        await _request_grant(pool, 'running')
        first = await pool.request_slot(
            play.make_request(
                'x.1', 0, fingerprint=ids.Fingerprint(7), patience=0.1
            ),
        )
        assert isinstance(first, requests.Denial)
        await asyncio.sleep(0.35)
        now = loop.time()
        again = play.make_request('x.2', now, fingerprint=ids.Fingerprint(7))
        repeat = asyncio.create_task(pool.request_slot(again))
        await asyncio.sleep(0)
        newcomer = asyncio.create_task(
            pool.request_slot(play.make_request('y', now))
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
    """Reading it would make the pauses of running streams too long."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(play.server('a', 4), now=loop.time)
        for number in range(6):
            tokens = 1000 + number * 1000
            seconds = tokens / 10000
            grant = await _request_grant(
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
        await _request_grant(pool, 'stream', gap=0.25)
        slot_request = play.make_request(
            'long', loop.time(), prompt_tokens=reading
        )
        slot_request = dataclasses.replace(
            slot_request, target=loop.time() + 30
        )
        long_request = asyncio.create_task(pool.request_slot(slot_request))
        await asyncio.sleep(0.01)
        assert not long_request.done()
        long_request.cancel()

    virtual.run(work())


# Shorter than the time between two cycles.
_IMMEDIATE_SECONDS = 0.01


async def _train_estimates(
    pool: play.leader.OnTimePoolLeader, seconds: float
) -> None:
    """Add samples of an engine that reads a thousand tokens in some seconds."""
    for number in range(20):
        tokens = 1000 + 500 * (number % 4)
        seconds_taken = seconds * tokens / 1000
        name = f'lesson {number}'
        await _request_grant(pool, name, prompt_tokens=tokens, target=1e9)
        done = requests.Outcome.done
        ended = requests.Release(
            ids.RequestId(name), done, seconds_taken, 100, seconds_taken + 1
        )
        pool.release(ended)
        await asyncio.sleep(0.5)


def test_long_prompt_starts_at_once_when_all_servers_are_free() -> None:
    """It may just be on time.

    The fault: it waited for a better server until it was certainly late.
    """

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(play.server('a'), now=loop.time)
        await _train_estimates(pool, 0.1)
        now = loop.time()
        await _request_grant(pool, 'long', prompt_tokens=14000, target=now + 1)
        assert loop.time() < now + _IMMEDIATE_SECONDS

    virtual.run(work())


def test_long_output_starts_while_slots_are_free() -> None:
    """Half of all outputs are shorter than expected.

    The fault: it waited, with slots free, until its caller left.
    """

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(play.server('a'), now=loop.time)
        await _train_estimates(pool, 0.1)
        now = loop.time()
        # A token takes 10 ms.
        await _request_grant(pool, 'long', likely_tokens=800, max_tokens=900)
        assert loop.time() < now + _IMMEDIATE_SECONDS

    virtual.run(work())


def test_retry_time_of_a_denial_is_within_the_deadline() -> None:
    """The fault: a caller with 3 s left got a retry time of 3 to 6 s."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(play.server('a', 1), now=loop.time)
        now = loop.time()
        slot_requests = [
            play.make_request(
                str(number), now, deadline=now + 3, target=now + 0.1
            )
            for number in range(200)
        ]
        waiting = [
            asyncio.create_task(pool.request_slot(slot_request))
            for slot_request in slot_requests
        ]
        await asyncio.sleep(1)
        answers = [task.result() for task in waiting if task.done()]
        denials = [one for one in answers if isinstance(one, requests.Denial)]
        assert len(denials) > 100
        assert all(0 < one.retry_after_ms <= 1500 for one in denials)
        for task in waiting:
            task.cancel()

    virtual.run(work())


def test_output_too_long_for_all_servers_is_refused_at_once() -> None:
    """No server ends twenty times the output that the remaining time allows."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(play.server('a'), now=loop.time)
        await _train_estimates(pool, 0.1)
        now = loop.time()
        slot_request = play.make_request(
            'endless', now, likely_tokens=20000, max_tokens=20000
        )
        denial = await pool.request_slot(slot_request)
        assert isinstance(denial, requests.Denial)
        assert loop.time() < now + _IMMEDIATE_SECONDS

    virtual.run(work())
