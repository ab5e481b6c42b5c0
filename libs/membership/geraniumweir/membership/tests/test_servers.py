"""Tests of the registry of backend servers."""

from geraniumweir.common import ids
from geraniumweir.membership import servers


def _announcement(incarnation: int) -> servers.Announcement:
    return servers.Announcement(
        ids.ServerId('s'),
        ids.Incarnation(incarnation),
        ids.Address('127.0.0.1', 1),
        'engine',
        ids.PoolName('p'),
        ids.FailureDomain('d'),
    )


def test_lease_expires() -> None:
    """A server that stopped announcing isn't live after its lease."""
    registry = servers.Registry()
    registry.announce(_announcement(1), 0)
    assert registry.live(servers.LEASE_SECONDS - 0.1)
    assert not registry.live(servers.LEASE_SECONDS)


def test_new_incarnation_is_a_crash() -> None:
    """Only a newer incarnation counts as a crash."""
    registry = servers.Registry()
    assert not registry.announce(_announcement(2), 0)
    assert not registry.announce(_announcement(2), 1)
    assert registry.announce(_announcement(3), 2)
    assert not registry.announce(_announcement(1), 2)
    assert registry.live(2)[0].incarnation == 3
