"""Tests of the choice of server: speed, room, context, prefixes."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import scenes

_BLOCKS = tuple(ids.BlockHash(number) for number in range(50))


async def _sample_speeds(
    scene: scenes.Scene,
    prefill: dict[str, float],
    decode: dict[str, float],
) -> None:
    """Run requests on each server at its speed, in seconds per token."""
    for _ in range(8):
        grants = [await scene.grant() for _ in prefill]
        for grant in grants:
            name = grant.server_id
            first = prefill[name] * 200
            scene.end(
                grant,
                first_token=first,
                output_tokens=101,
                seconds=first + decode[name] * 100,
            )


def test_long_request_waits_for_the_fast_engine() -> None:
    """A free slow server where it would miss its deadline is not chosen."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('fast', hardware='new'),
            scenes.engine('slow', hardware='old'),
        )
        await _sample_speeds(
            scene,
            {'fast': 0.001, 'slow': 0.006},
            {'fast': 0.01, 'slow': 0.06},
        )
        busy = await scene.grant()
        assert busy.server_id == 'fast'
        # 1 + 1 s on the fast one, 6 + 6 s on the slow one.
        long = await scene.start(wait=8, prompt_tokens=1000)
        short = await scene.grant(wait=20)
        assert short.server_id == 'slow'
        assert not long.done()
        scene.end(busy)
        assert (await scenes.granted(long)).server_id == 'fast'

    virtual.run(scenario())


def test_request_too_late_on_every_server_is_denied_at_once() -> None:
    """A request that cannot end in time is denied before any prefill."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        await _sample_speeds(scene, {'one': 0.001}, {'one': 0.01})
        late = await scene.start(wait=5, prompt_tokens=10000)
        assert late.done()
        reason = await scenes.denied(late)
        assert reason is requests.DenialReason.too_late

    virtual.run(scenario())


def test_wrong_prediction_of_lateness_is_corrected() -> None:
    """A prediction that denies everything is tested with a probe at times."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        await _sample_speeds(scene, {'one': 0.001}, {'one': 0.1})
        answers = [await (await scene.start(wait=2)) for _ in range(16)]
        grants = [
            answer for answer in answers if isinstance(answer, requests.Grant)
        ]
        assert len(grants) == 1

    virtual.run(scenario())


def test_kv_room_is_never_overcommitted() -> None:
    """Two long prompts do not share a KV cache that holds one."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', slots=4, kv_tokens=1000),
        )
        first = await scene.grant(prompt_tokens=600, max_tokens=50)
        second = await scene.start(prompt_tokens=600, max_tokens=50)
        await asyncio.sleep(1)
        assert not second.done()
        scene.end(first)
        await scenes.granted(second)

    virtual.run(scenario())


def test_small_requests_do_not_starve_a_large_one() -> None:
    """A server is reserved for a large request that only lacks room."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', slots=4, kv_tokens=1000),
        )
        small = [
            await scene.grant(prompt_tokens=200, max_tokens=50)
            for _ in range(3)
        ]
        large = await scene.start(
            wait=30,
            prompt_tokens=900,
            max_tokens=50,
            tier=ids.Tier.high,
        )
        later = [
            await scene.start(prompt_tokens=200, max_tokens=50)
            for _ in range(3)
        ]
        for grant in small:
            scene.end(grant)
            await asyncio.sleep(0.1)
        await scenes.granted(large)
        assert not any(task.done() for task in later)

    virtual.run(scenario())


def test_server_without_model_or_context_gets_nothing() -> None:
    """A server that lacks the model or the context gets nothing."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('other', models=('tutor',)),
            scenes.engine('small', max_context=500),
            scenes.engine('large', max_context=5000),
        )
        grant = await scene.grant(prompt_tokens=1000)
        assert grant.server_id == 'large'
        none = await scene.start(model='unknown')
        reason = await scenes.denied(none)
        assert reason is requests.DenialReason.no_server
        assert scene.loop.time() <= 1

    virtual.run(scenario())


def test_pool_without_servers_denies_soon() -> None:
    """Waiting requests are denied soon, and later ones at once."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=1))
        await scene.grant()
        waiting = await scene.start()
        await asyncio.sleep(2)
        assert not waiting.done()
        scene.live = []
        reason = await scenes.denied(waiting)
        assert reason is requests.DenialReason.no_server
        # Well before the deadline of one minute of both.
        assert scene.loop.time() < 10
        await asyncio.sleep(2)
        asked_at = scene.loop.time()
        later = await scene.start()
        assert await scenes.denied(later) is requests.DenialReason.no_server
        assert scene.loop.time() == asked_at

    virtual.run(scenario())


def test_prefix_affinity_and_its_correction() -> None:
    """A prompt goes where it is cached, until cache events correct that."""

    async def scenario() -> None:
        scene = scenes.Scene(*(scenes.engine(f'e{each}') for each in range(5)))
        first = await scene.grant(blocks=_BLOCKS, prompt_tokens=800)
        scene.end(first)
        other = await scene.grant(prompt_tokens=800)
        scene.end(other)
        again = await scene.grant(blocks=_BLOCKS, prompt_tokens=800)
        assert again.server_id == first.server_id
        scene.end(again)
        gone = requests.CacheEvents(
            first.server_id,
            ids.Incarnation(1),
            1,
            evicted=_BLOCKS,
        )
        stored = requests.CacheEvents(
            ids.ServerId('e4'),
            ids.Incarnation(1),
            1,
            stored=_BLOCKS,
        )
        scene.leader.cache_events(gone)
        scene.leader.cache_events(stored)
        moved = await scene.grant(blocks=_BLOCKS, prompt_tokens=800)
        assert moved.server_id == 'e4'

    virtual.run(scenario())


def test_leaving_server_gets_no_new_work() -> None:
    """A server that is no longer live gets no work after the next update."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', slots=8),
            scenes.engine('two', slots=8),
        )
        await scene.grant()
        scene.live = scene.live[1:]
        await asyncio.sleep(0.5)
        for _ in range(8):
            assert (await scene.grant()).server_id == 'two'
        over = await scene.start(wait=3)
        reason = await scenes.denied(over)
        assert reason is requests.DenialReason.too_late

    virtual.run(scenario())


def test_burst_does_not_go_to_one_server() -> None:
    """A burst is spread evenly over equal servers as it is granted."""

    async def scenario() -> None:
        scene = scenes.Scene(
            *(scenes.engine(f'e{each}', slots=8) for each in range(4)),
        )
        chosen = [(await scene.grant()).server_id for _ in range(16)]
        counts = {name: chosen.count(name) for name in chosen}
        assert set(counts.values()) == {4}

    virtual.run(scenario())
