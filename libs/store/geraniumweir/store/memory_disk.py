"""A data folder in memory that forgets what wasn't synced.

At a crash each file keeps what was synced of it and a random part of the
rest, perhaps garbled; of the names made, renamed and removed since the folder
was synced, a random first part is kept, as a journalling file system does.

References
==========
.. [1] T. S. Pillai et al., "All File Systems Are Not Created Equal", OSDI
   2014.
"""

import errno
import random

_GARBLED_SHARE = 0.3
_SEED_BITS = 32
_ALL_BITS = 0xFF


class _File:
    """What a file holds, and what of it is durable."""

    def __init__(self, content: bytes = b'') -> None:
        self.written = bytearray(content)
        self.durable = bytes(content)

    def after_crash(self, rng: random.Random) -> '_File':
        kept = min(len(self.durable), len(self.written))
        if not self.written.startswith(self.durable):
            # A cut that wasn't synced is kept or not, as a whole.
            return _File(rng.choice((self.durable, bytes(self.written))))
        rest = bytearray(self.written[kept:])
        del rest[rng.randint(0, len(rest)) :]
        if rest and rng.random() < _GARBLED_SHARE:
            place = rng.randrange(len(rest))
            rest = rest[:place] + bytes(len(rest) - place)
        return _File(self.durable + rest)


class MemoryDisk:
    """The face of :class:`geraniumweir.store.disk.Disk`, for tests.

    :ivar syncs: how often a file was synced.
    :ivar failing: when set, every write and sync fails with this ``errno``.
    :ivar operations_left: after so many more writes and syncs the power goes,
        or None for never.
    """

    def __init__(self, seed: int = 0) -> None:
        """Start with an empty folder.

        :param seed: of what a crash leaves.
        """
        self.syncs = 0
        self.failing = 0
        self.operations_left: int | None = None
        self._rng = random.Random(seed)  # noqa: S311
        self._names: dict[str, _File] = {}
        # The states of the folder since its last sync, oldest first.
        self._folders: list[dict[str, _File]] = [{}]

    def crash(self) -> 'MemoryDisk':
        """Cut the power.

        :returns: the folder as the next process finds it; this one is dead.
        """
        after = MemoryDisk(self._rng.getrandbits(_SEED_BITS))
        folder = self._rng.choice(self._folders)
        files = {
            name: kept.after_crash(self._rng) for name, kept in folder.items()
        }
        after.become(files)
        self.operations_left = 0
        return after

    def become(self, files: dict[str, _File]) -> None:
        """Hold these files, all durable."""
        self._names = files
        self._folders = [dict(files)]

    def damage(self, name: str, offset: int) -> None:
        """Flip the bits of one byte, as a failing medium does."""
        self._names[name].written[offset] ^= _ALL_BITS

    def names(self) -> list[str]:
        """List the files."""
        return list(self._names)

    def read(self, name: str) -> bytes:
        """Give the whole content of a file."""
        return bytes(self._names[name].written)

    def append(self, name: str, content: bytes) -> None:
        """Write at the end of a file, which is made when missing."""
        self._operate()
        if name not in self._names:
            self._names[name] = _File()
            self._note_names()
        self._names[name].written += content

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        self._operate()
        del self._names[name].written[size:]

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._operate()
        self.syncs += 1
        self._names[name].durable = bytes(self._names[name].written)

    def sync_folder(self) -> None:
        """Make names durable."""
        self._operate()
        self._folders = [dict(self._names)]

    def rename(self, old: str, new: str) -> None:
        """Give a file another name in place of any that has it."""
        self._operate()
        self._names[new] = self._names.pop(old)
        self._note_names()

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._operate()
        self._names.pop(name)
        self._note_names()

    def close(self) -> None:
        """Do nothing; memory needs no closing."""

    def _operate(self) -> None:
        if self.failing:
            raise OSError(self.failing, 'the disk fails')
        if self.operations_left is not None:
            if self.operations_left <= 0:
                raise OSError(errno.EIO, 'the power is cut')
            self.operations_left -= 1

    def _note_names(self) -> None:
        self._folders.append(dict(self._names))
