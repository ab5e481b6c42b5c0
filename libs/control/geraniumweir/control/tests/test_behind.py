"""A control host whose own copy of the log stands still.

Callers were served by an older document for more than the time in which an
acknowledged one is in force everywhere. A majority of the control hosts had
synced the new document and acknowledged it. The disk of another one stood
still: it went on hearing the leader, and told the entry hosts of its failure
domain with each answer that what they had was the newest. They asked nobody
else until its disk was back.
"""

import asyncio
import errno
import typing

import pytest
from geraniumweir.common import virtual
from geraniumweir.configuration import recordings
from geraniumweir.control.tests import bed

# An acknowledged document is in force everywhere after so long, in seconds.
_IN_FORCE_SECONDS = 2
_HURT_SECONDS = 6

Hurt = typing.Callable[[bed.Medium], None]


def _stall(medium: bed.Medium) -> None:
    now = asyncio.get_running_loop().time()
    medium.stalled_until = now + _HURT_SECONDS


def _fill(medium: bed.Medium) -> None:
    medium.disk.failing = errno.ENOSPC


def _is_sound(_medium: bed.Medium) -> None:
    """Leave the disk as it is."""


def _follower(some: bed.Bed) -> str:
    return next(
        domain for domain, one in some.controls.items() if not one.leads()
    )


async def _seconds_behind(
    monkeypatch: pytest.MonkeyPatch,
    hurt: Hurt,
) -> float:
    """Hurt the disk of a control host that its domain watches."""
    some = bed.Bed()
    monkeypatch.setattr(recordings, 'opened', some.opened)
    leading = await some.start()
    domain = _follower(some)
    watcher = some.watch(domain)
    await bed.publish(leading, 1)
    await asyncio.sleep(1)
    assert watcher.version == 1
    hurt(some.media[domain])
    await bed.publish(leading, 2)
    acknowledged = asyncio.get_running_loop().time()
    until = acknowledged + 2 * _HURT_SECONDS
    while watcher.version < 2 and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.01)
    some.stop()
    return asyncio.get_running_loop().time() - acknowledged


def test_acknowledged_document_is_in_force_where_a_disk_is_hurt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entry hosts turn to a control host that follows.

    They were behind for as long as the disk was hurt: 6.1 s with one that was
    full for 6 s, 10.6 s with 10 s, in plays of the whole system.
    """
    behind = {}
    for hurt in (_is_sound, _stall, _fill):
        behind[hurt.__name__] = virtual.run(_seconds_behind(monkeypatch, hurt))
    assert max(behind.values()) < _IN_FORCE_SECONDS, behind


def test_entry_host_that_starts_beside_a_host_behind_has_the_newest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It serves nobody by the document of before."""

    async def work() -> None:
        some = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', some.opened)
        leading = await some.start()
        domain = _follower(some)
        await bed.publish(leading, 1)
        await asyncio.sleep(1)
        _stall(some.media[domain])
        await bed.publish(leading, 2)
        await asyncio.sleep(1)
        watcher = some.watch(domain)
        served_by = set()
        for _ in range(200):
            await asyncio.sleep(0.01)
            served_by.add(watcher.version)
        assert served_by <= {-1, 2}
        assert watcher.version == 2
        some.stop()

    virtual.run(work())


def test_host_with_a_hurt_disk_knows_that_it_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It hears the leader all the while, and is sure again afterwards."""

    async def work() -> None:
        some = bed.Bed()
        monkeypatch.setattr(recordings, 'opened', some.opened)
        leading = await some.start()
        await bed.publish(leading, 1)
        await asyncio.sleep(1)
        domain = _follower(some)
        log = some.controls[domain].log
        assert log.is_current()
        _stall(some.media[domain])
        await bed.publish(leading, 2)
        await asyncio.sleep(1)
        assert log.leader()
        assert not log.is_current()
        await asyncio.sleep(_HURT_SECONDS)
        assert log.is_current()
        some.stop()

    virtual.run(work())
