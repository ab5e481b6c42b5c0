"""Several failure domains: views, partitions, notices, pool summaries."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.membership import hosts, poolsummaries
from geraniumweir.membership.tests import cluster

_POOL = ids.PoolName('p')


def _all(found: cluster.Cluster) -> set[str]:
    return {
        ' '.join(host.host_id for host in process.member.all_live())
        for process in found.processes.values()
    }


def _names(found: cluster.Cluster, domain: str) -> list[str]:
    return [name for name in found.processes if name[0] == domain]


def _summary(domain: str, wait_ms: int, free: int) -> poolsummaries.PoolSummary:
    return poolsummaries.PoolSummary(
        ids.FailureDomain(domain),
        _POOL,
        ids.HostId(f'{domain}0'),
        (('m', 4),),
        (wait_ms, wait_ms, wait_ms, wait_ms),
        (free,),
        ids.Tier.low,
    )


def test_all_domains_see_each_other() -> None:
    """Every host sees every host of all domains."""

    async def main() -> tuple[set[str], str]:
        found = await cluster.start_domains('a', 'b', 'c', count=3)
        await asyncio.sleep(5)
        return (
            {' '.join(sorted(view.split())) for view in _all(found)},
            cluster.live_names(found['a2'], 'c'),
        )

    views, of_c = virtual.run(main())
    assert views == {'a0 a1 a2 b0 b1 b2 c0 c1 c2'}
    assert of_c == 'c0 c1 c2'


def test_views_converge_after_partition() -> None:
    """A partitioned domain keeps its own view; after it all views converge.

    A host restarted during the partition appears in its new incarnation only.
    """

    async def main() -> list[set[str]]:
        found = await cluster.start_domains('a', 'b', 'c', count=3)
        await asyncio.sleep(5)
        others = _names(found, 'a') + _names(found, 'b')
        found.partition(_names(found, 'c'), others)
        await asyncio.sleep(15)
        apart = _all(found)
        await asyncio.sleep(600)
        await found.start('a1', 'a0')
        found.network.heal()
        await asyncio.sleep(15)
        joined = {' '.join(sorted(view.split())) for view in _all(found)}
        incarnations = {
            host.incarnation
            for name in _names(found, 'c')
            for host in found[name].live(ids.FailureDomain('a'))
            if host.host_id == 'a1'
        }
        return [apart, joined, incarnations]

    apart, joined, incarnations = virtual.run(main())
    assert apart == {
        'a0 a1 a2 b0 b1 b2',
        'b0 b1 b2 a0 a1 a2',
        'c0 c1 c2',
    }
    assert joined == {'a0 a1 a2 b0 b1 b2 c0 c1 c2'}
    assert incarnations == {10}


def test_unconnected_hosts_of_one_domain_are_introduced() -> None:
    """Hosts whose first link failed find each other through other domains."""

    async def main() -> tuple[set[str], set[str]]:
        found = await cluster.start_domains('a', count=2)
        found.partition(['b0'], ['b1'])
        await found.start('b0', 'a0')
        await found.start('b1', 'a0')
        await asyncio.sleep(90)
        apart = found.views('b')
        found.network.heal()
        await asyncio.sleep(5)
        return apart, found.views('b')

    apart, met = virtual.run(main())
    assert apart == {'b0', 'b1'}
    assert met == {'b0 b1'}


def test_lost_delegates_are_replaced() -> None:
    """After both delegates of a domain crash, others see its live hosts."""

    async def main() -> tuple[set[str], set[str]]:
        found = await cluster.start_domains('a', 'b', count=5)
        await asyncio.sleep(5)
        chosen = [
            name
            for name in _names(found, 'a')
            if found[name].is_domain_delegate
        ]
        for delegate in chosen:
            found.crash(delegate)
        await asyncio.sleep(20)
        seen = {
            cluster.live_names(found[name], 'a') for name in _names(found, 'b')
        }
        return seen, {' '.join(_names(found, 'a'))}

    seen, left = virtual.run(main())
    assert seen == left
    assert len(left.pop().split()) == 3


def test_draining_is_seen_by_other_domains() -> None:
    """A draining host isn't eligible in the view of other domains."""

    async def main() -> set[str]:
        found = await cluster.start_domains('a', 'b', count=3)
        found['a1'].set_roles(hosts.Role.draining)
        await asyncio.sleep(4)
        eligible = found['b2'].eligible(ids.FailureDomain('a'))
        return {host.host_id for host in eligible}

    assert virtual.run(main()) == {'a0', 'a2'}


def test_notice_reaches_all_hosts_within_a_second() -> None:
    """A notice reaches every host of every domain within 1 s, and only once."""

    async def main() -> list[list[bytes]]:
        found = await cluster.start_domains('a', 'b', 'c', count=4)
        await asyncio.sleep(5)
        received: list[list[bytes]] = []
        for process in found.processes.values():
            received.append([])
            process.member.notices.subscribe(received[-1].append)
        found['b3'].broadcast(b'fingerprint', 60)
        await asyncio.sleep(1)
        return received

    assert virtual.run(main()) == 12 * [[b'fingerprint']]


def test_missed_notice_is_delivered_later() -> None:
    """Hosts that missed it by loss, partition or a late start still get it."""

    async def main() -> list[list[bytes]]:
        found = await cluster.start_domains('a', 'b', count=3, seed=2)
        await asyncio.sleep(5)
        received: list[list[bytes]] = []
        for process in found.processes.values():
            received.append([])
            process.member.notices.subscribe(received[-1].append)
        found.partition(_names(found, 'a'), _names(found, 'b'))
        found.network.loss = 0.5
        found['a1'].broadcast(b'one', 60)
        await asyncio.sleep(5)
        found.network.loss = 0
        found.network.heal()
        await asyncio.sleep(4)
        late = await found.start('b3', 'b0')
        received.append([])
        late.member.notices.subscribe(received[-1].append)
        await asyncio.sleep(3)
        return received

    assert virtual.run(main()) == 7 * [[b'one']]


def test_expired_notice_is_not_sent_again() -> None:
    """No host sends an expired notice to one that starts later."""

    async def main() -> list[bytes]:
        found = await cluster.start_domains('a', 'b', count=3)
        await asyncio.sleep(5)
        found['a1'].broadcast(b'one', 4)
        await asyncio.sleep(6)
        late = await found.start('b3', 'b0')
        received: list[bytes] = []
        late.member.notices.subscribe(received.append)
        await asyncio.sleep(5)
        return received

    assert not virtual.run(main())


def test_summaries_reach_other_domains_best_first() -> None:
    """Hosts get other domains' summaries, those with free slots first."""

    async def main() -> tuple[list[str], list[str]]:
        found = await cluster.start_domains('a', 'b', 'c', 'd', count=3)
        found['b0'].pools.publish(_summary('b', 900, 0))
        found['c0'].pools.publish(_summary('c', 100, 0))
        found['d0'].pools.publish(_summary('d', 0, 3))
        await asyncio.sleep(10)
        reader = next(
            found[name]
            for name in _names(found, 'a')
            if not found[name].is_domain_delegate
        )
        reader.pools.summaries(_POOL)
        await asyncio.sleep(0.01)
        first = reader.pools.summaries(_POOL)
        found['d0'].pools.publish(_summary('d', 400, 0))
        await asyncio.sleep(4)
        then = reader.pools.summaries(_POOL)
        return (
            [one.failure_domain for one in first],
            [one.failure_domain for one in then],
        )

    first, then = virtual.run(main())
    assert first == ['d', 'c', 'b']
    assert then == ['c', 'd', 'b']


def test_summaries_of_unreachable_domains_are_left_out() -> None:
    """Requests aren't forwarded to a domain that is unreachable."""

    async def main() -> list[str]:
        found = await cluster.start_domains('a', 'b', 'c', count=2)
        found['b0'].pools.publish(_summary('b', 0, 3))
        found['c0'].pools.publish(_summary('c', 0, 3))
        await asyncio.sleep(10)
        others = _names(found, 'a') + _names(found, 'b')
        found.partition(_names(found, 'c'), others)
        await asyncio.sleep(12)
        return [
            one.failure_domain for one in found['a0'].pools.summaries(_POOL)
        ]

    assert virtual.run(main()) == ['b']


def test_newest_version_reaches_all_hosts() -> None:
    """The newest version reaches the hosts of all domains within 3 s."""

    async def main() -> set[int]:
        found = await cluster.start_domains('a', 'b', 'c', count=3)
        await asyncio.sleep(5)
        found['a1'].progress.raise_to(70, 12)
        await asyncio.sleep(3)
        return {
            process.member.progress.newest.version
            for process in found.processes.values()
        }

    assert virtual.run(main()) == {12}
