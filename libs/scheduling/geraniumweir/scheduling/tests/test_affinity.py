"""Tests of prefixes, concurrency limit and tier order together."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import concurrency, requests
from geraniumweir.scheduling.tests import scenes

_BLOCKS = tuple(ids.BlockHash(number) for number in range(50))


def test_request_waits_for_a_server_with_its_prefix() -> None:
    """A free server without the prefix stays free for a while."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), scenes.engine('two'))
        first = await scene.grant(blocks=_BLOCKS, prompt_tokens=5000)
        again = await scene.start(blocks=_BLOCKS, prompt_tokens=5000)
        await asyncio.sleep(1)
        assert not again.done()
        scene.end(first)
        assert (await scenes.granted(again)).server_id == first.server_id

    virtual.run(scenario())


def test_wait_for_a_server_with_the_prefix_ends() -> None:
    """A server with the prefix that stays busy does not block a request."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), scenes.engine('two'))
        first = await scene.grant(blocks=_BLOCKS, prompt_tokens=1000)
        again = await scene.grant(blocks=_BLOCKS, prompt_tokens=1000)
        assert again.server_id != first.server_id
        assert 1 < scene.loop.time() < 20

    virtual.run(scenario())


def test_request_waits_for_its_prefix_in_prefill() -> None:
    """A second request does not compute what the first is computing."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=4))
        first = await scene.grant(blocks=_BLOCKS, prompt_tokens=5000)
        again = await scene.start(blocks=_BLOCKS, prompt_tokens=5000)
        await asyncio.sleep(0.5)
        assert not again.done()
        update = requests.Progress(first.request_id, 0.6, 1)
        scene.leader.progress(update)
        await asyncio.sleep(0.5)
        assert again.done()

    virtual.run(scenario())


def test_new_request_of_a_lower_tier_leaves_room_to_a_higher() -> None:
    """It goes after a request of a higher tier that only lacks KV room."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', slots=4, kv_tokens=1000, can_cancel=False),
        )
        first = await scene.grant(prompt_tokens=600, max_tokens=50)
        high = [
            await scene.start(
                tier=ids.Tier.high,
                prompt_tokens=600,
                max_tokens=50,
            )
            for _ in range(2)
        ]
        low = await scene.start(
            tier=ids.Tier.low,
            prompt_tokens=100,
            max_tokens=10,
        )
        await asyncio.sleep(1)
        assert not low.done()
        scene.end(first)
        scene.end(await scenes.granted(high[0]))
        await scenes.granted(high[1])
        await scenes.granted(low)

    virtual.run(scenario())


def test_limit_keeps_at_least_half_of_the_slots() -> None:
    """Slow answers never lower the limit below half; good ones restore it."""
    limit = concurrency.Limit(16)
    for second in range(100):
        limit.observe(60, 1, float(second))
    assert limit.rounded == 8
    for second in range(100, 120):
        limit.observe(1, 1, float(second))
    assert limit.rounded == 16


def test_new_rule_is_not_denied_for_the_lengths_of_others() -> None:
    """A few long answers of one rule do not affect another rule."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=4))
        for _ in range(6):
            grant = await scene.grant(rule=ids.RuleName('long'))
            scene.end(grant, first_token=0.1, output_tokens=600, seconds=18)
        await scene.grant(wait=6, rule=ids.RuleName('new'))

    virtual.run(scenario())
