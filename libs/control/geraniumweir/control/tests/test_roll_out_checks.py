"""For what a rollout order is rejected, and for what it must not be."""

import types

import pytest
from geraniumweir.common import ids
from geraniumweir.control import enrolments, errors, host

_POOL = ids.PoolName('p')
_NEW = ids.SoftwareVersion('v2')


def _server(version: str) -> enrolments.Enrolment:
    return enrolments.Enrolment(
        ids.ServerId(version),
        _POOL,
        ids.Address('127.0.0.1', 1),
        ids.FailureDomain('x'),
        1,
        1,
        version=ids.SoftwareVersion(version),
    )


def _check(*versions: str, up_for: float = 60, current: bool = True) -> None:
    """Check an order at a host that has servers of some versions."""
    known = [_server(version) for version in versions]
    some = types.SimpleNamespace(
        log=types.SimpleNamespace(is_current=lambda: current),
        index=types.SimpleNamespace(pool={_POOL: 'known'}.get),
        servers=types.SimpleNamespace(known=lambda: known),
        _clock=types.SimpleNamespace(now=lambda: up_for),
        _started=0,
    )
    host.ControlHost._check_rollout(some, _POOL, _NEW)


def test_version_of_all_servers_is_rejected() -> None:
    """There is nothing to move."""
    with pytest.raises(errors.NothingToRollOutError):
        _check('v2', 'v2')


def test_order_is_accepted_while_old_servers_run() -> None:
    """Whether or not the new ones have been seen yet."""
    _check('v1', 'v2')
    _check('v1')


def test_host_that_just_started_rejects_no_order() -> None:
    """It may have received only the new servers."""
    _check('v2', up_for=2)


def test_host_that_lags_is_not_up_to_date() -> None:
    """The pool may have been added by a document that it lacks."""
    with pytest.raises(errors.NotUpToDateError):
        _check('v1', current=False)
