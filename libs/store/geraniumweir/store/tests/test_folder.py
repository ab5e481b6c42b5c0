"""Damaged, foreign, locked and failing data folders."""

import asyncio
import errno
import pathlib
import typing

import pytest
from geraniumweir.common import virtual
from geraniumweir.store import (
    disk,
    entries,
    errors,
    folder,
    guard,
    memory_disk,
    snapshots,
)

_Result = typing.TypeVar('_Result')


async def _open(medium: disk.Disk) -> folder.Folder:
    return await folder.open_folder(medium, guard.VirtualDelay(0), 200)


async def _filled(medium: disk.Disk, count: int) -> folder.Folder:
    opened = await _open(medium)
    for index in range(1, count + 1):
        opened.log.append([entries.Entry(index, 1, 0, b'x' * 40)])
        await opened.log.sync()
    return opened


def test_damaged_middle_is_refused_with_its_place() -> None:
    """The error for an inverted byte gives the file and the offset."""

    async def scenario() -> None:
        medium = memory_disk.MemoryDisk()
        await _filled(medium, 9)
        medium.damage('log-000000000002', 100)
        await _open(medium)

    with pytest.raises(errors.CorruptError) as caught:
        asyncio.run(scenario())
    assert caught.value.name == 'log-000000000002'
    assert 0 < caught.value.offset <= 100


def test_damage_before_the_last_batch_of_the_last_file() -> None:
    """A valid batch after the damage shows that it is no torn write."""

    async def scenario() -> None:
        medium = memory_disk.MemoryDisk()
        await _filled(medium, 2)
        medium.damage('log-000000000001', 90)
        await _open(medium)

    with pytest.raises(errors.CorruptError, match='log-000000000001 at byte'):
        asyncio.run(scenario())


def test_entry_replaced_after_its_segment_was_removed() -> None:
    """The oldest segment may begin by truncating entries before it."""

    async def scenario() -> tuple[entries.Position, list[entries.Entry]]:
        medium = memory_disk.MemoryDisk()
        opened = await _filled(medium, 2)
        for index in (2, 3):
            opened.log.append([entries.Entry(index, 2, 0, b'y' * 40)])
            await opened.log.sync()
        taken = snapshots.Snapshot(2, 2, b'', b'')
        await opened.snapshots.save(taken)
        await opened.log.compact_to(2)
        assert 'log-000000000001' not in medium.names()
        again = await _open(medium)
        return again.log.base, again.log.read(2, 9)

    base, kept = asyncio.run(scenario())
    assert base == entries.Position(2, 2)
    assert [entry.index for entry in kept] == [3]


def test_missing_segment_is_refused() -> None:
    """A gap in the numbers of the segments is an error."""

    async def scenario() -> None:
        medium = memory_disk.MemoryDisk()
        await _filled(medium, 9)
        medium.remove('log-000000000002')
        await _open(medium)

    with pytest.raises(errors.CorruptError, match='before this one'):
        asyncio.run(scenario())


@pytest.mark.parametrize('count', range(2, 9))
def test_entries_over_those_of_a_removed_segment(count: int) -> None:
    """Entries may be retained that truncated the end of a removed segment."""

    async def scenario() -> list[entries.Entry]:
        medium = memory_disk.MemoryDisk()
        opened = await _filled(medium, count)
        for index in range(count - 1, count + 2):
            opened.log.append([entries.Entry(index, 2, 0, b'y')])
        await opened.log.sync()
        taken = snapshots.Snapshot(count, 2, b'', b'')
        await opened.snapshots.save(taken)
        await opened.log.compact_to(count)
        again = (await _open(medium)).log
        return again.read(count, 100)

    found = asyncio.run(scenario())
    assert found == [entries.Entry(count + 1, 2, 0, b'y')]


def test_identity_is_lost_with_the_folder() -> None:
    """An emptied folder is a new recorder; one without identity is rejected."""

    async def scenario() -> tuple[str, str, str]:
        medium = memory_disk.MemoryDisk()
        first = await _filled(medium, 1)
        again = await _open(medium)
        emptied = await _open(memory_disk.MemoryDisk())
        medium.remove('identity')
        with pytest.raises(errors.CorruptError, match='identity'):
            await _open(medium)
        return first.identity, again.identity, emptied.identity

    first, again, emptied = asyncio.run(scenario())
    assert first == again
    assert first != emptied


def test_other_format_is_refused() -> None:
    """A folder with the format of a later version is rejected."""

    async def scenario() -> None:
        medium = memory_disk.MemoryDisk()
        folder.wholefiles.replace(medium, 'identity', b'2 abc')
        await _open(medium)

    with pytest.raises(errors.FormatError, match='format 2'):
        asyncio.run(scenario())


@pytest.mark.parametrize('failure', [errno.ENOSPC, errno.EIO])
def test_failed_disk_accepts_nothing_any_more(failure: int) -> None:
    """After a failure no sync succeeds, even if the disk recovers."""

    async def scenario() -> None:
        medium = memory_disk.MemoryDisk()
        opened = await _filled(medium, 1)
        medium.failing = failure
        opened.log.append([entries.Entry(2, 1, 0, b'')])
        with pytest.raises(errors.StoreFailedError):
            await opened.log.sync()
        medium.failing = 0
        opened.log.append([entries.Entry(3, 1, 0, b'')])
        for sync_once in (opened.log.sync, opened.vote_store.wait_durable):
            with pytest.raises(errors.StoreFailedError):
                await sync_once()
        assert opened.log.synced_index == 1

    asyncio.run(scenario())


def test_waiting_syncs_share_one_fsync() -> None:
    """A hundred waiters cost two fsyncs: one running, one for the others."""

    async def scenario() -> int:
        medium = memory_disk.MemoryDisk()
        opened = await folder.open_folder(medium, guard.VirtualDelay(0))
        opened.log.append([entries.Entry(1, 1, 0, b'')])
        await opened.log.sync()
        before = medium.syncs

        async def sync_once(index: int) -> None:
            opened.log.append([entries.Entry(index, 1, 0, b'')])
            await opened.log.sync()

        await asyncio.gather(*(sync_once(index) for index in range(2, 102)))
        return medium.syncs - before

    assert asyncio.run(scenario()) <= 2


def test_one_process_locks_a_real_folder(tmp_path: pathlib.Path) -> None:
    """A second opener is rejected, and the files persist after a close."""

    async def scenario() -> tuple[str, str, int]:
        medium = disk.RealDisk(tmp_path)
        first = await _filled(medium, 9)
        with pytest.raises(errors.FolderInUseError):
            disk.RealDisk(tmp_path)
        medium.close()
        medium = disk.RealDisk(tmp_path)
        again = await _open(medium)
        medium.close()
        return first.identity, again.identity, again.log.last.index

    first, again, index = asyncio.run(scenario())
    assert first == again
    assert index == 9


def test_error_names_an_unwritable_folder(tmp_path: pathlib.Path) -> None:
    """A file in place of the folder is an error that names it."""
    (tmp_path / 'data').write_text('')
    with pytest.raises(errors.StoreError, match='data'):
        disk.RealDisk(tmp_path / 'data')


def test_running_sync_does_not_cover_later_entries() -> None:
    """An entry appended or replaced during an fsync waits for the next."""

    async def scenario() -> tuple[int, int]:
        medium = memory_disk.MemoryDisk()
        opened = await folder.open_folder(medium, guard.VirtualDelay(0.01))
        log = opened.log
        log.append([entries.Entry(1, 1, 0, b''), entries.Entry(2, 1, 0, b'')])
        first = asyncio.create_task(log.sync())
        await asyncio.sleep(0.001)
        log.append([entries.Entry(2, 2, 0, b'')])
        second = asyncio.create_task(log.sync())
        await first
        early = log.synced_index
        assert not second.done()
        await second
        return early, log.synced_index

    early, late = virtual.run(scenario())
    assert early < 2
    assert late == 2
