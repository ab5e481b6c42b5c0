"""Sizes and times of the replicated log."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.store import log

_MESSAGE_BYTES = 262144
_SNAPSHOT_BYTES = 4194304
_TRAILING_BYTES = 2097152


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What one recorder is told.

    :ivar host_id: of the entry host it runs on.
    :ivar heartbeat: seconds between messages of a leader.
    :ivar election_min: shortest silence after which a leader counts as lost,
        in seconds.
    :ivar election_max: longest such silence; also after it a leader that
        heard no majority steps down.
    :ivar batch_entries: most entries in a message.
    :ivar batch_bytes: about the most payload in a message.
    :ivar window: most messages under way to one recorder.
    :ivar piece_bytes: most of a snapshot in one message.
    :ivar snapshot_entries: a snapshot is taken after so many entries.
    :ivar snapshot_bytes: and after so many bytes of entries, whichever comes
        first; entries may be whole documents.
    :ivar trailing_entries: most entries kept behind a snapshot, for followers
        that are a little late.
    :ivar trailing_bytes: most bytes of such entries.
    :ivar segment_bytes: size of the log's files.
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
