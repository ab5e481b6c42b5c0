"""The log of one recorder: entries in memory, batches in segment files.

All entries after the last compaction are in memory as well, so reading never
waits for the disk. Appended entries are durable only after :meth:`Log.sync`;
concurrent calls of it share a write and an fsync.

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
    """Settings of the log.

    :ivar identity: identity of the recorder that writes it.
    :ivar segment_bytes: size after which a new segment is begun, in bytes.
    """

    identity: str
    segment_bytes: int = SEGMENT_BYTES


class Log:
    """Sequence of entries without gaps.

    :ivar base: position before the first retained entry.
    :ivar synced_index: index up to which all entries are durable.
    """

    def __init__(
        self,
        folder: disk.Disk,
        guarded: guard.Guard,
        cfg: LogSettings,
        found: segments.Replayed,
    ) -> None:
        """Initialize with the replayed entries, which are all durable."""
        self.base = found.base
        self.synced_index = found.last.index
        self._disk = folder
        self._guard = guarded
        self._cfg = cfg
        self._entries = found.tail
        self._files = found.files
        self._pending: list[entries.Entry] = []
        self._written = found.last
        # Number of truncations. A sync that began before one doesn't cover
        # the entries that replaced the truncated ones.
        self._truncations = 0
        self._commit = group_commit.GroupCommit(self._flush)

    @property
    def last(self) -> entries.Position:
        """Position of the last entry."""
        return self._entries[-1].position if self._entries else self.base

    def append(self, batch: typing.Sequence[entries.Entry]) -> None:
        """Append entries; they are durable after the next :meth:`sync`.

        An entry with an existing index truncates the log from that index on
        first.

        :raises ValueError: when there would be a gap.
        """
        for entry in batch:
            if entry.index <= self.last.index:
                self._truncate_from(entry.index)
            if entry.index != self.last.index + 1:
                raise ValueError(f'{entry.index} after {self.last.index}')
            self._entries.append(entry)
        self._pending.extend(batch)
        self._commit.mark()

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None where the log has none."""
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
        """Return the entries after an index.

        :param limit: maximum number of entries.
        :param max_bytes: maximum payload in bytes, or None; the first entry
            is returned in any case.
        :raises LookupError: when they were compacted.
        """
        place = after - self.base.index
        if place < 0:
            raise LookupError(f'compacted up to {self.base.index}')
        batch = self._entries[place : place + limit]
        return batch if max_bytes is None else _limit_bytes(batch, max_bytes)

    def retained_start(self, end: int, limit: int, max_bytes: int) -> int:
        """Return the index after which the entries to retain begin.

        :param end: index of the last entry to retain.
        :param limit: maximum number of entries.
        :param max_bytes: maximum payload in bytes; even a single entry that
            exceeds it is not retained.
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
        """Wait until all entries appended before this call are durable.

        :raises errors.StoreFailedError: when the disk fails or did before.
        """
        self._guard.check()
        await self._commit.wait_durable()

    def reset(self, to: entries.Position) -> None:
        """Discard all entries and continue after a snapshot; needs a sync."""
        self._truncations += 1
        self._entries = []
        self.base = to
        self.synced_index = to.index
        self._pending.append(
            entries.Entry(to.index, to.term, entries.RESET, b''),
        )
        self._commit.mark()

    async def compact_to(self, index: int) -> None:
        """Discard the entries up to an index that a snapshot covers.

        Segment files are removed once none of their entries is needed.

        :raises errors.StoreFailedError: when the disk fails.
        """
        if self.base.index < index <= self.last.index:
            self.discard_up_to(index)
            await self._guard.run(self._remove_files)

    def discard_up_to(self, index: int) -> None:
        """Discard the entries up to an index from memory only."""
        place = index - self.base.index
        self.base = self._entries[place - 1].position
        self._entries = self._entries[place:]

    def _truncate_from(self, index: int) -> None:
        self._truncations += 1
        del self._entries[index - self.base.index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)

    async def _flush(self) -> None:
        batch = self._pending
        self._pending = []
        truncations = self._truncations
        await self._guard.run(lambda: self._write(batch))
        if batch and truncations == self._truncations:
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
            # Sync after each removal, so that a crash leaves no gap.
            self._disk.sync_folder()


def match_snapshot(log: Log, snapshot: snapshots.Snapshot) -> None:
    """Make a log consistent with a snapshot; the caller must sync it.

    A log that has the snapshot's last entry retains the entries after it; any
    other log is reset.

    :raises errors.CorruptError: when entries between the two are missing.
    """
    known = log.base.term != entries.UNKNOWN_TERM
    if log.base.index + (not known) > snapshot.index:
        raise errors.CorruptError(
            'log',
            0,
            f'starts after {log.base.index}, the snapshot ends at'
            f' {snapshot.index}',
        )
    if log.term_at(snapshot.index) != snapshot.term:
        log.reset(entries.Position(snapshot.index, snapshot.term))
    elif not known:
        log.discard_up_to(snapshot.index)


def _limit_bytes(
    batch: list[entries.Entry],
    max_bytes: int,
) -> list[entries.Entry]:
    total = 0
    for count, entry in enumerate(batch):
        total += len(entry.payload)
        if total > max_bytes:
            return batch[: max(count, 1)]
    return batch
