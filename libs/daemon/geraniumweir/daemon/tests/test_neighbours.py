"""Tests of the view of pools in other failure domains."""

import types

from geraniumweir.common import ids
from geraniumweir.daemon import membership_views
from geraniumweir.membership import hosts

_NOWHERE = ids.Address('127.0.0.1', 1)
_POOL = ids.PoolName('lm')


def _host(name: str) -> hosts.Host:
    return hosts.Host(
        ids.HostId(name),
        ids.FailureDomain(name[0]),
        ids.Region('r'),
        _NOWHERE,
        ids.Incarnation(1),
        _NOWHERE,
    )


def test_pool_leader_is_computed_without_a_summary() -> None:
    """Without a summary, the leader is computed from the membership."""
    live = [_host('a1'), _host('a2'), _host('b1'), _host('c1')]
    members = types.SimpleNamespace(
        me=live[0],
        pools=types.SimpleNamespace(summaries=lambda _pool: ()),
        all_live=lambda: live,
        eligible=lambda domain: [
            host
            for host in live
            if domain != 'c' and host.failure_domain == domain
        ],
    )
    found = membership_views.Directory(members).others(_POOL)
    assert [(one.domain, one.leader) for one in found] == [('b', 'b1')]
    assert found[0].summary.pool == _POOL
