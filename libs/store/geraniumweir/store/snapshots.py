"""Durable snapshots of the state machine; only the newest is retained."""

import dataclasses
import struct
import typing

from geraniumweir.store import disk, errors, guard, wholefiles

_PREFIX = 'snapshot-'
_HEADER = struct.Struct('<QQI')


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State after an entry, which replaces all entries up to it.

    :ivar index: index of the last entry that it covers.
    :ivar term: term of that entry.
    :ivar members: encoded membership after that entry.
    :ivar state: encoded state of the state machine.
    """

    index: int
    term: int
    members: bytes
    state: bytes


EMPTY = Snapshot(0, 0, b'', b'')


class Snapshots:
    """Snapshots of one data folder.

    :ivar newest: the newest durable snapshot; its index is 0 when there is
        none.
    """

    def __init__(
        self,
        folder: disk.Disk,
        guarded: guard.Guard,
        newest: Snapshot,
    ) -> None:
        """Initialize with the snapshot that :func:`load` returned."""
        self.newest = newest
        self._disk = folder
        self._guard = guarded

    async def save(self, snapshot: Snapshot) -> None:
        """Make a snapshot durable and remove older ones.

        A snapshot that isn't newer than the newest one is ignored.

        :raises errors.StoreFailedError: when the disk fails.
        """
        if snapshot.index <= self.newest.index:
            return
        await self._guard.run(lambda: _write(self._disk, snapshot))
        if snapshot.index > self.newest.index:
            self.newest = snapshot


def load(folder: disk.Disk) -> Snapshot:
    """Return the newest snapshot and remove older ones.

    :raises errors.CorruptError: when the newest one is damaged; an older one
        is of no use, as the log before the newest may have been removed.
    """
    found = _sorted_names(folder)
    if not found:
        return EMPTY
    name = found[-1]
    snapshot = _decode(name, wholefiles.load(folder, name) or b'')
    for older in found[:-1]:
        folder.remove(older)
    return snapshot


def _write(folder: disk.Disk, snapshot: Snapshot) -> None:
    older = [
        name for name in _sorted_names(folder) if name < _name(snapshot.index)
    ]
    wholefiles.replace(folder, _name(snapshot.index), _encode(snapshot))
    for name in older:
        folder.remove(name)


def _sorted_names(folder: disk.Disk) -> typing.Sequence[str]:
    return sorted(name for name in folder.names() if _is_snapshot(name))


def _is_snapshot(name: str) -> bool:
    return name.startswith(_PREFIX) and not name.endswith('.tmp')


def _name(index: int) -> str:
    return f'{_PREFIX}{index:020d}'


def _encode(snapshot: Snapshot) -> bytes:
    header = _HEADER.pack(
        snapshot.index,
        snapshot.term,
        len(snapshot.members),
    )
    return header + snapshot.members + snapshot.state


def _decode(name: str, payload: bytes) -> Snapshot:
    if len(payload) < _HEADER.size:
        raise errors.CorruptError(name, 0, 'too short for a snapshot')
    index, term, size = _HEADER.unpack_from(payload)
    start = _HEADER.size + size
    return Snapshot(
        index,
        term,
        payload[_HEADER.size : start],
        payload[start:],
    )
