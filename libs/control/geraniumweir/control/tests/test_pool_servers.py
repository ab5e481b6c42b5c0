"""Servers and slots that a host uses by itself, without a coordinator.

While a coordinator was replaced, 195 entry hosts were without one for a moment.
Each used one slot of each server, the minimum: 195 on a server with nine. The
servers queued what they could not run, and their first tokens were late for
seconds after the next coordinator had taken over.
"""

import collections

import pytest
from geraniumweir.common import ids
from geraniumweir.control import enrolments, pool_servers
from geraniumweir.routing import finding, tables

_POOL = ids.PoolName('pool')
_DOMAINS = ('ant', 'bee', 'cow', 'dog', 'elk')


def _table(servers: int, slots: int) -> enrolments.Enrolments:
    table = enrolments.Enrolments(ids.HostId('control'), 3)
    for number in range(servers):
        table.report(
            enrolments.Enrolment(
                ids.ServerId(f's{number}'),
                _POOL,
                ids.Address('10.0.0.1', number + 1),
                ids.FailureDomain(_DOMAINS[number % len(_DOMAINS)]),
                slots,
                1,
            ),
            0,
        )
    return table


def _index() -> finding.Index:
    pool = tables.Pool(_POOL, '/health', max_connections=100)
    return finding.Index(tables.Document(ids.Version(1), pools=(pool,)))


def _used(
    hosts: int, servers: int, slots: int, first: int = 0
) -> collections.Counter[str]:
    """Return the slots by server that some hosts use, each by itself."""
    table = _table(servers, slots)
    used: collections.Counter[str] = collections.Counter()
    for number in range(first, hosts):
        found = pool_servers.PoolServers(
            table,
            _index,
            ids.HostId(f'10.0.0.{number}'),
            ids.FailureDomain(_DOMAINS[number % len(_DOMAINS)]),
        ).of_pool(_POOL, 1 / hosts)
        assert found
        for server in found:
            used[server.server_id] += server.slots
    return used


@pytest.mark.parametrize(
    ('hosts', 'servers', 'slots'),
    [(195, 39, 9), (195, 5, 6), (390, 1400, 8), (6, 6, 10)],
)
def test_standalone_hosts_use_about_as_many_slots_as_there_are(
    hosts: int,
    servers: int,
    slots: int,
) -> None:
    """For any number of hosts, no server gets many times its slots."""
    used = _used(hosts, servers, slots)
    there_are = servers * slots
    # A host uses at least one slot, also if its share is less.
    assert (
        0.5 * there_are < sum(used.values()) < max(1.3 * there_are, 2 * hosts)
    )


def test_standalone_host_uses_its_own_failure_domain() -> None:
    """Servers there are most likely reachable.

    The slots are those of its share among all hosts of that domain.
    """
    used = _used(195, 40, 9, first=190)
    assert 5 <= sum(used.values()) <= 20


def test_coordinator_uses_all_slots() -> None:
    """It grants for all hosts."""
    found = pool_servers.PoolServers(_table(3, 9), _index).of_pool(_POOL)
    assert [server.slots for server in found] == [9, 9, 9]
