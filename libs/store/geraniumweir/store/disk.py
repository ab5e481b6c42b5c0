"""The few operations on one flat data folder, and their real form.

Everything above this module can run on
:class:`geraniumweir.store.memory_disk.MemoryDisk`, which forgets what wasn't
synced.
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
    """One data folder. Every operation raises :exc:`OSError` on failure."""

    def names(self) -> list[str]:
        """List the files."""

    def read(self, name: str) -> bytes:
        """Give the whole content of a file."""

    def append(self, name: str, content: bytes) -> None:
        """Write at the end of a file, which is made when missing."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self) -> None:
        """Make names durable: files made, renamed and removed."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name in place of any that has it."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def close(self) -> None:
        """Let go of the folder."""


class RealDisk:
    """A folder of the file system, locked for this process."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Make the folder when missing, and lock it.

        :raises errors.FolderInUseError: when another process has it.
        :raises errors.StoreError: when it can't be made or written.
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
        """List the files but for the lock."""
        found = os.listdir(self._folder)
        return [name for name in found if name != _LOCK_NAME]

    def read(self, name: str) -> bytes:
        """Give the whole content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, content: bytes) -> None:
        """Write at the end of a file, which is made when missing."""
        handle = self._handle(name)
        rest = memoryview(content)
        while rest:
            rest = rest[os.write(handle, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._handle(name))

    def sync_folder(self) -> None:
        """Make names durable."""
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name in place of any that has it."""
        self._forget(old)
        self._forget(new)
        os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._forget(name)
        (self._folder / name).unlink()

    def close(self) -> None:
        """Close all files and unlock the folder."""
        for name in list(self._files):
            self._forget(name)
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

    def _forget(self, name: str) -> None:
        handle = self._files.pop(name, None)
        if handle is not None:
            with contextlib.suppress(OSError):
                os.close(handle)
