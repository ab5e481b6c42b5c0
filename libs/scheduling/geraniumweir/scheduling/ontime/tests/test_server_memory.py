"""Requests are granted only where they fit beside what runs there.

The fault: without the check all twelve slots of an engine that keeps 421,601
tokens were filled with prompts of 54,600, of which seven fit.
"""

import asyncio
import dataclasses

from geraniumweir.common import ids, virtual
from geraniumweir.membership import servers
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_KV_TOKENS = 421_601
_LONG = 54_600
# With 100 output tokens each, seven of the long prompts fit and eight don't.
_FIT = 7
_SLOTS = 12


def _engine(name: str, kv_tokens: int = _KV_TOKENS) -> servers.Announcement:
    return dataclasses.replace(play.server(name, _SLOTS), kv_tokens=kv_tokens)


async def _ask(
    pool: leader.OnTimePoolLeader,
    name: str,
    prompt_tokens: int,
) -> asyncio.Task[requests.Grant | requests.Denial]:
    """Send a slot request with time to wait, and let the leader decide."""
    now = asyncio.get_running_loop().time()
    asked = play.make_request(
        name,
        now,
        prompt_tokens=prompt_tokens,
        target=now + 60,
        patience=now + 60,
        deadline=now + 90,
    )
    task = asyncio.create_task(pool.request_slot(asked))
    await asyncio.sleep(0.01)
    return task


async def _fill(
    pool: leader.OnTimePoolLeader,
    number: int,
) -> list[asyncio.Task[requests.Grant | requests.Denial]]:
    """Send some long prompts; their first tokens come at once."""
    asked = []
    for place in range(number):
        task = await _ask(pool, f'long {place}', _LONG)
        if task.done():
            progress = requests.Progress(ids.RequestId(f'long {place}'), 0.01)
            pool.progress(progress)
        asked.append(task)
    return asked


def test_prompt_waits_until_there_is_room_beside_others() -> None:
    """The eighth long prompt waits with slots free; a short one goes by."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(_engine('a'), now=loop.time)
        asked = await _fill(pool, _FIT + 1)
        assert all(one.done() for one in asked[:_FIT])
        assert not asked[_FIT].done()
        short = await _ask(pool, 'short', 6610)
        assert short.done()
        first = ids.RequestId('long 0')
        pool.release(
            requests.Release(first, requests.Outcome.done, 0.01, 100, 1)
        )
        await asyncio.sleep(0.1)
        assert isinstance(asked[-1].result(), requests.Grant)

    virtual.run(work())


def test_prompt_goes_where_it_fits() -> None:
    """A server whose memory is taken isn't chosen beside one with room."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        small = _engine('a', kv_tokens=60_000)
        pool = play.make_leader(small, _engine('b'), now=loop.time)
        asked = await _fill(pool, _FIT + 1)
        chosen = [one.result().server_id for one in asked]
        assert chosen.count('a') == 1
        assert chosen.count('b') == _FIT

    virtual.run(work())


def test_no_limit_where_capacity_is_unknown() -> None:
    """Servers that announce no capacity are limited by their slots alone."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(_engine('a', kv_tokens=0), now=loop.time)
        asked = await _fill(pool, _SLOTS)
        assert all(one.done() for one in asked)

    virtual.run(work())


def test_request_larger_than_any_memory_is_refused_at_once() -> None:
    """It would wait until its caller leaves, as no server ever has room."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        pool = play.make_leader(
            _engine('a', kv_tokens=50_000),
            _engine('b', kv_tokens=54_000),
            now=loop.time,
        )
        refused = await _ask(pool, 'long', _LONG)
        denial = refused.result()
        assert isinstance(denial, requests.Denial)
        assert denial.reason is requests.DenialReason.too_late
        granted = await _ask(pool, 'fits', 53_000)
        assert isinstance(granted.result(), requests.Grant)

    virtual.run(work())


def test_new_leader_counts_adopted_requests() -> None:
    """After a change of the coordinator no engine gets more than it holds."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        old = play.make_leader(_engine('a'), now=loop.time)
        grants = [one.result() for one in await _fill(old, _FIT)]
        new = play.make_leader(_engine('a'), now=loop.time)
        new.adopt(
            [
                requests.OpenGrant(
                    play.make_request(
                        f'long {place}', loop.time(), prompt_tokens=_LONG
                    ),
                    grant,
                    first_token=0.01,
                )
                for place, grant in enumerate(grants)
            ]
        )
        waits = await _ask(new, 'one more', _LONG)
        assert not waits.done()
        waits.cancel()

    virtual.run(work())
