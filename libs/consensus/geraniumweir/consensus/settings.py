"""Limits and timeouts of the replicated log."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.store import log

_MESSAGE_BYTES = 262144
_SNAPSHOT_BYTES = 4194304
_TRAILING_BYTES = 2097152


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one recorder.

    :ivar host_id: the entry host that the recorder runs on.
    :ivar heartbeat: interval between messages of a leader, in seconds.
    :ivar election_min: minimum election timeout, in seconds.
    :ivar election_max: maximum election timeout, in seconds; a leader that
        was in contact with no majority for as long steps down.
    :ivar batch_entries: maximum number of entries in a message.
    :ivar batch_bytes: approximate maximum payload of a message, in bytes.
    :ivar window: maximum number of messages in flight to one recorder.
    :ivar piece_bytes: maximum size of a snapshot chunk in one message, in
        bytes.
    :ivar snapshot_entries: number of applied entries after which a snapshot
        is taken.
    :ivar snapshot_bytes: payload of applied entries, in bytes, after which a
        snapshot is taken, whichever comes first; entries may be complete
        documents.
    :ivar trailing_entries: maximum number of entries retained before a
        snapshot's index, for followers that lag slightly.
    :ivar trailing_bytes: maximum payload of such entries, in bytes.
    :ivar segment_bytes: size of the log's segment files, in bytes.
    """

    host_id: ids.HostId
    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0
    batch_entries: int = 1024
    batch_bytes: int = _MESSAGE_BYTES
    window: int = 4
    piece_bytes: int = _MESSAGE_BYTES
    snapshot_entries: int = 20_000
    snapshot_bytes: int = _SNAPSHOT_BYTES
    trailing_entries: int = 2000
    trailing_bytes: int = _TRAILING_BYTES
    segment_bytes: int = log.SEGMENT_BYTES
