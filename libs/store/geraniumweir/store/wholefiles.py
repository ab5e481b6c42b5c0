"""Small files that are replaced as a whole: old or new, never half.

Written under another name, synced, renamed, and the folder synced.
"""

from geraniumweir.store import disk, frames

_SUFFIX = '.tmp'


def replace(folder: disk.Disk, name: str, payload: bytes) -> None:
    """Put a payload durably under a name.

    :raises OSError: when any step fails; the old content may be in place.
    """
    draft = name + _SUFFIX
    if draft in folder.names():
        folder.remove(draft)
    folder.append(draft, frames.encode(payload, 0))
    folder.sync(draft)
    folder.rename(draft, name)
    folder.sync_folder()


def load(folder: disk.Disk, name: str) -> bytes | None:
    """Give the payload under a name, or None when there is no such file.

    :raises errors.CorruptError: when the file is damaged.
    """
    if name not in folder.names():
        return None
    return frames.only(name, folder.read(name))


def remove_drafts(folder: disk.Disk) -> None:
    """Remove what a crash left half written."""
    for name in folder.names():
        if name.endswith(_SUFFIX):
            folder.remove(name)
