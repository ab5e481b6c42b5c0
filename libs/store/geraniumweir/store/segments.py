"""Segment files of the log: names, creation and replay.

Segments are numbered without gaps. The first frame of each is a header with
the recorder's identity and the log's last position before it; every further
frame is a batch of entries. Segments are append-only: an entry with an
existing index truncates the log from that index on when it is replayed, so no
file is ever modified in the middle.
"""

import dataclasses
import struct

from geraniumweir.store import disk, entries, errors, frames

_PREFIX = 'log-'
_HEADER = struct.Struct('<QQQ')


@dataclasses.dataclass(slots=True)
class Segment:
    """Segment file of the log.

    :ivar number: its number among the segments.
    :ivar size: its size in bytes.
    :ivar highest: highest index in it, including truncated entries.
    """

    number: int
    size: int
    highest: int

    @property
    def name(self) -> str:
        """Name of the file."""
        return f'{_PREFIX}{self.number:012d}'


@dataclasses.dataclass(slots=True)
class Replayed:
    """Log as replayed from the segments.

    :ivar base: position before the first entry.
    :ivar tail: all entries after it that are not truncated.
    :ivar files: the segments, oldest first.
    :ivar torn_bytes: size of a torn write that was removed, in bytes.
    :ivar base_from_header: whether the base is that of the first segment's
        header.
    """

    base: entries.Position = entries.START
    tail: list[entries.Entry] = dataclasses.field(default_factory=list)
    files: list[Segment] = dataclasses.field(default_factory=list)
    torn_bytes: int = 0
    base_from_header: bool = False

    @property
    def last(self) -> entries.Position:
        """Position of the last entry."""
        return self.tail[-1].position if self.tail else self.base


def is_segment(name: str) -> bool:
    """Return whether a file is a segment.

    >>> is_segment('log-000000000001'), is_segment('vote')
    (True, False)
    """
    return name.startswith(_PREFIX)


def replay(folder: disk.Disk, identity: str) -> Replayed:
    """Replay all segments, and remove a torn write from the last one.

    :param identity: identity of the recorder that must have written them.
    :raises errors.CorruptError: when there is any other fault in them.
    """
    state = Replayed()
    names = sorted(name for name in folder.names() if is_segment(name))
    for name in names:
        content = folder.read(name)
        end = _replay_file(state, name, content, identity)
        if end == len(content):
            continue
        if name != names[-1]:
            raise errors.CorruptError(name, end, 'damaged')
        frames.check_torn(name, content, end)
        state.torn_bytes = len(content) - end
        _remove_torn_write(folder, state, name, end)
    return state


def create(
    folder: disk.Disk,
    number: int,
    identity: str,
    last: entries.Position,
) -> Segment:
    """Create a durable segment without entries.

    :param last: the log's last position before it.
    :raises OSError: when any step fails.
    """
    header = _HEADER.pack(number, last.index, last.term) + identity.encode()
    first = frames.encode(header, 0)
    segment = Segment(number, len(first), last.index)
    folder.append(segment.name, first)
    folder.sync(segment.name)
    folder.sync_folder()
    return segment


def _replay_file(
    state: Replayed,
    name: str,
    content: bytes,
    identity: str,
) -> int:
    end = 0
    for frame in frames.read_frames(content):
        try:
            _replay_frame(state, name, frame, identity)
        except (struct.error, ValueError) as exc:
            raise errors.CorruptError(name, frame.offset, str(exc)) from exc
        end = frame.end
        state.files[-1].size = end
    return end


def _replay_frame(
    state: Replayed,
    name: str,
    frame: frames.Frame,
    identity: str,
) -> None:
    if frame.offset == 0:
        _replay_header(state, name, frame.payload, identity)
        return
    for entry in entries.decode(frame.payload):
        _replay_entry(state, entry)


def _replay_header(
    state: Replayed,
    name: str,
    payload: bytes,
    identity: str,
) -> None:
    number, index, term = _HEADER.unpack_from(payload)
    segment = Segment(number, 0, index)
    if segment.name != name:
        raise ValueError(f'the header names {segment.name}')
    if payload[_HEADER.size :].decode() != identity:
        raise ValueError(f'not written by recorder {identity}')
    _check_contiguous(state, number, entries.Position(index, term))
    state.files.append(segment)


def _check_contiguous(
    state: Replayed,
    number: int,
    before: entries.Position,
) -> None:
    if not state.files:
        state.base = before
        state.base_from_header = True
    elif state.files[-1].number + 1 != number:
        raise ValueError('a segment before this one is missing')
    elif state.last != before:
        raise ValueError('does not continue where the previous segment ends')


def _replay_entry(state: Replayed, entry: entries.Entry) -> None:
    segment = state.files[-1]
    segment.highest = max(segment.highest, entry.index)
    if entry.kind == entries.RESET:
        state.base_from_header = False
    if entry.kind == entries.RESET or _replaces_removed(state, entry):
        state.base = entry.position
        state.tail.clear()
        return
    if entry.index > state.last.index + 1:
        raise ValueError(f'entry {entry.index} after {state.last.index}')
    if entry.index <= state.base.index:
        # It replaces an entry in a removed segment, so a snapshot must cover
        # that one.
        state.base = entries.Position(entry.index - 1, entries.UNKNOWN_TERM)
    del state.tail[entry.index - state.base.index - 1 :]
    state.tail.append(entry)


def _replaces_removed(state: Replayed, entry: entries.Entry) -> bool:
    """Return whether an entry replaced one in a removed segment.

    The remaining segments may have entries that truncated the end of a
    removed one. A snapshot covers both; the log continues after the newer one.
    """
    return state.base_from_header and 0 < entry.index <= state.base.index


def _remove_torn_write(
    folder: disk.Disk, state: Replayed, name: str, end: int
) -> None:
    if end == 0:
        # Not even its header was synced.
        folder.remove(name)
        folder.sync_folder()
        return
    folder.truncate(name, end)
    folder.sync(name)
