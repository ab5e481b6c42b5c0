"""Tests of which requests are denied or preempted without capacity."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import scenes


def test_full_queue_sheds_the_latest_of_the_lowest_tier() -> None:
    """A new request of a higher tier displaces the lowest, latest one."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', can_cancel=False),
            queue_limit=3,
        )
        await scene.grant(tier=ids.Tier.urgent)
        normal = await scene.start(tier=ids.Tier.normal)
        low = [await scene.start(tier=ids.Tier.low) for _ in range(2)]
        high = await scene.start(tier=ids.Tier.high)
        assert not high.done()
        reason = await scenes.denied(low[1])
        assert reason is requests.DenialReason.shed
        assert not low[0].done()
        assert not normal.done()
        newcomer = await scene.start(tier=ids.Tier.low)
        reason = await scenes.denied(newcomer)
        assert reason is requests.DenialReason.queue_full

    virtual.run(scenario())


def test_freed_slots_go_by_tier_then_latest_start() -> None:
    """Neither arrival nor an earlier deadline goes before a higher tier."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', can_cancel=False))
        running = await scene.grant()
        order = (
            (ids.Tier.low, 20),
            (ids.Tier.high, 50),
            (ids.Tier.high, 40),
            (ids.Tier.urgent, 60),
        )
        tasks = [await scene.start(wait, tier=tier) for tier, wait in order]
        for expected in (3, 2, 1, 0):
            scene.end(running)
            running = await scenes.granted(tasks[expected])
            assert sum(task.done() for task in tasks) == 4 - expected

    virtual.run(scenario())


def test_near_deadline_preempts_the_least_waste() -> None:
    """The lowest tier is preempted, there the least prefill."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=4))
        fields = (
            (ids.Tier.normal, 10),
            (ids.Tier.low, 900),
            (ids.Tier.low, 300),
            (ids.Tier.low, 500),
        )
        for tier, prompt in fields:
            await scene.grant(tier=tier, prompt_tokens=prompt)
        high = await scene.start(wait=8, tier=ids.Tier.high)
        await asyncio.sleep(1)
        assert not scene.preempts
        await asyncio.sleep(3.9)
        assert [preempt.request_id for preempt in scene.preempts] == [
            'request-3',
        ]
        scene.leader.release(
            requests.Release(
                ids.RequestId('request-3'),
                requests.Outcome.preempted,
            ),
        )
        await scenes.granted(high)

    virtual.run(scenario())


def test_preempted_slot_is_not_taken_by_others() -> None:
    """A request of the same tier does not take the freed slot."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'))
        low = await scene.grant(tier=ids.Tier.low)
        pressed = await scene.start(wait=3, tier=ids.Tier.high)
        await asyncio.sleep(0.1)
        assert scene.preempts
        patient = await scene.start(wait=60, tier=ids.Tier.high)
        scene.end(low, requests.Outcome.preempted)
        await scenes.granted(pressed)
        assert not patient.done()

    virtual.run(scenario())


def test_non_idempotent_is_never_preempted() -> None:
    """A non-idempotent order in flight stays, even before the highest tier."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=2))
        for _ in range(2):
            await scene.grant(tier=ids.Tier.low, idempotent=False)
        urgent = await scene.start(wait=5, tier=ids.Tier.urgent)
        reason = await scenes.denied(urgent)
        assert reason is requests.DenialReason.too_late
        assert not scene.preempts

    virtual.run(scenario())


def test_server_that_cannot_cancel_is_not_preempted() -> None:
    """A stream on a server that cannot cancel is not preempted."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', can_cancel=False))
        await scene.grant(tier=ids.Tier.low)
        urgent = await scene.start(wait=5, tier=ids.Tier.urgent)
        await scenes.denied(urgent)
        assert not scene.preempts

    virtual.run(scenario())


def test_several_are_preempted_for_kv_room() -> None:
    """As many low streams of a server end as a long prompt needs."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', slots=4, kv_tokens=1000),
        )
        low = {}
        for _ in range(4):
            grant = await scene.grant(
                tier=ids.Tier.low,
                prompt_tokens=200,
                max_tokens=20,
            )
            low[grant.request_id] = grant
        urgent = await scene.start(
            wait=3,
            tier=ids.Tier.urgent,
            prompt_tokens=600,
            max_tokens=50,
        )
        await asyncio.sleep(1.5)
        victims = [preempt.request_id for preempt in scene.preempts]
        assert len(victims) == 3
        for request_id in victims:
            scene.end(low[request_id], requests.Outcome.preempted)
        await scenes.granted(urgent)

    virtual.run(scenario())


def test_full_queue_of_its_own_tier_preempts_lower_work() -> None:
    """A new request is not denied while a lower tier runs preemptibly."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), queue_limit=1)
        low = await scene.grant(tier=ids.Tier.low)
        first = await scene.start(tier=ids.Tier.high)
        second = await scene.start(tier=ids.Tier.high)
        assert not second.done()
        assert scene.preempts
        scene.end(low, requests.Outcome.preempted)
        await asyncio.sleep(0.1)
        assert first.done() or second.done()

    virtual.run(scenario())


def test_denials_spread_their_retries() -> None:
    """Requests denied together get different retry times."""

    async def scenario() -> None:
        scene = scenes.Scene(
            scenes.engine('one', can_cancel=False),
            queue_limit=1,
        )
        await scene.grant()
        await scene.start()
        answers = [await (await scene.start()) for _ in range(20)]
        times = {
            answer.retry_after_ms
            for answer in answers
            if isinstance(answer, requests.Denial)
        }
        assert len(times) > 10
        assert min(times) > 0

    virtual.run(scenario())


def test_retries_beyond_the_budget_are_denied() -> None:
    """A burst of retries is denied at once while nothing is free."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', can_cancel=False))
        await scene.grant(wait=600)
        refused = 0
        for _ in range(40):
            task = await scene.start(wait=4, fingerprint=ids.Fingerprint(99))
            refused += task.done()
            await scenes.denied(task)
        assert refused >= 15

    virtual.run(scenario())


def test_rule_limits_have_their_own_reason() -> None:
    """A rule's limits hold back only its requests, with their own reason."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=8))
        limits = {'max_running': 1, 'max_waiting': 1}
        first = await scene.grant(**limits)
        second = await scene.start(**limits)
        third = await scene.start(**limits)
        reason = await scenes.denied(third)
        assert reason is requests.DenialReason.rule_limit
        await scene.grant(rule=ids.RuleName('other'))
        assert not second.done()
        scene.end(first)
        await scenes.granted(second)

    virtual.run(scenario())
