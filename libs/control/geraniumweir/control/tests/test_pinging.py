"""Pings cost a coordinator a bounded number of messages a second."""

import asyncio
import itertools

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control.tests import bed

_SECONDS = 4
# Of each of 300 hosts, so that three control hosts get 700 a second each.
_MOST_SEARCH_PINGS = 7


@pytest.mark.parametrize(
    ('hosts', 'most_pings'),
    [(6, 21), (300, 11)],
    ids=['few', 'hundreds'],
)
def test_pings_of_hundreds_of_hosts_do_not_fill_a_coordinator(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    most_pings: int,
) -> None:
    """Five a second from each of 300 hosts took half of its thread."""

    async def work() -> None:
        found = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', found.opened)
        leader = await found.start()
        loop = asyncio.get_running_loop()
        entry_hosts = leader.leadership.entry_hosts
        entry_hosts.set_reported_count(hosts, loop.time())
        entry = found.enter('ant', 'entry')
        await asyncio.sleep(1)
        found.network.sent.clear()
        await asyncio.sleep(_SECONDS)
        pings = found.network.sent[(entry.host_id, 'Ping')]
        assert most_pings / 2 < pings <= most_pings
        assert entry.coordinator.coordinator_id() == leader.host_id
        found.stop()

    virtual.run(work())


def test_lost_coordinator_is_replaced_soon_with_hundreds_of_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A longer period of pings must not delay it by more than that."""

    async def work() -> None:
        found = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', found.opened)
        leader = await found.start()
        now = asyncio.get_running_loop().time()
        leader.leadership.entry_hosts.set_reported_count(300, now)
        entry = found.enter('ant', 'entry')
        await asyncio.sleep(1)
        for domain in bed.DOMAINS:
            if ids.HostId(domain) != leader.host_id:
                found.partition(leader.host_id, domain)
        found.partition(leader.host_id, entry.host_id)
        await asyncio.sleep(3)
        successor = entry.coordinator.coordinator_id()
        assert successor not in {leader.host_id, entry.host_id}
        found.stop()

    virtual.run(work())


def test_search_of_hundreds_of_hosts_leaves_control_hosts_their_threads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ten pings a second from each of 300 hosts let no election end."""

    async def work() -> None:
        found = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', found.opened)
        await found.start()
        now = asyncio.get_running_loop().time()
        for control in found.controls.values():
            control.leadership.entry_hosts.set_reported_count(300, now)
        entry = found.enter('ant', 'entry')
        await asyncio.sleep(1)
        for one, other in itertools.combinations(bed.DOMAINS, 2):
            found.partition(one, other)
        await asyncio.sleep(1)
        found.network.sent.clear()
        await asyncio.sleep(_SECONDS)
        pings = found.network.sent[(entry.host_id, 'Ping')]
        assert pings / _SECONDS <= _MOST_SEARCH_PINGS
        found.stop()

    virtual.run(work())
