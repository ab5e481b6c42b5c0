"""Shared state over real processes: nothing accepted is lost or reverts."""

import asyncio
import collections
import contextlib
import typing

import aiohttp
from geraniumweir.fakes import callers, generation, system, watching

_QUICK = generation.Speed(0.001, 1e6)
_OPERATORS = 8
_TRIES = 200
_ROUNDS = 6


def test_operators_race_while_the_log_leader_is_killed() -> None:
    """One wins each version; a resend elsewhere gets the first answer."""

    async def scenario(made: system.System) -> None:
        wins: collections.Counter[int] = collections.Counter()
        async with watching.versions(made) as watch:
            for base in range(1, _ROUNDS + 1):
                if base == _ROUNDS // 2:
                    await _race_with_a_kill(made, base, wins)
                else:
                    await _race(made, base, wins)
            await made.until_in_force(_ROUNDS + 1)
        assert wins == {base + 1: 1 for base in range(1, _ROUNDS + 1)}
        assert not watch.gone_back
        await _judge_history(made)

    system.run(scenario)


async def _race_with_a_kill(
    made: system.System,
    base: int,
    wins: collections.Counter[int],
) -> None:
    leader = await made.log_leader()
    racing = asyncio.create_task(_race(made, base, wins))
    await asyncio.sleep(0)
    await made.kill(leader)
    await racing
    await made.start(leader)


async def _race(
    made: system.System,
    base: int,
    wins: collections.Counter[int],
) -> None:
    hosts = list(made.plans)
    answers = await asyncio.gather(
        *(_insist(made, hosts, base, number) for number in range(_OPERATORS)),
    )
    wins.update(version for version in answers if version is not None)


async def _insist(
    made: system.System,
    hosts: typing.Sequence[str],
    base: int,
    number: int,
) -> int | None:
    """Send one change, again where no answer came, until it's decided.

    :returns: the version that it became, None where another one won.
    """
    change_id = f'{base}-{number}'
    for attempt in range(_TRIES):
        host_id = hosts[(number + attempt) % len(hosts)]
        answer = await made.change(host_id, base, change_id)
        if answer.status == 200:
            return int(answer.body['version'])
        if answer.status == 409:
            return None
        assert answer.status in {0, 503}, answer
        await asyncio.sleep(0.05)
    raise AssertionError(f'{change_id} was never decided')


async def _judge_history(made: system.System) -> None:
    """Check that all recorders keep one history, and resend it elsewhere."""
    hosts = list(made.plans)
    # The one that was killed has its log only once the leader has shown how
    # far it's committed.
    for late in hosts:
        while len(await _history(made, late)) <= _ROUNDS:
            await asyncio.sleep(0.02)
    kept = [await _history(made, host_id) for host_id in hosts]
    assert kept[0] == kept[1] == kept[2]
    assert [version for version, _ in kept[0]] == list(range(1, _ROUNDS + 2))
    for version, change_id in kept[0]:
        answer = await made.change(hosts[version % 3], version - 1, change_id)
        assert (answer.status, answer.body['version']) == (200, version)


async def _history(
    made: system.System,
    host_id: str,
) -> list[tuple[int, str]]:
    answer = await made.ask(host_id, 'GET', '/v1/history')
    rows = answer.body['history']
    return [(row['version'], row['change_id']) for row in rows]


def test_emptied_recorder_votes_only_once_it_is_added() -> None:
    """Until then two of three are needed; then a second one may be lost."""

    async def scenario(made: system.System) -> None:
        leader = await made.log_leader()
        emptied, other = (one for one in made.plans if one != leader)
        await made.kill(emptied)
        made.empty(emptied)
        assert await made.change_until_accepted(leader, 1, 'while-down') == 2
        await made.start(emptied)
        await made.until_in_force(2, [emptied])
        await made.kill(other)
        # The emptied one lends no vote under its old identity.
        refused = await made.change(leader, 2, 'no-majority')
        assert refused.status == 503
        await made.start(other)
        version = await made.change_until_accepted(other, 2, 'no-majority')
        assert version == 3
        await _replace(made, leader, emptied)
        await made.kill(await made.log_leader())
        left = next(iter(made.running))
        assert await made.change_until_accepted(left, 3, 'with-the-new') == 4
        await made.until_in_force(4)

    system.run(scenario)


async def _replace(made: system.System, at: str, host_id: str) -> None:
    body = {
        'host_id': host_id,
        'address': str(made.plans[host_id].addresses['peer']),
    }
    while True:
        answer = await made.ask(at, 'POST', '/v1/recorders', body)
        if answer.status == 200:
            break
        assert answer.status in {0, 409, 503}, answer
        await asyncio.sleep(0.1)
    rows = answer.body['recorders']
    voters = sorted(row['host_id'] for row in rows if row['voter'])
    assert voters == sorted(made.plans)


def test_domain_that_is_cut_off_serves_and_heals() -> None:
    """It serves what needs no majority; healed, nothing has doubled."""

    async def scenario(made: system.System) -> None:
        await made.add_engines(_QUICK)
        await made.until_served(made.running)
        leader = await made.log_leader()
        domain = str(made.plans[leader].domain)
        inside = made.of(domain)
        outside = [one for one in made.plans if one not in inside]
        async with watching.versions(made) as watch:
            await made.part(domain)
            for host_id in inside:
                await _until_no_majority(made, host_id)
            got = await _serve_cut_off(made, inside)
            got += await _serve_majority(made, outside)
            await made.heal()
            await made.until_in_force(2)
            got += await callers.order_until_known(made, inside, 'van-1')
        assert not watch.gone_back
        assert [made.runs(key) for key in ('van-1', 'van-2')] == [1, 1]
        assert not callers.doubled(made)
        assert not callers.lies(made, got)

    system.run(scenario, per_domain=2)


async def _until_no_majority(made: system.System, host_id: str) -> None:
    while True:
        answer = await made.ask(host_id, 'GET', '/v1/status')
        if answer.body.get('majority') is False:
            return
        await asyncio.sleep(0.05)


async def _serve_cut_off(
    made: system.System,
    inside: typing.Sequence[str],
) -> list[callers.Got]:
    found = await asyncio.gather(
        *(_serve_without_majority(made, host_id) for host_id in inside),
    )
    assert made.runs('van-1') == 0
    return [got for all_got in found for got in all_got]


async def _serve_without_majority(
    made: system.System,
    host_id: str,
) -> list[callers.Got]:
    got = await callers.chat(made, host_id, callers.question('a', 5))
    assert got.whole, got
    assert await made.version(host_id) == 1
    refused, answer = await asyncio.gather(
        callers.order(made, host_id, 'van-1'),
        made.change(host_id, 1, 'cut-off'),
    )
    assert refused.ran == 'no', refused
    assert answer.status == 503, answer
    assert answer.body['error']['ran'] == 'no', answer
    return [got, refused]


async def _serve_majority(
    made: system.System,
    outside: typing.Sequence[str],
) -> list[callers.Got]:
    version = await made.change_until_accepted(outside[0], 1, 'majority')
    assert version == 2
    await made.until_in_force(2, outside)
    all_got = await callers.order_until_known(made, outside, 'van-2')
    assert all_got[-1].whole or all_got[-1].ran == 'yes'
    for host_id in outside:
        got = await callers.chat(made, host_id, callers.question('b', 5))
        assert got.whole, got
        all_got.append(got)
    return all_got


def test_log_leader_that_stood_still_accepts_nothing_old() -> None:
    """What came to it meanwhile meets the state of its successor."""

    async def scenario(made: system.System) -> None:
        await made.add_engines(_QUICK)
        await made.until_served(made.running)
        old = await made.log_leader()
        others = [one for one in made.plans if one != old]
        async with watching.versions(made) as watch:
            made.pause(old)
            waiting = asyncio.create_task(made.change(old, 1, 'too-late'))
            late_order = asyncio.create_task(callers.order(made, old, 'van'))
            await made.log_leader(others)
            await made.change_until_accepted(others[0], 1, 'successor')
            got = await callers.order_until_known(made, others, 'van')
            made.go_on(old)
            answer = await waiting
            assert answer.status in {409, 503}, answer
            got.append(await late_order)
            await made.until_in_force(2)
        assert not watch.gone_back
        assert await _history(made, old) == [(1, 'first'), (2, 'successor')]
        assert made.runs('van') == 1
        assert not callers.lies(made, got)

    system.run(scenario)


def test_host_without_a_disk_is_ready_only_with_a_version() -> None:
    """Started while cut off, it takes its neighbour's and isn't sure."""

    async def scenario(made: system.System) -> None:
        await made.add_engines(_QUICK)
        await made.until_served(made.running)
        domain = system.DOMAINS[2]
        diskless = made.of(domain)[1]
        await made.kill(diskless)
        await made.part(domain)
        await made.start(diskless)
        await _until_ready(made, diskless)
        assert await made.version(diskless) == 1
        await made.until_served([diskless])
        got = await callers.chat(made, diskless, callers.question('a', 5))
        assert got.whole, got
        status = await made.ask(diskless, 'GET', '/v1/status')
        assert status.body['version'] == 1
        await made.heal()
        await made.change_until_accepted(diskless, 1, 'healed')
        await made.until_in_force(2)

    system.run(scenario, per_domain=2)


async def _until_ready(made: system.System, host_id: str) -> None:
    address = made.plans[host_id].addresses['caller']
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            async with made.session.get(f'http://{address}/readyz') as resp:
                if resp.status == 200:
                    return
        await asyncio.sleep(0.005)
