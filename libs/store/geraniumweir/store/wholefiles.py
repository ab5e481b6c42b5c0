"""Atomic replacement of small files.

The new content is written to a temporary file, synced, and renamed; then the
folder is synced. After a crash a file has its complete old or new content,
never half of it.
"""

from geraniumweir.store import disk, frames

_SUFFIX = '.tmp'


def replace(folder: disk.Disk, name: str, payload: bytes) -> None:
    """Replace the content of a file atomically and durably.

    :raises OSError: when any step fails; the old content may remain.
    """
    draft = name + _SUFFIX
    if draft in folder.names():
        folder.remove(draft)
    folder.append(draft, frames.encode(payload, 0))
    folder.sync(draft)
    folder.rename(draft, name)
    folder.sync_folder()


def load(folder: disk.Disk, name: str) -> bytes | None:
    """Return the payload of a file, or None when it doesn't exist.

    :raises errors.CorruptError: when the file is damaged.
    """
    if name not in folder.names():
        return None
    return frames.decode_single(name, folder.read(name))


def remove_drafts(folder: disk.Disk) -> None:
    """Remove temporary files left by a crash."""
    for name in folder.names():
        if name.endswith(_SUFFIX):
            folder.remove(name)
