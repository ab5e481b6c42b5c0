"""Tests that a rule's limits hold over all entry hosts of a domain."""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import scenes
from geraniumweir.scheduling.tests import world as worlds


def _call(
    host: worlds.Host,
    name: str,
    **limits: typing.Any,
) -> asyncio.Task[requests.Grant | requests.Denial]:
    deadline = asyncio.get_running_loop().time() + 30
    slot_request = worlds.slot_request(host.host_id, name, deadline)
    limited = dataclasses.replace(slot_request, **limits)
    return asyncio.create_task(host.broker.request_slot(limited))


async def _from_each(
    world: worlds.World,
    count: int,
    **limits: typing.Any,
) -> list[requests.Grant | requests.Denial]:
    """Send requests at every host in turn, all at the same time."""
    hosts = list(world.hosts.values())
    # A new leader grants once its takeover is complete.
    await world.call(hosts[0], 'first')
    calls = [
        _call(hosts[number % len(hosts)], f'r{number}', **limits)
        for number in range(count)
    ]
    done, _ = await asyncio.wait(calls, timeout=2)
    return [call.result() for call in calls if call in done]


def _denied(
    answers: typing.Iterable[requests.Grant | requests.Denial],
) -> list[requests.Denial]:
    found = [one for one in answers if isinstance(one, requests.Denial)]
    reasons = {denial.reason for denial in found}
    assert reasons <= {requests.DenialReason.rule_limit}
    return found


def test_two_entry_hosts_share_one_rate() -> None:
    """Each host alone is within the rate, both together are not."""

    async def scenario() -> None:
        world = worlds.World({'a': (2, 9)})
        answers = await _from_each(world, 8, rate_per_s=float(4))
        denied = _denied(answers)
        assert (len(answers), len(denied)) == (8, 4)
        # A bucket of four a second has its next token after 250 ms.
        assert all(200 <= one.retry_after_ms <= 250 for one in denied)

    virtual.run(scenario())


def test_request_over_the_rate_does_not_spill() -> None:
    """A request over the rate is not sent to another failure domain."""

    async def scenario() -> None:
        world = worlds.World({'a': (1, 1), 'b': (1, 4)})
        first = world.leader_of('a')
        answers = await asyncio.gather(
            *(_call(first, f'r{number}', rate_per_s=1.0) for number in (1, 2)),
        )
        assert len(_denied(answers)) == 1
        assert world.leader_of('b').service.pools() == []

    virtual.run(scenario())


def test_spilled_request_counts_where_it_arrived() -> None:
    """The other failure domain's bucket is for its own callers."""

    async def scenario() -> None:
        world = worlds.World({'a': (1, 0), 'b': (1, 1)})
        own = await _call(world.leader_of('b'), 'own', rate_per_s=0.01)
        assert isinstance(own, requests.Grant)
        come = await _call(world.leader_of('a'), 'come', rate_per_s=0.01)
        assert isinstance(come, requests.Grant)
        more = await _call(world.leader_of('a'), 'more', rate_per_s=0.01)
        assert len(_denied([more])) == 1

    virtual.run(scenario())


def test_two_entry_hosts_share_one_running_limit() -> None:
    """Requests over the limit wait, although slots are free."""

    async def scenario() -> None:
        world = worlds.World({'a': (2, 9)})
        answers = await _from_each(world, 8, max_running=3)
        assert len(answers) == 3
        assert not _denied(answers)

    virtual.run(scenario())


def test_two_entry_hosts_share_one_waiting_limit() -> None:
    """As many are admitted as may run and wait, and no more."""

    async def scenario() -> None:
        world = worlds.World({'a': (2, 9)})
        answers = await _from_each(world, 8, max_running=3, max_waiting=2)
        assert len(_denied(answers)) == 3
        assert len(answers) == 6

    virtual.run(scenario())


def test_waiting_request_counts_once_after_a_leader_change() -> None:
    """Requests admitted already are not subject to the new leader's rate."""

    async def scenario() -> None:
        world = worlds.World({'a': (3, 1)})
        dead = world.leader_of('a')
        owner = world.others(dead)[0]
        count = worlds.SLOTS + 3
        calls = [
            _call(owner, f'r{number}', rate_per_s=float(count))
            for number in range(count)
        ]
        await asyncio.sleep(1)
        # The new leader's bucket has as many tokens as there are new requests:
        # if it charged a request admitted before, one would be denied.
        await world.kill(dead.host_id)
        rest = list(world.hosts)
        world.see('a', rest)
        fresh = [
            _call(owner, f'fresh {number}', rate_per_s=float(count))
            for number in range(count)
        ]
        await asyncio.sleep(2)
        for first in calls[: worlds.SLOTS]:
            grant = first.result()
            assert isinstance(grant, requests.Grant)
            done = requests.Outcome.done
            owner.broker.release(requests.Release(grant.request_id, done))
        await asyncio.sleep(1)
        ended = [call.result() for call in (*calls, *fresh) if call.done()]
        assert not _denied(ended)
        assert len(ended) == 2 * worlds.SLOTS

    virtual.run(scenario())


def test_rate_is_checked_before_the_queue_and_is_no_shedding() -> None:
    """A request over the rate is denied with slots free, and passes later."""

    async def scenario() -> None:
        scene = scenes.Scene(scenes.engine('one', slots=4))
        first = await scene.grant(rate_per_s=1.0)
        task = await scene.start(rate_per_s=1.0)
        denial = await task
        assert isinstance(denial, requests.Denial)
        assert denial.reason is requests.DenialReason.rule_limit
        # Requests of another rule are not delayed by it.
        await scene.grant(rule=ids.RuleName('other'), rate_per_s=1.0)
        await asyncio.sleep(denial.retry_after_ms / 1000)
        second = await scene.grant(rate_per_s=1.0)
        assert first.server_id == second.server_id

    virtual.run(scenario())
