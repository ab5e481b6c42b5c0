"""Opening of a data folder: identity, vote, snapshot and log.

The identity is a random name, created when a folder is first used. It stands
for all votes and entries that a recorder acknowledged, so it is lost with them
when the folder is emptied.

References
==========
.. [1] R. Alagappan et al., "Protocol-Aware Recovery for Consensus-Based
   Storage", FAST 2018: why a recorder that lost its files must not vote.
"""

import dataclasses
import typing
import uuid

from geraniumweir.store import (
    disk,
    errors,
    guard,
    log,
    segments,
    snapshots,
    votes,
    wholefiles,
)

_IDENTITY = 'identity'
_FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Folder:
    """An open data folder.

    :ivar identity: identity of its recorder.
    :ivar vote_store: term and vote.
    :ivar log: the entries.
    :ivar snapshots: the newest snapshot.
    :ivar guarded: guard of all disk work, with the disk's failure.
    :ivar torn_bytes: size of a torn write that was removed, in bytes.
    """

    identity: str
    vote_store: votes.VoteStore
    log: log.Log
    snapshots: snapshots.Snapshots
    guarded: guard.Guard
    torn_bytes: int


def random_identity() -> str:
    """Return a new, globally unique identity."""
    return uuid.uuid4().hex


async def open_folder(
    medium: disk.Disk,
    run: guard.Runner,
    segment_bytes: int = log.SEGMENT_BYTES,
    make_identity: typing.Callable[[], str] = random_identity,
) -> Folder:
    """Open a data folder, or initialize a new one.

    :param medium: the locked folder.
    :param run: runner that executes disk work off the event loop.
    :param segment_bytes: size after which a new segment is begun, in bytes.
    :param make_identity: function that returns the identity of a new folder.
    :raises errors.CorruptError: when a file is damaged.
    :raises errors.FormatError: when the folder has another format.
    :raises errors.StoreFailedError: when the disk fails.
    """
    guarded = guard.Guard(run)
    identity = await guarded.run(lambda: _find_identity(medium, make_identity))
    found = await guarded.run(lambda: segments.replay(medium, identity))
    cfg = log.LogSettings(identity, segment_bytes)
    opened = Folder(
        identity,
        votes.VoteStore(medium, guarded, votes.load(medium)),
        log.Log(medium, guarded, cfg, found),
        snapshots.Snapshots(medium, guarded, snapshots.load(medium)),
        guarded,
        found.torn_bytes,
    )
    log.match_snapshot(opened.log, opened.snapshots.newest)
    await opened.log.sync()
    return opened


def _find_identity(
    medium: disk.Disk,
    make_identity: typing.Callable[[], str],
) -> str:
    wholefiles.remove_drafts(medium)
    written = wholefiles.load(medium, _IDENTITY)
    if written is None:
        return _make_identity(medium, make_identity())
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
