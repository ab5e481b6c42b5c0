"""What control hosts learn from the exchange with each other."""

import asyncio

from geraniumweir.common import ids, virtual
from geraniumweir.control import enrolments, hosts, presence, reachable_hosts
from geraniumweir.control.tests import bed
from geraniumweir.wire import memory


class _NoLog:
    """A log in which this host takes no part."""

    def is_leading(self) -> bool:
        """Return that this host does not lead."""
        return False


def _seed(domain: str) -> hosts.ControlHost:
    return hosts.seed(ids.HostId(domain), bed.address(domain))


def _meet(
    network: memory.MemoryNetwork, me: str, other: str
) -> tuple[hosts.ControlHosts, presence.Presence]:
    known = hosts.ControlHosts()
    known.register(bed.card(me), 0)
    known.register(_seed(other), 0)
    link = network.join(ids.HostId(me), bed.address(me))
    table = enrolments.Enrolments(ids.HostId(me), 1)
    met = presence.Presence(
        link,
        bed.card(me),
        known,
        table,
        _NoLog(),
        reachable_hosts.EntryHosts(8),
        lambda: {ids.HostId('cow'): bed.address('cow')},
    )
    return known, met


def test_failure_domain_of_a_seed_is_stored_when_it_answers() -> None:
    """Entry hosts and servers are sent to control hosts of their domain."""

    async def work() -> None:
        network = memory.MemoryNetwork()
        known, ours = _meet(network, 'ant', 'bee')
        other_known, others = _meet(network, 'bee', 'ant')
        tasks = [asyncio.create_task(one.run()) for one in (ours, others)]
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()
        assert known.get(ids.HostId('bee')) == bed.card('bee')
        assert other_known.get(ids.HostId('ant')) == bed.card('ant')

    virtual.run(work())


def test_complete_entry_is_not_replaced_by_an_address() -> None:
    """A control host that has it only as a seed sends no more."""
    known = hosts.ControlHosts()
    known.register(bed.card('ant'), 0)
    known.register(_seed('ant'), 1)
    assert known.get(ids.HostId('ant')) == bed.card('ant')


def test_isolated_control_host_contacts_the_present_seeds() -> None:
    """The others may all have been replaced while it was partitioned."""

    async def work() -> None:
        network = memory.MemoryNetwork()
        known, ours = _meet(network, 'ant', 'bee')
        _, others = _meet(network, 'cow', 'dog')
        tasks = [asyncio.create_task(one.run()) for one in (ours, others)]
        await asyncio.sleep(8)
        for task in tasks:
            task.cancel()
        assert known.get(ids.HostId('cow')) == bed.card('cow')

    virtual.run(work())
