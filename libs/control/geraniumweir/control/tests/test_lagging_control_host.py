"""Entry hosts leave a control host whose copy of the log stops advancing."""

import asyncio
import dataclasses
import errno
import typing

import pytest
from geraniumweir.common import virtual
from geraniumweir.configuration import recordings
from geraniumweir.control.tests import bed

# Time after its acknowledgement in which a document must be in force
# everywhere.
_IN_FORCE_SECONDS = 2
_FAULT_SECONDS = 6

DiskFault = typing.Callable[[bed.Medium], None]


def _stall(medium: bed.Medium) -> None:
    now = asyncio.get_running_loop().time()
    medium.stalled_until = now + _FAULT_SECONDS


def _fill(medium: bed.Medium) -> None:
    medium.disk.failing = errno.ENOSPC


def _no_fault(_medium: bed.Medium) -> None:
    """Leave the disk as it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Scene:
    """Control hosts that all have version 1.

    :ivar leading: leads the log.
    :ivar domain: of a control host that does not lead.
    """

    hosts: bed.Bed
    leading: bed.Control
    domain: str

    async def fail_disk_and_publish(self, disk_fault: DiskFault) -> None:
        """Fail a disk that is not the leader's, and store version 2."""
        disk_fault(self.hosts.media[self.domain])
        await bed.publish(self.leading, 2)


async def _scene(monkeypatch: pytest.MonkeyPatch) -> _Scene:
    some = bed.Bed()
    monkeypatch.setattr(recordings, 'opened', some.opened)
    leading = await some.start()
    await bed.publish(leading, 1)
    await asyncio.sleep(1)
    followers = [
        domain for domain, one in some.controls.items() if not one.leads()
    ]
    return _Scene(some, leading, followers[0])


async def _measure_lag(
    monkeypatch: pytest.MonkeyPatch,
    disk_fault: DiskFault,
) -> float:
    """Return how long a watcher lags when its control host's disk fails."""
    scene = await _scene(monkeypatch)
    watcher = scene.hosts.watch(scene.domain)
    await asyncio.sleep(1)
    assert watcher.version == 1
    await scene.fail_disk_and_publish(disk_fault)
    now = asyncio.get_running_loop().time
    acknowledged = now()
    while watcher.version < 2 and now() < acknowledged + 2 * _FAULT_SECONDS:
        await asyncio.sleep(0.01)
    scene.hosts.stop()
    return now() - acknowledged


def test_acknowledged_document_is_in_force_where_a_disk_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entry hosts move to a control host that follows the log."""
    behind = {}
    for disk_fault in (_no_fault, _stall, _fill):
        behind[disk_fault.__name__] = virtual.run(
            _measure_lag(monkeypatch, disk_fault)
        )
    assert max(behind.values()) < _IN_FORCE_SECONDS, behind


def test_entry_host_that_starts_near_a_lagging_host_has_the_newest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It never serves with the previous document."""

    async def work() -> None:
        scene = await _scene(monkeypatch)
        await scene.fail_disk_and_publish(_stall)
        await asyncio.sleep(1)
        watcher = scene.hosts.watch(scene.domain)
        served_by = set()
        for _ in range(200):
            await asyncio.sleep(0.01)
            served_by.add(watcher.version)
        assert served_by <= {-1, 2}
        assert watcher.version == 2
        scene.hosts.stop()

    virtual.run(work())


def test_host_with_a_failed_disk_is_not_current(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It still sees the leader, and is up to date again afterwards."""

    async def work() -> None:
        scene = await _scene(monkeypatch)
        log = scene.hosts.controls[scene.domain].log
        assert log.is_current()
        await scene.fail_disk_and_publish(_stall)
        await asyncio.sleep(1)
        assert log.leader()
        assert not log.is_current()
        await asyncio.sleep(_FAULT_SECONDS)
        assert log.is_current()
        scene.hosts.stop()

    virtual.run(work())
