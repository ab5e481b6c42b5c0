"""Shares that both sides of a partition grant add up to the whole."""

import pytest
from geraniumweir.common import ids
from geraniumweir.control import reachable_hosts

_LOST = ids.HostId('lost')
_NEAR = ids.HostId('near')
_CUT_SECONDS = 7


def _at_cut() -> tuple[reachable_hosts.EntryHosts, float]:
    """Return two hosts with half of all requests each, and one's share."""
    hosts = reachable_hosts.EntryHosts(quota_seconds=8)
    for name in (_LOST, _NEAR):
        hosts.heard(name, 0)
        hosts.demand.record(name, 100, 0)
    share = hosts.share_of(_LOST, 0)
    hosts.set_share(_LOST, share)
    return hosts, share


@pytest.mark.parametrize('seconds', range(2, _CUT_SECONDS + 1))
def test_shares_add_up_while_one_host_is_unreachable(seconds: int) -> None:
    """Independent of what arrives at the others meanwhile."""
    hosts, share = _at_cut()
    for now in range(1, seconds + 1):
        hosts.heard(_NEAR, now)
        hosts.demand.record(_NEAR, 50, now)
    assert hosts.reachable_share(seconds) + share == pytest.approx(1)


def test_hosts_seen_only_by_the_previous_coordinator_keep_their_share() -> None:
    """A partition separated them with the previous coordinator."""
    hosts = reachable_hosts.EntryHosts(quota_seconds=8)
    hosts.set_reported_count(4, 10)
    hosts.start_term(10)
    for now, part in ((10.2, 0.2), (11.2, 1 / 3)):
        for name in (_NEAR, ids.HostId('second'), ids.HostId('third')):
            hosts.heard(name, now)
            hosts.set_share(name, part)
    assert hosts.reachable_share(10.2) == 1
    assert hosts.reachable_share(11.2) == pytest.approx(0.6)


def test_only_silent_hosts_count_as_unreachable() -> None:
    """In whatever order their first and last messages arrived."""
    hosts = reachable_hosts.EntryHosts(quota_seconds=8)
    first, second, third = map(ids.HostId, ('first', 'second', 'third'))
    for now, name in ((0, first), (0.5, second), (1, third), (2, first)):
        hosts.heard(name, now)
    assert hosts.count_reachable(2) == 2
    assert hosts.count_reachable(2.5) == 1
    assert hosts.count(15.9) == 2
    assert hosts.count(16.5) == 1
