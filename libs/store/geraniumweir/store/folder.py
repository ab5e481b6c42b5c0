"""Opens a data folder: lock, identity, vote, snapshot and log together.

The identity is a random name made when a folder is first used. It stands for
all that a recorder promised, so it goes when the folder is emptied.

References
==========
.. [1] R. Alagappan et al., "Protocol-Aware Recovery for Consensus-Based
   Storage", FAST 2018: why a recorder that lost its files mustn't vote.
"""

import dataclasses
import typing
import uuid

from geraniumweir.store import (
    ballots,
    disk,
    errors,
    guard,
    log,
    segments,
    snapshots,
    wholefiles,
)

_IDENTITY = 'identity'
_FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Folder:
    """An open data folder.

    :ivar identity: of the recorder that lives in it.
    :ivar ballot: term and vote.
    :ivar log: the entries.
    :ivar snapshots: the newest snapshot.
    :ivar guarded: knows whether the disk failed.
    :ivar cut: bytes of a torn write that were removed.
    """

    identity: str
    ballot: ballots.Ballot
    log: log.Log
    snapshots: snapshots.Snapshots
    guarded: guard.Guard
    cut: int


def random_identity() -> str:
    """Give an identity that no recorder ever had."""
    return uuid.uuid4().hex


async def open_folder(
    medium: disk.Disk,
    run: guard.Runner,
    segment_bytes: int = log.SEGMENT_BYTES,
    name_recorder: typing.Callable[[], str] = random_identity,
) -> Folder:
    """Open a data folder, or make a new one.

    :param medium: the locked folder.
    :param run: how disk work is run off the event loop.
    :param segment_bytes: size at which a new segment is begun.
    :param name_recorder: gives the identity of a new folder.
    :raises errors.CorruptError: when files are damaged; names the place.
    :raises errors.FormatError: when another version wrote them.
    :raises errors.StoreFailedError: when the disk fails.
    """
    guarded = guard.Guard(run)
    identity = await guarded.run(lambda: _find_identity(medium, name_recorder))
    found = await guarded.run(lambda: segments.replay(medium, identity))
    cfg = log.LogSettings(identity, segment_bytes)
    opened = Folder(
        identity,
        ballots.Ballot(medium, guarded, ballots.load(medium)),
        log.Log(medium, guarded, cfg, found),
        snapshots.Snapshots(medium, guarded, snapshots.load(medium)),
        guarded,
        found.cut,
    )
    log.match_snapshot(opened.log, opened.snapshots.newest)
    await opened.log.sync()
    return opened


def _find_identity(
    medium: disk.Disk,
    name_recorder: typing.Callable[[], str],
) -> str:
    wholefiles.remove_drafts(medium)
    written = wholefiles.load(medium, _IDENTITY)
    if written is None:
        return _make_identity(medium, name_recorder())
    version, _, identity = written.decode().partition(' ')
    if version != str(_FORMAT):
        raise errors.FormatError(f'format {version}, not {_FORMAT}')
    return identity


def _make_identity(medium: disk.Disk, identity: str) -> str:
    for name in medium.names():
        if segments.is_segment(name):
            raise errors.CorruptError(_IDENTITY, 0, f'missing beside {name}')
    wholefiles.replace(medium, _IDENTITY, f'{_FORMAT} {identity}'.encode())
    return identity
