"""Operations on one flat data folder, and their implementation on files.

All other modules also work on
:class:`geraniumweir.store.memory_disk.MemoryDisk`, which simulates the loss of
unsynced data.
"""

import contextlib
import fcntl
import os
import pathlib
import typing

from geraniumweir.store import errors

_LOCK_NAME = 'lock'
_FILE_MODE = 0o640


class Disk(typing.Protocol):
    """Data folder; every operation raises :exc:`OSError` on failure."""

    def names(self) -> list[str]:
        """Return the names of the files."""

    def read(self, name: str) -> bytes:
        """Return the complete content of a file."""

    def append(self, name: str, content: bytes) -> None:
        """Append to a file, which is created when missing."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self) -> None:
        """Make creations, renames and removals of files durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def close(self) -> None:
        """Release the folder."""


class RealDisk:
    """Data folder in the file system, locked by this process."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the folder when missing, and lock it.

        :raises errors.FolderInUseError: when another process has locked it.
        :raises errors.StoreError: when it can't be created or written.
        """
        self._folder = folder
        self._files: dict[str, int] = {}
        self._lock = -1
        try:
            self._open()
        except BlockingIOError as exc:
            self.close()
            raise errors.FolderInUseError(f'{folder} is in use') from exc
        except OSError as exc:
            self.close()
            raise errors.StoreError(f'{folder}: {exc.strerror}') from exc

    def names(self) -> list[str]:
        """Return the names of the files except the lock."""
        found = os.listdir(self._folder)
        return [name for name in found if name != _LOCK_NAME]

    def read(self, name: str) -> bytes:
        """Return the complete content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, content: bytes) -> None:
        """Append to a file, which is created when missing."""
        handle = self._handle(name)
        rest = memoryview(content)
        while rest:
            rest = rest[os.write(handle, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._handle(name))

    def sync_folder(self) -> None:
        """Make creations, renames and removals of files durable."""
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._close_file(old)
        self._close_file(new)
        os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        (self._folder / name).unlink()

    def close(self) -> None:
        """Close all files and unlock the folder."""
        for name in list(self._files):
            self._close_file(name)
        if self._lock >= 0:
            os.close(self._lock)
        self._lock = -1

    def _open(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / _LOCK_NAME
        self._lock = os.open(path, os.O_RDWR | os.O_CREAT, _FILE_MODE)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def _handle(self, name: str) -> int:
        if name not in self._files:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            opened = os.open(self._folder / name, flags, _FILE_MODE)
            self._files[name] = opened
        return self._files[name]

    def _close_file(self, name: str) -> None:
        handle = self._files.pop(name, None)
        if handle is not None:
            with contextlib.suppress(OSError):
                os.close(handle)
