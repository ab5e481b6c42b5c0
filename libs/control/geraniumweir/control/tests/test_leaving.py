"""A server that leaves is left alone by every host that could know it.

Each entry host is asked every 50 ms whether it still takes the server for one
that may get requests.
"""

import asyncio
import typing

import pytest
from geraniumweir.common import ids, virtual
from geraniumweir.configuration import recordings
from geraniumweir.control import enrolments, watching
from geraniumweir.control.tests import bed

# An acknowledged leave is known everywhere after so long, in seconds.
_KNOWN_SECONDS = 2
_LOOK_SECONDS = 0.05
_CUT_SECONDS = 6
_SERVER = ids.ServerId('s')


def _report(
    hosts: bed.Bed,
    domain: str,
    state: enrolments.State,
    sequence: int,
) -> None:
    """Let a server report at a control host, as `ControlHost.report` does."""
    control = hosts.controls[domain]
    said = enrolments.Enrolment(
        _SERVER,
        ids.PoolName('pool'),
        ids.Address('10.0.0.9', 80),
        ids.FailureDomain(domain),
        4,
        sequence,
        state,
    )
    now = asyncio.get_running_loop().time()
    if control.table.report(said, now):
        control.presence.tell([said])
    control.feed.notify()


def _part_controls(hosts: bed.Bed, domain: str) -> None:
    """Cut a control host off from the others; entry hosts reach all."""
    for other in bed.DOMAINS:
        if other != domain:
            hosts.part(domain, other)


async def _longest_sent_to(
    watchers: typing.Sequence[watching.Watcher],
    seconds: float,
) -> float:
    """Tell for how long the last watcher took the server for ready."""
    now = asyncio.get_running_loop().time
    start = now()
    last = float(0)
    while now() < start + seconds:
        await asyncio.sleep(_LOOK_SECONDS)
        found = [one.servers.get(_SERVER) for one in watchers]
        if any(one and one.state is enrolments.State.ready for one in found):
            last = now() - start
    return last


@pytest.mark.parametrize('leads', [True, False])
def test_leave_acknowledged_behind_a_cut_is_known_to_who_reaches_both_sides(
    monkeypatch: pytest.MonkeyPatch,
    leads: bool,
) -> None:
    """The control host that acknowledged it can't tell the others."""

    async def work() -> None:
        hosts = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', hosts.opened)
        await bed.publish(await hosts.start(), 1)
        domain = next(
            name for name, one in hosts.controls.items() if one.leads() is leads
        )
        watchers = [
            hosts.watch(domain, f'entry-{number}') for number in range(2)
        ]
        _report(hosts, domain, enrolments.State.ready, 1)
        await asyncio.sleep(1)
        assert all(one.servers.get(_SERVER) for one in watchers)
        _part_controls(hosts, domain)
        await asyncio.sleep(3)
        _report(hosts, domain, enrolments.State.leaving, 2)
        sent_to = await _longest_sent_to(watchers, _CUT_SECONDS)
        hosts.stop()
        assert sent_to < _KNOWN_SECONDS

    virtual.run(work())
