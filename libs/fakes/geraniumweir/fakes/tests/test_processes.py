"""Tests of planning daemons."""

import pathlib

from geraniumweir.fakes import processes

_SYSTEMS = 200
_HOSTS = 6


def test_no_two_planned_hosts_share_a_port() -> None:
    """Not within a system, and not between systems of one run."""
    plans = [
        plan
        for _ in range(_SYSTEMS)
        for plan in processes.plan_system(('a', 'b', 'c'), 2, pathlib.Path())
    ]
    found = {
        address.port for plan in plans for address in plan.addresses.values()
    }
    assert len(found) == _SYSTEMS * _HOSTS * len(processes.FACES)
