"""The log of one recorder: entries in memory, batches in segment files.

All entries behind the last compaction are held in memory as well, so reading
never waits for the disk. What is appended counts only after :meth:`Log.sync`;
all that wait for one share a write and an fsync.

References
==========
.. [1] D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", USENIX ATC 2014, section 5.3.
"""

import dataclasses
import typing

from geraniumweir.store import (
    disk,
    entries,
    errors,
    frames,
    group_commit,
    guard,
    segments,
    snapshots,
)

SEGMENT_BYTES = 1 << 24


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Sizes of the log.

    :ivar identity: of the recorder that writes it.
    :ivar segment_bytes: size at which a new segment is begun.
    """

    identity: str
    segment_bytes: int = SEGMENT_BYTES


class Log:
    """Entries in order, without gaps.

    :ivar base: the position before the first entry that is still there.
    :ivar synced_index: all entries up to it are durable.
    """

    def __init__(
        self,
        folder: disk.Disk,
        guarded: guard.Guard,
        cfg: LogSettings,
        found: segments.Replayed,
    ) -> None:
        """Start from what was replayed, all of it durable."""
        self.base = found.base
        self.synced_index = found.last.index
        self._disk = folder
        self._guard = guarded
        self._cfg = cfg
        self._entries = found.tail
        self._files = found.files
        self._pending: list[entries.Entry] = []
        self._written = found.last
        # Grows whenever entries are made void; a sync that began before
        # says nothing about what came in their place.
        self._voided = 0
        self._commit = group_commit.GroupCommit(self._flush)

    @property
    def last(self) -> entries.Position:
        """The position of the last entry."""
        return self._entries[-1].position if self._entries else self.base

    def append(self, batch: typing.Sequence[entries.Entry]) -> None:
        """Add entries; they count after the next :meth:`sync`.

        An index that is already there makes the old entry and all behind it
        void.

        :raises ValueError: when there would be a gap.
        """
        for entry in batch:
            if entry.index <= self.last.index:
                self._void_from(entry.index)
            if entry.index != self.last.index + 1:
                raise ValueError(f'{entry.index} after {self.last.index}')
            self._entries.append(entry)
        self._pending.extend(batch)
        self._commit.mark()

    def term_at(self, index: int) -> int | None:
        """Give the term of an entry, or None where the log has none."""
        if index == self.base.index:
            return self.base.term
        place = index - self.base.index - 1
        if 0 <= place < len(self._entries):
            return self._entries[place].term
        return None

    def read(
        self,
        after: int,
        limit: int,
        max_bytes: int | None = None,
    ) -> list[entries.Entry]:
        """Give the entries behind an index.

        :param limit: at most so many.
        :param max_bytes: stop when so much payload is together; one entry is
            given in any case.
        :raises LookupError: when they were compacted.
        """
        place = after - self.base.index
        if place < 0:
            raise LookupError(f'compacted up to {self.base.index}')
        batch = self._entries[place : place + limit]
        return batch if max_bytes is None else _within(batch, max_bytes)

    def start_of_tail(self, end: int, limit: int, max_bytes: int) -> int:
        """Give the index behind which the last entries up to an end begin.

        :param end: index of the last of them.
        :param limit: at most so many entries.
        :param max_bytes: at most so much payload, be it of no entry.
        """
        start = end
        lowest = max(end - limit, self.base.index)
        while start > lowest:
            entry = self._entries[start - self.base.index - 1]
            max_bytes -= len(entry.payload)
            if max_bytes < 0:
                break
            start -= 1
        return start

    async def sync(self) -> None:
        """Wait until everything appended before this call is durable.

        :raises errors.StoreFailedError: when the disk fails or did before.
        """
        self._guard.check()
        await self._commit.wait_durable()

    def reset(self, to: entries.Position) -> None:
        """Drop all entries and go on behind a snapshot; counts when synced."""
        self._voided += 1
        self._entries = []
        self.base = to
        self.synced_index = to.index
        self._pending.append(
            entries.Entry(to.index, to.term, entries.RESET, b''),
        )
        self._commit.mark()

    async def compact_to(self, index: int) -> None:
        """Forget the entries up to an index that a snapshot covers.

        Files go once nothing in them is needed.

        :raises errors.StoreFailedError: when the disk fails.
        """
        if self.base.index < index <= self.last.index:
            self.forget_to(index)
            await self._guard.run(self._remove_files)

    def forget_to(self, index: int) -> None:
        """Start behind an entry; the files stay as they are."""
        place = index - self.base.index
        self.base = self._entries[place - 1].position
        self._entries = self._entries[place:]

    def _void_from(self, index: int) -> None:
        self._voided += 1
        del self._entries[index - self.base.index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    async def _flush(self) -> None:
        batch = self._pending
        self._pending = []
        voided = self._voided
        await self._guard.run(lambda: self._write(batch))
        if batch and voided == self._voided:
            self.synced_index = batch[-1].index

    def _write(self, batch: list[entries.Entry]) -> None:
        if not batch:
            return
        segment = self._open_segment()
        frame = frames.encode(entries.encode(batch), segment.size)
        self._disk.append(segment.name, frame)
        self._disk.sync(segment.name)
        segment.size += len(frame)
        segment.highest = max(
            segment.highest,
            max(entry.index for entry in batch),
        )
        self._written = batch[-1].position

    def _open_segment(self) -> segments.Segment:
        files = self._files
        if files and files[-1].size < self._cfg.segment_bytes:
            return files[-1]
        number = files[-1].number + 1 if files else 1
        files.append(
            segments.create(
                self._disk,
                number,
                self._cfg.identity,
                self._written,
            ),
        )
        return files[-1]

    def _remove_files(self) -> None:
        while len(self._files) > 1:
            if self._files[0].highest > self.base.index:
                return
            self._disk.remove(self._files[0].name)
            self._files.pop(0)
            # One after the other, so that a crash leaves no gap.
            self._disk.sync_folder()


def match_snapshot(log: Log, snapshot: snapshots.Snapshot) -> None:
    """Make a log go on from a snapshot.

    A log that has the snapshot's last entry keeps what is behind it; any
    other is void. The caller syncs.

    :raises errors.CorruptError: when entries between the two are missing.
    """
    known = log.base.term != entries.UNKNOWN_TERM
    if log.base.index + (not known) > snapshot.index:
        raise errors.CorruptError(
            'log',
            0,
            f'starts behind {log.base.index}, the snapshot ends at'
            f' {snapshot.index}',
        )
    if log.term_at(snapshot.index) != snapshot.term:
        log.reset(entries.Position(snapshot.index, snapshot.term))
    elif not known:
        log.forget_to(snapshot.index)


def _within(
    batch: list[entries.Entry],
    max_bytes: int,
) -> list[entries.Entry]:
    total = 0
    for count, entry in enumerate(batch):
        total += len(entry.payload)
        if total > max_bytes:
            return batch[: max(count, 1)]
    return batch
