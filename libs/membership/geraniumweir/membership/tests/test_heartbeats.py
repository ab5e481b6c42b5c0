"""Hosts of one failure domain: stalls, losses, crashes and returns."""

import asyncio
import itertools

from geraniumweir.common import ids, virtual
from geraniumweir.membership import hosts, suspicion
from geraniumweir.membership.tests import cluster

_BOUND = suspicion.Timing().detection_bound
_SLACK = 0.01
_DOMAIN = ids.FailureDomain('a')


def _all_names(count: int) -> str:
    return ' '.join(f'a{number:02}' for number in range(count))


def test_hosts_with_one_seed_find_each_other() -> None:
    """Hosts that share only one seed all find each other."""

    async def main() -> set[str]:
        found = await cluster.start_domain(6)
        return found.views('a')

    assert virtual.run(main()) == {_all_names(6)}


def test_host_that_started_before_its_seed_joins_soon() -> None:
    """A host whose greeting found the seed down joins within 2 s.

    Isolated hosts retry their seeds at every tick.
    """

    async def main() -> set[str]:
        found = cluster.Cluster()
        await found.start('a00')
        found.crash('a00')
        await found.start('a01', 'a00')
        await found.start('a00')
        await asyncio.sleep(2)
        return found.views('a')

    assert virtual.run(main()) == {'a00 a01'}


def test_crash_is_detected_within_bound() -> None:
    """All hosts detect a crash within the bound, none as announced."""

    async def main() -> tuple[set[str], list[hosts.HostLeft]]:
        found = await cluster.start_domain(6)
        cluster.clear_events(found)
        found.crash('a03')
        await asyncio.sleep(_BOUND + _SLACK)
        left = [one.left() for one in found.processes.values()]
        return found.views('a'), list(itertools.chain(*left))

    views, left = virtual.run(main())
    assert views == {'a00 a01 a02 a04 a05'}
    assert {one.reason for one in left} == {hosts.Departure.silent}
    assert len(left) == 5


def test_farewell_removes_host_at_once() -> None:
    """A host that leaves is removed without a timeout and stays removed."""

    async def main() -> tuple[set[str], set[str]]:
        found = await cluster.start_domain(4)
        leaving = asyncio.create_task(found['a03'].leave())
        await asyncio.sleep(0.1)
        early = cluster.live_names(found['a00'], 'a')
        await leaving
        found.processes.pop('a03')
        await asyncio.sleep(2)
        return {early}, found.views('a')

    early, late = virtual.run(main())
    assert early == late == {'a00 a01 a02'}


def test_stalled_host_suspects_nobody() -> None:
    """After its own stall a host suspects none of the others."""

    async def main() -> tuple[list[hosts.HostEvent], set[str]]:
        found = await cluster.start_domain(6)
        process = found.processes['a02']
        process.stall()
        await asyncio.sleep(8)
        cluster.clear_events(found)
        process.resume()
        await asyncio.sleep(5)
        return process.events, found.views('a')

    own, views = virtual.run(main())
    assert [type(one) for one in own] == [hosts.SelfStalled]
    assert views == {_all_names(6)}


def test_one_way_loss_causes_no_false_death() -> None:
    """A host stays live by vouchers when one direction of a link fails."""

    async def main() -> tuple[set[str], list[hosts.HostLeft]]:
        found = await cluster.start_domain(5)
        cluster.clear_events(found)
        found.network.cut(ids.HostId('a01'), ids.HostId('a02'))
        await asyncio.sleep(30)
        left = [one.left() for one in found.processes.values()]
        return found.views('a'), list(itertools.chain(*left))

    views, left = virtual.run(main())
    assert views == {_all_names(5)}
    assert not left


def test_host_without_inbound_links_is_not_eligible() -> None:
    """A host whose inbound links fail is live, but may not lead pools."""

    async def main() -> tuple[str, list[str]]:
        found = await cluster.start_domain(5)
        for other in range(4):
            name = ids.HostId(f'a{other:02}')
            found.network.cut(name, ids.HostId('a04'))
        await asyncio.sleep(_BOUND)
        eligible = found['a00'].eligible(_DOMAIN)
        live = cluster.live_names(found['a00'], 'a')
        return live, [host.host_id for host in eligible]

    live, eligible = virtual.run(main())
    assert live == _all_names(5)
    assert eligible == ['a00', 'a01', 'a02', 'a03']


def test_draining_is_published_at_once() -> None:
    """All hosts see within 0.1 s that a draining host isn't eligible."""

    async def main() -> tuple[set[str], list[hosts.Host]]:
        found = await cluster.start_domain(3)
        found['a01'].set_roles(hosts.Role.draining)
        await asyncio.sleep(0.1)
        eligible = [
            host
            for process in found.processes.values()
            for host in process.member.eligible(_DOMAIN)
        ]
        return found.views('a'), eligible

    views, eligible = virtual.run(main())
    assert views == {_all_names(3)}
    assert {host.host_id for host in eligible} == {'a00', 'a02'}


def test_flapping_host_is_damped() -> None:
    """A host that keeps failing needs longer each time to be live again."""

    async def main() -> int:
        found = await cluster.start_domain(4)
        cluster.clear_events(found)
        names = ['a00', 'a01', 'a02']
        for _ in range(12):
            found.partition(['a03'], names)
            await asyncio.sleep(4)
            found.network.heal()
            await asyncio.sleep(2)
        return len(found.processes['a00'].left())

    # Without damping it leaves five times.
    assert virtual.run(main()) <= 2


def test_message_loss_causes_few_false_deaths() -> None:
    """30 % message loss for two minutes causes almost no false deaths."""

    async def main() -> tuple[int, set[str]]:
        found = await cluster.start_domain(12, seed=3)
        cluster.clear_events(found)
        found.network.loss = 0.3
        await asyncio.sleep(120)
        left = sum(len(one.left()) for one in found.processes.values())
        found.network.loss = 0
        await asyncio.sleep(20)
        return left, found.views('a')

    left, views = virtual.run(main())
    # 12 x 11 views for 240 periods give 31,680 chances of a false death;
    # without witnesses there were 25.
    assert left <= 1
    assert views == {_all_names(12)}


def test_restart_replaces_older_incarnation() -> None:
    """A new incarnation replaces the older one, which never returns."""

    async def main() -> tuple[set[int], list[hosts.Departure]]:
        found = await cluster.start_domain(4)
        cluster.clear_events(found)
        found.processes['a02'].member.stop()
        await found.start('a02', 'a01')
        await asyncio.sleep(2)
        incarnations = {
            host.incarnation
            for process in found.processes.values()
            for host in process.member.live(_DOMAIN)
            if host.host_id == 'a02'
        }
        left = found.processes['a00'].left()
        return incarnations, [one.reason for one in left]

    incarnations, reasons = virtual.run(main())
    assert incarnations == {5}
    assert reasons == [hosts.Departure.restarted]


def test_partitioned_domain_converges_again() -> None:
    """The two sides of a partitioned domain converge after two minutes."""

    async def main() -> tuple[set[str], set[str]]:
        found = await cluster.start_domain(4)
        found.partition(['a00', 'a01'], ['a02', 'a03'])
        await asyncio.sleep(120)
        apart = found.views('a')
        found.network.heal()
        await asyncio.sleep(12)
        return apart, found.views('a')

    apart, joined = virtual.run(main())
    assert apart == {'a00 a01', 'a02 a03'}
    assert joined == {_all_names(4)}
