"""Leases of backend servers shared inside a domain."""

import asyncio

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.membership import errors, servers
from geraniumweir.membership.tests import cluster, test_registry

_LEAVING = servers.ServerState.leaving


def _states(found: cluster.Cluster) -> dict[str, list[str]]:
    now = asyncio.get_running_loop().time()
    return {
        name: [
            f'{said.server_id}{said.incarnation} {said.state.value}'
            for said in process.member.registry.live(now)
        ]
        for name, process in found.processes.items()
    }


async def _announce(
    found: cluster.Cluster,
    name: str,
    seconds: int,
    **said: object,
) -> None:
    for _ in range(seconds):
        found[name].sharing.announce(test_registry.announcement(**said))
        await asyncio.sleep(1)


def test_lease_is_shared_with_all_hosts() -> None:
    """All hosts of the domain get the lease, also one that starts later."""

    async def main() -> tuple[dict[str, list[str]], dict[str, list[str]]]:
        found = await cluster.start_domain(3)
        announcing = asyncio.create_task(_announce(found, 'a01', 20))
        await asyncio.sleep(0.1)
        early = _states(found)
        await asyncio.sleep(6)
        await found.start('a03', 'a00')
        await asyncio.sleep(3)
        late = _states(found)
        announcing.cancel()
        return early, late

    early, late = virtual.run(main())
    assert early == dict.fromkeys(('a00', 'a01', 'a02'), ['s1 ready'])
    names = ('a00', 'a01', 'a02', 'a03')
    assert late == dict.fromkeys(names, ['s1 ready'])


def test_lease_expires_on_all_hosts() -> None:
    """Hosts don't keep renewing the lease of a silent server by sharing it."""

    async def main() -> dict[str, list[str]]:
        found = await cluster.start_domain(4)
        await _announce(found, 'a01', 5)
        await asyncio.sleep(servers.LEASE_SECONDS)
        return _states(found)

    assert not any(virtual.run(main()).values())


@pytest.mark.parametrize('loss', [0, 0.3])
def test_leaving_reaches_all_hosts_within_two_seconds(loss: float) -> None:
    """Lost messages and a late ``ready`` at another host don't prevent it."""

    async def main() -> dict[str, list[str]]:
        found = await cluster.start_domain(6, seed=5)
        await _announce(found, 'a01', 3)
        found.network.loss = loss
        leaving = test_registry.announcement(state=_LEAVING)
        found['a01'].sharing.announce(leaving)
        found['a02'].sharing.announce(test_registry.announcement())
        await asyncio.sleep(1)
        found['a01'].sharing.announce(leaving)
        await asyncio.sleep(1)
        return _states(found)

    for states in virtual.run(main()).values():
        # A host that lost every message has no valid lease, so it sends the
        # server no work either.
        assert states in (['s1 leaving'], [])


def test_crash_is_reported_on_every_host() -> None:
    """A new incarnation is a crash event on each host of the domain."""

    async def main() -> list[int]:
        found = await cluster.start_domain(3)
        await _announce(found, 'a01', 2)
        await _announce(found, 'a02', 2, incarnation=2)
        await _announce(found, 'a01', 1, incarnation=1)
        return [
            sum(isinstance(one, servers.ServerCrashed) for one in node.crashes)
            for node in found.processes.values()
        ]

    assert virtual.run(main()) == [1, 1, 1]


def test_reply_names_hosts_to_announce_to() -> None:
    """The reply names three hosts of the server's domain."""

    async def main() -> tuple[ids.Address, ...]:
        found = await cluster.start_domain(5)
        said = test_registry.announcement()
        return found['a01'].sharing.announce(said).announce_to

    reply = virtual.run(main())
    assert len(set(reply)) == 3
    assert {address.host for address in reply} == {'127.0.0.2'}


def test_other_domain_is_rejected() -> None:
    """An announcement from another failure domain is rejected."""

    async def main() -> None:
        found = await cluster.start_domain(1)
        said = test_registry.announcement(failure_domain='b')
        found['a00'].sharing.announce(said)

    with pytest.raises(errors.OtherDomainError):
        virtual.run(main())
