"""Tests of operators' operations on hosts that cooperate."""

import asyncio
import contextlib

import pytest
from geraniumweir.common import ids
from geraniumweir.configuration import document, reading
from geraniumweir.daemon import joinedops, observing, operations
from geraniumweir.daemon.tests import joinedbed
from geraniumweir.scheduling import rendezvous

_POOLS = tuple(f'pool-{number}' for number in range(8))
_RULES = ''.join(f'[[pool]]\nname = "{pool}"\n' for pool in _POOLS)


def _operations(host: joinedbed.Host) -> joinedops.JoinedOperations:
    observed = observing.Observed(host.meter, host.tracing)
    return joinedops.JoinedOperations(host.joined, observed)


def test_lost_majority_is_named() -> None:
    """The message must name the lost majority, not only its cause."""

    async def scenario() -> None:
        async with contextlib.AsyncExitStack() as stack:
            host = joinedbed.Host(
                '--host-id=entry-1',
                f'--peer-address=127.0.0.1:{joinedbed.free_port()}',
                f'--recorders=entry-9=127.0.0.1:{joinedbed.free_port()}',
            )
            await host.start(stack)
            change = operations.Change(ids.Version(0), ids.ChangeId('c'), '')
            with pytest.raises(operations.NoMajorityError) as caught:
                await _operations(host).change(change)
            assert 'no majority of the recorders' in caught.value.message

    asyncio.run(scenario())


def test_every_host_names_the_leader_of_every_pool() -> None:
    """Pools led by another host of the failure domain are included."""

    async def scenario() -> None:
        first = joinedbed.free_port()
        two = (
            joinedbed.Host(
                '--host-id=entry-1',
                f'--peer-address=127.0.0.1:{first}',
            ),
            joinedbed.Host(
                '--host-id=entry-2',
                f'--peer-address=127.0.0.1:{joinedbed.free_port()}',
                f'--peers=127.0.0.1:{first}',
            ),
        )
        rules = document.InForce(ids.Version(1), reading.read(_RULES), _RULES)
        async with contextlib.AsyncExitStack() as stack:
            for host in two:
                await host.start(stack)
                host.host.put_in_force(rules)
            live = 'geraniumweir_live_hosts{failure_domain="milano-a"} 2.0'
            wanted = {
                pool: rendezvous.leader_of(
                    ids.FailureDomain('milano-a'),
                    ids.PoolName(pool),
                    [ids.HostId('entry-1'), ids.HostId('entry-2')],
                )
                for pool in _POOLS
            }
            assert len(set(wanted.values())) == 2
            for one in two:
                await one.until(live)
                rows = await _operations(one).pools()
                assert {row.pool: row.leader for row in rows} == wanted

    asyncio.run(scenario())
