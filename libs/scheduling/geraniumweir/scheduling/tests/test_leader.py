"""The face of a pool leader: repeated asks, leader change, lost owners."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import scenes

_TICK = 0.25


def test_repeated_ask_of_waiting_joins() -> None:
    """Two asks of one id get the same grant, and it takes one slot."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        first = await scene.grant()
        slot_request = scene.make()
        tasks = [
            asyncio.create_task(scene.leader.ask(slot_request))
            for _ in range(2)
        ]
        await asyncio.sleep(1)
        scene.end(first)
        grants = await asyncio.gather(*tasks)
        assert grants[0] is grants[1]
        assert await scene.leader.ask(slot_request) is grants[0]
        assert scene.leader.summary().capacity[0].free == 0

    virtual.run(scenario())


def test_asker_gone_frees_its_grant() -> None:
    """A grant nobody awaits any more goes back to the pool."""

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


def test_withdrawn_while_waiting() -> None:
    """A caller that went away takes no slot."""

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
    """A second release does not free a second slot."""

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
    """Nothing is granted before the owners handed over, nor overcommitted."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), settle_seconds=2)
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
        scene.leader.settled()
        await asyncio.sleep(0.5)
        assert not waiting.done()
        assert await scene.leader.ask(slot_request) == grant
        scene.end(grant)
        await scenes.granted(waiting)

    virtual.run(scenario())


def test_settling_ends_by_itself() -> None:
    """A leader that nobody tells starts granting after its bound."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), settle_seconds=2)
        waiting = await scene.start()
        await asyncio.sleep(1.5)
        assert not waiting.done()
        await scenes.granted(waiting)
        assert scene.loop.time() <= 2 + _TICK

    virtual.run(scenario())


def test_adopted_grant_of_a_server_not_yet_announced() -> None:
    """A grant counts once its server shows up."""

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


def test_lost_owner_gives_its_slots_back() -> None:
    """A dead entry host's grants don't keep a server busy."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        await scene.grant()
        slot_request = scene.make()
        waiting = asyncio.create_task(scene.leader.ask(slot_request))
        await asyncio.sleep(0)
        scene.leader.owner_gone(scenes.HOST)
        reason = await scenes.denied(waiting)
        assert reason is requests.DenialReason.withdrawn
        await scene.grant()

    virtual.run(scenario())


def test_summary_counts_capacity_and_waits() -> None:
    """A summary shows free slots, who waits and the lowest tier served."""

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
