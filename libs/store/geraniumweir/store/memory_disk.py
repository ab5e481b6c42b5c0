"""Data folder in memory that simulates the loss of unsynced data.

After a crash each file has its synced content and a random part of the rest,
possibly garbled. Of the creations, renames and removals since the last sync of
the folder a random number of the first ones survive, as with a journalling
file system.

References
==========
.. [1] T. S. Pillai et al., "All File Systems Are Not Created Equal", OSDI
   2014.
"""

import errno
import random

_GARBLED_RATIO = 0.3
_SEED_BITS = 32
_ALL_BITS = 0xFF


class _File:
    """Content of a file, and the durable part of it."""

    def __init__(self, content: bytes = b'') -> None:
        self.written = bytearray(content)
        self.durable = bytes(content)

    def after_crash(self, rng: random.Random) -> '_File':
        kept = min(len(self.durable), len(self.written))
        if not self.written.startswith(self.durable):
            # An unsynced truncation survives completely or not at all.
            return _File(rng.choice((self.durable, bytes(self.written))))
        rest = bytearray(self.written[kept:])
        del rest[rng.randint(0, len(rest)) :]
        if rest and rng.random() < _GARBLED_RATIO:
            place = rng.randrange(len(rest))
            rest = rest[:place] + bytes(len(rest) - place)
        return _File(self.durable + rest)


class MemoryDisk:
    """Implementation of :class:`geraniumweir.store.disk.Disk` for tests.

    :ivar syncs: number of syncs of files.
    :ivar failing: ``errno`` with which every write and sync fails, or 0.
    :ivar operations_left: number of writes and syncs until a simulated power
        failure, or None for no failure.
    """

    def __init__(self, seed: int = 0) -> None:
        """Initialize an empty folder.

        :param seed: random seed for the content after a crash.
        """
        self.syncs = 0
        self.failing = 0
        self.operations_left: int | None = None
        self._rng = random.Random(seed)  # noqa: S311
        self._names: dict[str, _File] = {}
        # States of the folder since its last sync, oldest first.
        self._folders: list[dict[str, _File]] = [{}]

    def crash(self) -> 'MemoryDisk':
        """Simulate a power failure.

        :returns: the folder as the next process finds it; all writes and
            syncs of this one fail from now on.
        """
        after = MemoryDisk(self._rng.getrandbits(_SEED_BITS))
        folder = self._rng.choice(self._folders)
        files = {
            name: kept.after_crash(self._rng) for name, kept in folder.items()
        }
        after.load_files(files)
        self.operations_left = 0
        return after

    def load_files(self, files: dict[str, _File]) -> None:
        """Set the files, all durable."""
        self._names = files
        self._folders = [dict(files)]

    def damage(self, name: str, offset: int) -> None:
        """Invert the bits of one byte, as on a damaged medium."""
        self._names[name].written[offset] ^= _ALL_BITS

    def names(self) -> list[str]:
        """Return the names of the files."""
        return list(self._names)

    def read(self, name: str) -> bytes:
        """Return the complete content of a file."""
        return bytes(self._names[name].written)

    def append(self, name: str, content: bytes) -> None:
        """Append to a file, which is created when missing."""
        self._count_operation()
        if name not in self._names:
            self._names[name] = _File()
            self._record_names()
        self._names[name].written += content

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self._count_operation()
        del self._names[name].written[size:]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._count_operation()
        self.syncs += 1
        self._names[name].durable = bytes(self._names[name].written)

    def sync_folder(self) -> None:
        """Make creations, renames and removals of files durable."""
        self._count_operation()
        self._folders = [dict(self._names)]

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._count_operation()
        self._names[new] = self._names.pop(old)
        self._record_names()

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._count_operation()
        self._names.pop(name)
        self._record_names()

    def close(self) -> None:
        """Do nothing; there is nothing to close."""

    def _count_operation(self) -> None:
        if self.failing:
            raise OSError(self.failing, 'the disk fails')
        if self.operations_left is not None:
            if self.operations_left <= 0:
                raise OSError(errno.EIO, 'the power is cut')
            self.operations_left -= 1

    def _record_names(self) -> None:
        self._folders.append(dict(self._names))
