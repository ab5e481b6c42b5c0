"""Servers of old versions stop when a rollout is completed."""

import types

from geraniumweir.common import ids
from geraniumweir.control import enrolments, host
from geraniumweir.rollout import orders

_POOL = ids.PoolName('p')
_NEW = ids.SoftwareVersion('v2')
_COMPLETED = orders.Rollout(
    _POOL, 1, _NEW, 12, orders.State.completed, orders.Phase.moved
)


def _server(name: str, version: str, pool: str = _POOL) -> enrolments.Enrolment:
    return enrolments.Enrolment(
        ids.ServerId(name),
        ids.PoolName(pool),
        ids.Address('127.0.0.1', 1),
        ids.FailureDomain('x'),
        1,
        1,
        version=ids.SoftwareVersion(version),
    )


def test_no_old_server_is_ready_when_pools_grant_again() -> None:
    """A waiting request would be granted to those that are removed last."""
    table = enrolments.Enrolments(ids.HostId('me'), 1)
    for one in (
        _server('old-1', 'v1'),
        _server('old-2', 'v1'),
        _server('new', 'v2'),
        _server('other', 'v1', 'other-pool'),
    ):
        table.report(one, 0)
    ready: list[list[str]] = []
    published: list[str] = []

    def servers_changed() -> None:
        ready.append(
            [
                one.server_id
                for one in table.known()
                if one.state is enrolments.State.ready
            ],
        )

    def publish(changed: list[enrolments.Enrolment]) -> None:
        published.extend(one.server_id for one in changed)

    some = types.SimpleNamespace(
        servers=table,
        _clock=types.SimpleNamespace(now=float),
        _presence=types.SimpleNamespace(publish_changes=publish),
        _servers_changed=servers_changed,
    )
    host.ControlHost._remove_old_versions(some, _COMPLETED)
    assert published == ['old-1', 'old-2']
    assert ready
    assert all(sorted(one) == ['new', 'other'] for one in ready)
