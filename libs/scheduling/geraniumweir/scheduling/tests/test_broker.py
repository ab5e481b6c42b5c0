"""Tests of broker and leader service together, with failures, in virtual
time."""

import asyncio
import collections
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import world as worlds


def _check_once(world: worlds.World) -> None:
    assert set(world.dispatched.values()) <= {1}


async def _all(calls: typing.Iterable[asyncio.Task[typing.Any]]) -> None:
    await asyncio.gather(*calls)


def test_grant_from_another_host() -> None:
    """A slot request reaches the leader, and its release frees the slot."""

    async def scenario() -> None:
        world = worlds.World({'a': (3, 1)})
        owner = world.others(world.leader_of('a'))[0]
        await _all(world.call(owner, f'r{number}') for number in range(6))
        assert len(world.granted()) == 6
        assert world.max_running['a-server-0'] <= worlds.SLOTS
        await asyncio.sleep(2)
        assert world.entry_count() == 0

    virtual.run(scenario())


def test_leader_killed_with_grants_open_and_requests_waiting() -> None:
    """No request is lost or runs twice, and no server is overloaded."""

    async def scenario() -> None:
        world = worlds.World({'a': (4, 2)})
        dead = world.leader_of('a')
        owners = world.others(dead)
        calls = [
            world.call(owners[number % 3], f'r{number}', seconds=1.5)
            for number in range(12)
        ]
        await asyncio.sleep(1)
        assert world.running.total() == 2 * worlds.SLOTS
        await world.kill(dead.host_id)
        await asyncio.sleep(0.4)
        world.see('a', [host.host_id for host in owners])
        await _all(calls)
        assert len(world.granted()) == 12
        _check_once(world)
        assert max(world.max_running.values()) <= worlds.SLOTS
        await asyncio.sleep(2)
        assert world.entry_count() == 0

    virtual.run(scenario())


def test_leader_moves_to_a_host_that_joined() -> None:
    """The former leader stays alive; its grants count at the new one."""

    async def scenario() -> None:
        world = worlds.World({'a': (4, 2)})
        leader = world.leader_of('a')
        rest = [host.host_id for host in world.others(leader)]
        world.see('a', rest)
        calls = [
            world.call(world.hosts[rest[number % 3]], f'r{number}', seconds=1.5)
            for number in range(12)
        ]
        await asyncio.sleep(1)
        world.see('a', [*rest, leader.host_id])
        await _all(calls)
        assert len(world.granted()) == 12
        _check_once(world)
        assert max(world.max_running.values()) <= worlds.SLOTS
        await asyncio.sleep(2)
        assert world.entry_count() == 0
        assert leader.service.pools() == [worlds.POOL]

    virtual.run(scenario())


def test_hosts_disagree_about_the_leader() -> None:
    """Nothing runs twice while views differ, nor is left over afterwards."""

    async def scenario() -> None:
        world = worlds.World({'a': (3, 2)})
        leader = world.leader_of('a')
        rest = world.others(leader)
        everyone = [host.host_id for host in world.hosts.values()]
        # Only one host's view lacks the leader.
        without = [host.host_id for host in rest]
        rest[0].view.see(ids.FailureDomain('a'), without)
        calls = [
            world.call(host, f'{host.host_id} {number}')
            for host in world.hosts.values()
            for number in range(4)
        ]
        await asyncio.sleep(1)
        world.see('a', everyone)
        await _all(calls)
        assert len(world.granted()) == 12
        _check_once(world)
        await asyncio.sleep(6)
        assert world.entry_count() == 0

    virtual.run(scenario())


@pytest.mark.parametrize('seed', range(20))
def test_lost_and_repeated_messages(seed: int) -> None:
    """A lost answer causes a delay, but no second dispatch or lost slot."""

    async def scenario() -> None:
        world = worlds.World({'a': (3, 2)}, seed)
        world.network.loss = 0.3
        world.network.repeats = 0.3
        owners = world.others(world.leader_of('a'))
        calls = [
            world.call(owners[number % 2], f'r{number}', deadline=60)
            for number in range(20)
        ]
        await _all(calls)
        assert len(world.granted()) == 20
        _check_once(world)
        world.network.loss = 0
        await asyncio.sleep(10)
        assert world.entry_count() == 0

    virtual.run(scenario())


def test_one_way_partition_from_the_leader() -> None:
    """Answers are lost: another failure domain serves; slots are freed."""

    async def scenario() -> None:
        world = worlds.World({'a': (2, 1), 'b': (1, 1)})
        leader = world.leader_of('a')
        owner = world.others(leader)[0]
        world.network.cut(leader.host_id, owner.host_id)
        await world.call(owner, 'r')
        assert world.granted() == ['r']
        assert world.max_running['b-server-0'] == 1
        _check_once(world)
        await asyncio.sleep(6)
        assert world.entry_count() == 0

    virtual.run(scenario())


def test_spill_requests_each_failure_domain_once() -> None:
    """Without any server the denial comes after one slot request to each."""

    async def scenario() -> None:
        world = worlds.World({'a': (1, 0), 'b': (1, 0), 'c': (2, 0)})
        await world.call(world.leader_of('a'), 'r')
        answer = world.answers['r']
        assert isinstance(answer, requests.Denial)
        assert answer.reason is requests.DenialReason.no_server
        asks = collections.Counter(
            {
                sender: count
                for (sender, name), count in world.network.sent.items()
                if name == 'Ask'
            },
        )
        assert asks == {'a-0': 2}
        # The leaders answer; nothing waits for the deadline.
        assert asyncio.get_running_loop().time() < 5

    virtual.run(scenario())


def test_spill_goes_to_the_best_summary_first() -> None:
    """A pool with free capacity precedes one with a queue."""

    async def scenario() -> None:
        world = worlds.World({'a': (1, 0), 'b': (1, 1), 'c': (1, 1)})
        free = requests.ModelCapacity('', 2, 2)
        summary = requests.PoolSummary(worlds.POOL, capacity=(free,))
        world.summaries['c'] = summary
        await world.call(world.leader_of('a'), 'r')
        assert world.max_running == {'c-server-0': 1}

    virtual.run(scenario())


def test_caller_disconnects_while_waiting() -> None:
    """A withdrawn or cancelled slot request leaves nothing at the leader."""

    async def scenario() -> None:
        world = worlds.World({'a': (2, 1)})
        owner = world.others(world.leader_of('a'))[0]
        first = [
            world.call(owner, f'r{number}', seconds=2) for number in range(2)
        ]
        await asyncio.sleep(0.5)
        withdrawn = world.call(owner, 'withdrawn')
        cancelled = world.call(owner, 'cancelled')
        await asyncio.sleep(0.5)
        owner.broker.withdraw(ids.RequestId('withdrawn'))
        cancelled.cancel()
        await withdrawn
        await asyncio.sleep(0.1)
        assert world.entry_count() == 2
        await _all(first)
        assert sorted(world.granted()) == ['r0', 'r1']

    virtual.run(scenario())


def test_owner_crashes() -> None:
    """The slots of a crashed entry host are granted to others."""

    async def scenario() -> None:
        world = worlds.World({'a': (3, 1)})
        leader = world.leader_of('a')
        dead, alive = world.others(leader)
        for number in range(2):
            world.call(dead, f'dead {number}', seconds=100)
        await asyncio.sleep(0.5)
        await world.kill(dead.host_id)
        await world.call(alive, 'r')
        assert 'r' in world.granted()

    virtual.run(scenario())
