"""Tests of a pool leader: repeated requests, change of leader, lost owners."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import scenes

_TICK = 0.25


def test_repeated_request_joins_the_waiting_one() -> None:
    """Two slot requests with one id get the same grant and take one slot."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        first = await scene.grant()
        slot_request = scene.make()
        tasks = [
            asyncio.create_task(scene.leader.request_slot(slot_request))
            for _ in range(2)
        ]
        await asyncio.sleep(1)
        scene.end(first)
        grants = await asyncio.gather(*tasks)
        assert grants[0] is grants[1]
        assert await scene.leader.request_slot(slot_request) is grants[0]
        assert scene.leader.summary().capacity[0].free == 0

    virtual.run(scenario())


def test_grant_of_cancelled_caller_is_returned() -> None:
    """A grant that nobody awaits any more is returned to the pool."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        first = await scene.grant()
        second = await scene.start()
        third = await scene.start()
        scene.end(first)
        second.cancel()
        await asyncio.sleep(0.1)
        assert (await scenes.granted(third)).server_id == 'one'

    virtual.run(scenario())


def test_request_withdrawn_while_waiting_takes_no_slot() -> None:
    """A request whose caller disconnected takes no slot."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        first = await scene.grant()
        second = await scene.start(request_id=ids.RequestId('gone'))
        third = await scene.start()
        scene.leader.withdraw(ids.RequestId('gone'))
        reason = await scenes.denied(second)
        assert reason is requests.DenialReason.withdrawn
        scene.end(first)
        await scenes.granted(third)

    virtual.run(scenario())


def test_late_and_repeated_releases_are_ignored() -> None:
    """A repeated release does not free a second slot."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        first = await scene.grant()
        scene.end(first)
        second = await scene.grant()
        scene.end(first)
        third = await scene.start()
        await asyncio.sleep(1)
        assert not third.done()
        scene.end(second)
        await scenes.granted(third)

    virtual.run(scenario())


def test_new_leader_waits_for_open_grants() -> None:
    """Nothing is granted before owners hand over, nor more than fits."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), takeover_seconds=2)
        waiting = await scene.start()
        assert not waiting.done()
        slot_request = scene.make()
        grant = requests.Grant(
            slot_request.request_id,
            ids.ServerId('one'),
            ids.Incarnation(1),
            ids.Address('127.0.0.1', 1),
        )
        scene.leader.adopt([requests.OpenGrant(slot_request, grant, age=1)])
        scene.leader.takeover_complete()
        await asyncio.sleep(0.5)
        assert not waiting.done()
        assert await scene.leader.request_slot(slot_request) == grant
        scene.end(grant)
        await scenes.granted(waiting)

    virtual.run(scenario())


def test_takeover_ends_after_a_time_limit() -> None:
    """A leader that no owner contacts starts to grant after a time limit."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), takeover_seconds=2)
        waiting = await scene.start()
        await asyncio.sleep(1.5)
        assert not waiting.done()
        await scenes.granted(waiting)
        assert scene.loop.time() <= 2 + _TICK

    virtual.run(scenario())


def test_adopted_grant_counts_once_its_server_is_announced() -> None:
    """An adopted grant counts once its server is announced."""

    async def scenario() -> None:
        scene = scenes.Scene()
        slot_request = scene.make()
        grant = requests.Grant(
            slot_request.request_id,
            ids.ServerId('one'),
            ids.Incarnation(1),
            ids.Address('127.0.0.1', 1),
        )
        scene.leader.adopt([requests.OpenGrant(slot_request, grant)])
        scene.live = [scenes.engine('one')]
        await asyncio.sleep(0.1)
        scene.leader.grant_waiting()
        waiting = await scene.start()
        assert not waiting.done()
        scene.end(grant)
        await scenes.granted(waiting)

    virtual.run(scenario())


def test_slots_of_lost_owner_are_released() -> None:
    """A lost entry host's grants do not keep a server busy."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        await scene.grant()
        slot_request = scene.make()
        waiting = asyncio.create_task(scene.leader.request_slot(slot_request))
        await asyncio.sleep(0)
        scene.leader.owner_gone(scenes.HOST)
        reason = await scenes.denied(waiting)
        assert reason is requests.DenialReason.withdrawn
        await scene.grant()

    virtual.run(scenario())


def test_summary_counts_capacity_and_waits() -> None:
    """A summary has free slots, waiting requests and the lowest tier."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=2))
        await scene.grant(tier=ids.Tier.high)
        summary = scene.leader.summary()
        assert summary.capacity == (requests.ModelCapacity('advisor', 2, 1),)
        assert summary.lowest_served is ids.Tier.high
        await scene.grant()
        await scene.start(tier=ids.Tier.low)
        await asyncio.sleep(3)
        summary = scene.leader.summary()
        assert summary.lowest_served is ids.Tier.low
        assert int(summary.oldest) == 3
        assert summary.waits[ids.Tier.low].waiting == 1
        assert summary.waits[ids.Tier.low].expected > 0

    virtual.run(scenario())
