"""Every host that can learn that a server leaves stops using it.

Each entry host is checked every 50 ms for whether it still takes the server for
one that may get requests.
"""

import asyncio
import dataclasses
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control import enrolments
from geraniumweir.control.tests import bed
from geraniumweir.scheduling import notices

# Time after its acknowledgement in which a leave must be known everywhere.
_KNOWN_SECONDS = 2
_POLL_SECONDS = 0.05
_CUT_SECONDS = 6
_SERVER = ids.ServerId('s')
_START = (_SERVER, ids.Incarnation(0))
_IMMEDIATE_SECONDS = 0.2
# Latest time at which it is known once another control host leads.
_ELECTED_SECONDS = 4


def _enrolment(
    domain: str,
    state: enrolments.State,
    sequence: int,
) -> enrolments.Enrolment:
    return enrolments.Enrolment(
        _SERVER,
        ids.PoolName('pool'),
        ids.Address('10.0.0.9', 80),
        ids.FailureDomain(domain),
        4,
        sequence,
        state,
    )


def _report(
    hosts: bed.Bed,
    domain: str,
    state: enrolments.State,
    sequence: int,
) -> None:
    """Send a server's report, as `ControlHost.report` does."""
    control = hosts.controls[domain]
    enrolment = _enrolment(domain, state, sequence)
    now = asyncio.get_running_loop().time()
    if control.table.report(enrolment, now):
        control.presence.publish_changes([enrolment])
    control.feed.notify()


def _partition_control_host(hosts: bed.Bed, domain: str) -> None:
    """Partition a control host from the others; entry hosts reach all."""
    for other in bed.DOMAINS:
        if other != domain:
            hosts.partition(domain, other)


async def _seconds_taken_for_ready(
    entries: typing.Sequence[bed.Entry],
    seconds: float,
) -> float:
    """Return for how long the last entry host took the server for ready."""
    now = asyncio.get_running_loop().time
    start = now()
    last = float(0)
    while now() < start + seconds:
        await asyncio.sleep(_POLL_SECONDS)
        if not all(one.pool_servers.is_leaving(_START) for one in entries):
            last = now() - start
    return last


async def _started(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[bed.Bed, list[bed.Entry]]:
    """Start hosts, an entry host in each domain and two in the first.

    A server has reported in the first domain.
    """
    hosts = bed.Bed()
    monkeypatch.setattr(recordings, 'opened', hosts.opened)
    await bed.publish(await hosts.start(), 1)
    places = (*bed.DOMAINS, bed.DOMAINS[0])
    entries = [
        hosts.enter(domain, f'entry-{number}')
        for number, domain in enumerate(places)
    ]
    _report(hosts, bed.DOMAINS[0], enrolments.State.ready, 1)
    await asyncio.sleep(1)
    assert all(one.watcher.servers.get(_SERVER) for one in entries)
    return hosts, entries


def test_leave_that_one_host_received_reaches_all_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No report of the server contains the leave."""

    async def work() -> None:
        hosts, entries = await _started(monkeypatch)
        entries[1].receive_notice(_START, notices.Leaving())
        _report(hosts, bed.DOMAINS[0], enrolments.State.ready, 2)
        ready_seconds = await _seconds_taken_for_ready(entries, 2)
        assert ready_seconds < _IMMEDIATE_SECONDS
        for control in hosts.controls.values():
            found = control.table.get(_SERVER)
            assert found and found.state is enrolments.State.leaving
        hosts.stop()

    virtual.run(work())


def test_leave_received_during_a_partition_is_published_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """That host stops at once; the others as soon as it is reachable."""

    async def work() -> None:
        hosts, entries = await _started(monkeypatch)
        partitioned_entry, *others = entries
        for domain in bed.DOMAINS:
            hosts.partition(partitioned_entry.host_id, domain)
        await asyncio.sleep(3)
        assert partitioned_entry.coordinator.is_alone()
        partitioned_entry.receive_notice(_START, notices.Leaving())
        assert partitioned_entry.pool_servers.is_leaving(_START)
        await asyncio.sleep(3)
        assert not any(one.pool_servers.is_leaving(_START) for one in others)
        hosts.network.heal()
        assert await _seconds_taken_for_ready(others, 4) < _KNOWN_SECONDS
        hosts.stop()

    virtual.run(work())


def test_leave_reaches_a_host_that_was_partitioned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It has no answer of the server itself."""

    async def work() -> None:
        hosts, entries = await _started(monkeypatch)
        for domain in bed.DOMAINS:
            hosts.partition(entries[0].host_id, domain)
        await asyncio.sleep(3)
        entries[1].receive_notice(_START, notices.Leaving())
        await asyncio.sleep(3)
        assert not entries[0].pool_servers.is_leaving(_START)
        hosts.network.heal()
        assert await _seconds_taken_for_ready(entries, 4) < _KNOWN_SECONDS
        hosts.stop()

    virtual.run(work())


def test_leave_survives_the_coordinator_that_received_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is lost right after; hosts with the notice send it to the next."""

    async def work() -> None:
        hosts, entries = await _started(monkeypatch)
        leading = next(one for one in hosts.controls.values() if one.leads())
        others = [one for one in bed.DOMAINS if one != leading.host_id]
        for other in others:
            hosts.partition(leading.host_id, other)
        entries[0].receive_notice(_START, notices.Leaving())
        await asyncio.sleep(0.1)
        hosts.network.leave(leading.host_id)
        assert (
            await _seconds_taken_for_ready(entries, _CUT_SECONDS)
            < _ELECTED_SECONDS
        )
        for other in others:
            found = hosts.controls[other].table.get(_SERVER)
            assert found and found.state is enrolments.State.leaving
        hosts.stop()

    virtual.run(work())


@pytest.mark.parametrize('born', [4, 6])
def test_leave_of_another_incarnation_changes_nothing(born: int) -> None:
    """A server may start again under its id and report the new incarnation."""
    table = enrolments.Enrolments(ids.HostId('c'), 1)
    enrolment = _enrolment('ant', enrolments.State.ready, 1)
    table.report(dataclasses.replace(enrolment, born=5), 0)
    change = table.mark_leaving(_SERVER, born, 1)
    assert (change is None) is (born < 5)
    table.report(dataclasses.replace(enrolment, born=7, sequence=2), 2)
    found = table.get(_SERVER)
    assert found and found.state is enrolments.State.ready


def test_delayed_report_does_not_revoke_a_leave() -> None:
    """Also for a server that no host had registered yet."""
    table = enrolments.Enrolments(ids.HostId('c'), 1)
    assert table.mark_leaving(_SERVER, 0, 0) is not None
    table.report(_enrolment('ant', enrolments.State.ready, 5), 1)
    found = table.get(_SERVER)
    assert found and found.state is enrolments.State.leaving
    assert table.mark_leaving(_SERVER, 0, 2) is None


@pytest.mark.parametrize('leads', [True, False])
def test_leave_acknowledged_in_a_partition_reaches_hosts_on_both_sides(
    monkeypatch: pytest.MonkeyPatch,
    leads: bool,
) -> None:
    """They notify their coordinator, which notifies all others."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        await bed.publish(await hosts.start(), 1)
        domain = next(
            name for name, one in hosts.controls.items() if one.leads() is leads
        )
        entries = [
            hosts.enter(place, f'entry-{number}')
            for number, place in enumerate((domain, *bed.DOMAINS))
        ]
        _report(hosts, domain, enrolments.State.ready, 1)
        await asyncio.sleep(1)
        assert all(one.watcher.servers.get(_SERVER) for one in entries)
        _partition_control_host(hosts, domain)
        await asyncio.sleep(3)
        _report(hosts, domain, enrolments.State.leaving, 2)
        ready_seconds = await _seconds_taken_for_ready(entries, _CUT_SECONDS)
        hosts.stop()
        assert ready_seconds < _KNOWN_SECONDS

    virtual.run(work())
