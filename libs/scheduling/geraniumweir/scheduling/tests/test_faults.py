"""Tests of servers that stall, fail or crash, and of requests that cause it."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests, suspects
from geraniumweir.scheduling.tests import scenes

_CRASHING = ids.Fingerprint(1313)


def test_server_without_first_token_gets_no_more_work() -> None:
    """A server that accepts but never answers is avoided, and probed later."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('dumb', slots=8))
        stuck = await scene.grant(streams=True)
        await asyncio.sleep(10)
        scene.live.append(scenes.engine('well', slots=8))
        await asyncio.sleep(0.3)
        chosen = [(await scene.grant()).server_id for _ in range(9)]
        assert chosen.count(stuck.server_id) <= 1

    virtual.run(scenario())


def test_straggler_returns_with_few_requests_at_first() -> None:
    """After its cooldown it gets one request at a time, then two, then four."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=8))
        stuck = await scene.grant(streams=True)
        await asyncio.sleep(8)
        scene.end(stuck, requests.Outcome.cancelled)
        tasks = [await scene.start(wait=600) for _ in range(20)]
        shares = []
        ended: set[int] = set()
        while len(ended) < 15:
            await asyncio.sleep(1)
            running = [
                each
                for each, task in enumerate(tasks)
                if task.done() and each not in ended
            ]
            shares.append(len(running))
            for each in running:
                scene.end(await scenes.granted(tasks[each]))
            ended.update(running)
        assert shares[0] <= 1
        assert max(shares) > 2

    virtual.run(scenario())


def test_stall_in_the_middle_of_a_stream() -> None:
    """A stream whose tokens stop closes the server to new work."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=8))
        grant = await scene.grant(streams=True)
        for tokens in range(1, 5):
            scene.leader.progress(
                requests.Progress(grant.request_id, 0.1, tokens),
            )
            await asyncio.sleep(0.5)
        assert scene.leader.summary().capacity[0].free > 0
        await asyncio.sleep(3)
        assert scene.leader.summary().capacity[0].free == 0

    virtual.run(scenario())


def test_server_that_fails_at_once_is_not_the_fastest() -> None:
    """Fast failures in a row close a server."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('bad'), scenes.engine('good'))
        failures = 0
        for _ in range(20):
            grant = await scene.grant()
            outcome = requests.Outcome.done
            if grant.server_id == 'bad':
                outcome = requests.Outcome.failed
                failures += 1
            scene.end(grant, outcome)
        assert failures <= 3

    virtual.run(scenario())


def test_request_after_a_refused_connection_goes_elsewhere() -> None:
    """A request that was not sent is repeated and avoids the server."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one'), scenes.engine('two'))
        slot_request = scene.make()
        first = await scene.leader.request_slot(slot_request)
        assert isinstance(first, requests.Grant)
        scene.end(first, requests.Outcome.not_sent)
        second = await scene.leader.request_slot(slot_request)
        assert isinstance(second, requests.Grant)
        assert second.server_id != first.server_id

    virtual.run(scenario())


def test_estimated_limit_keeps_engine_queues_short() -> None:
    """Reports of a queue inside the engine lower its limit."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=100))
        await scene.grant()
        report = requests.LoadReport(ids.ServerId('one'), 100, 5)
        for _ in range(5):
            scene.leader.report(report)
            await asyncio.sleep(1.5)
        assert scene.leader.summary().capacity[0].slots < 60
        late = requests.LoadReport(ids.ServerId('one'), 100, 5, age=30)
        before = scene.leader.summary().capacity[0].slots
        scene.leader.report(late)
        assert scene.leader.summary().capacity[0].slots == before

    virtual.run(scenario())


def test_crashing_request_is_quarantined_at_the_second_crash() -> None:
    """It crashes two servers and no third; concurrent requests stay allowed."""

    async def scenario() -> None:
        scene = scenes.Scene(
            *(scenes.engine(f'e{each}', slots=8) for each in range(3)),
        )
        others = [await scene.grant() for _ in range(12)]
        crashes = 0
        marks = [ids.Fingerprint(number) for number in range(1, 13)]
        for _ in range(5):
            task = await scene.start(fingerprint=_CRASHING)
            answer = await task
            if isinstance(answer, requests.Denial):
                break
            crashes += 1
            scene.leader.server_crashed(answer.server_id, answer.incarnation)
            scene.end(answer, requests.Outcome.crashed)
            scene.change(answer.server_id, incarnation=2)
            await asyncio.sleep(0.5)
        assert crashes == 2
        assert isinstance(answer, requests.Denial)
        assert answer.reason is requests.DenialReason.quarantined
        assert answer.retry_after_ms > 0
        for mark in marks:
            again = await scene.start(fingerprint=mark)
            await asyncio.sleep(3)
            scene.end(await scenes.granted(again))
        assert others

    virtual.run(scenario())


def test_suspects_of_one_fingerprint_do_not_run_together() -> None:
    """Two requests with one suspected fingerprint never run together."""

    async def scenario() -> None:
        scene = scenes.Scene(
            *(scenes.engine(f'e{each}', slots=8) for each in range(3)),
        )
        first = await scene.grant(fingerprint=_CRASHING)
        scene.leader.server_crashed(first.server_id, first.incarnation)
        one = await scene.grant(fingerprint=_CRASHING)
        two = await scene.start(fingerprint=_CRASHING)
        await asyncio.sleep(1)
        assert not two.done()
        scene.end(one)
        await scenes.granted(two)

    virtual.run(scenario())


def test_crash_detected_only_by_a_new_incarnation() -> None:
    """Requests that failed before a restart become suspects."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=4))
        grant = await scene.grant(fingerprint=_CRASHING)
        scene.end(grant, requests.Outcome.failed)
        await asyncio.sleep(20)
        scene.change('one', incarnation=2)
        await asyncio.sleep(0.5)
        scene.leader.grant_waiting()
        cases = scene.leader.suspects.export(scene.loop.time())
        assert [case.fingerprint for case in cases] == [_CRASHING]

    virtual.run(scenario())


def test_crashed_server_returns_empty() -> None:
    """A crash frees its slots once the new incarnation is announced."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=2))
        lost = [await scene.grant() for _ in range(2)]
        scene.leader.server_crashed(
            ids.ServerId('one'),
            ids.Incarnation(1),
        )
        waiting = await scene.start()
        await asyncio.sleep(1)
        assert not waiting.done()
        scene.change('one', incarnation=2)
        await scenes.granted(waiting)
        for grant in lost:
            scene.end(grant, requests.Outcome.failed)
        assert scene.leader.summary().capacity[0].free <= 1

    virtual.run(scenario())


def test_quarantine_spreads_between_leaders() -> None:
    """A quarantine that one leader exports holds at another."""

    async def scenario() -> None:
        one = scenes.Scene(scenes.engine('one'))
        two = scenes.Scene(scenes.engine('two'))
        for _ in range(2):
            one.leader.suspects.record_crash([_CRASHING], one.loop.time())
        cases = one.leader.suspects.export(one.loop.time())
        two.leader.suspects.merge(cases, two.loop.time())
        task = await two.start(fingerprint=_CRASHING)
        reason = await scenes.denied(task)
        assert reason is requests.DenialReason.quarantined

    virtual.run(scenario())


def test_crashes_seen_by_two_leaders_are_added() -> None:
    """One crash at each of two leaders suffices, in any order of exchange."""
    one = suspects.Suspects(300, 'one')
    two = suspects.Suspects(300, 'two')
    one.record_crash([_CRASHING], 0)
    two.record_crash([_CRASHING], 0)
    for _ in range(3):
        assert one.verdict(_CRASHING, 1) is suspects.Verdict.suspect
        one.merge(one.export(1), 1)
    one.merge(two.export(1), 1)
    two.merge(one.export(1), 1)
    quarantined = suspects.Verdict.quarantined
    assert one.verdict(_CRASHING, 2) is quarantined
    assert two.verdict(_CRASHING, 2) is quarantined
