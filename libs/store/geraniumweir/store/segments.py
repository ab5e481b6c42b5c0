"""Segment files of the log: how they are named, opened and replayed.

Segments are numbered without gaps. Each starts with a frame that names the
recorder and the log's last position before it; every further frame is a batch
of entries. Batches are only ever added: an entry with an index that is
already there makes the old one and all behind it void, so nothing is cut out
of the middle of a file.
"""

import dataclasses
import struct

from geraniumweir.store import disk, entries, errors, frames

_PREFIX = 'log-'
_HEADER = struct.Struct('<QQQ')


@dataclasses.dataclass(slots=True)
class Segment:
    """One file of the log.

    :ivar number: its place among the segments.
    :ivar size: in bytes.
    :ivar highest: the highest index in it, void entries counted.
    """

    number: int
    size: int
    highest: int

    @property
    def name(self) -> str:
        """The file's name."""
        return f'{_PREFIX}{self.number:012d}'


@dataclasses.dataclass(slots=True)
class Replayed:
    """What the segments hold.

    :ivar base: the position before the first entry.
    :ivar tail: all entries behind it that aren't void.
    :ivar files: the segments, oldest first.
    :ivar cut: bytes of a torn write that were removed.
    :ivar is_cut: whether the base is where the first segment begins.
    """

    base: entries.Position = entries.START
    tail: list[entries.Entry] = dataclasses.field(default_factory=list)
    files: list[Segment] = dataclasses.field(default_factory=list)
    cut: int = 0
    is_cut: bool = False

    @property
    def last(self) -> entries.Position:
        """The position of the last entry."""
        return self.tail[-1].position if self.tail else self.base


def is_segment(name: str) -> bool:
    """Tell segments from other files.

    >>> is_segment('log-000000000001'), is_segment('vote')
    (True, False)
    """
    return name.startswith(_PREFIX)


def replay(folder: disk.Disk, identity: str) -> Replayed:
    """Read all segments and cut a torn write off the last one.

    :param identity: of the recorder that must have written them.
    :raises errors.CorruptError: when anything else is wrong with them.
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
        state.cut = len(content) - end
        _cut(folder, state, name, end)
    return state


def create(
    folder: disk.Disk,
    number: int,
    identity: str,
    last: entries.Position,
) -> Segment:
    """Make a segment and make it durable.

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
    for frame in frames.whole_frames(content):
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
        _enter_segment(state, name, frame.payload, identity)
        return
    for entry in entries.decode(frame.payload):
        _replay_entry(state, entry)


def _enter_segment(
    state: Replayed,
    name: str,
    payload: bytes,
    identity: str,
) -> None:
    number, index, term = _HEADER.unpack_from(payload)
    segment = Segment(number, 0, index)
    if segment.name != name:
        raise ValueError(f'the header is of {segment.name}')
    if payload[_HEADER.size :].decode() != identity:
        raise ValueError(f'not written by recorder {identity}')
    _check_follows(state, number, entries.Position(index, term))
    state.files.append(segment)


def _check_follows(
    state: Replayed,
    number: int,
    before: entries.Position,
) -> None:
    if not state.files:
        state.base = before
        state.is_cut = True
    elif state.files[-1].number + 1 != number:
        raise ValueError('a segment before this one is missing')
    elif state.last != before:
        raise ValueError('does not go on where the last segment ends')


def _replay_entry(state: Replayed, entry: entries.Entry) -> None:
    segment = state.files[-1]
    segment.highest = max(segment.highest, entry.index)
    if entry.kind == entries.RESET:
        state.is_cut = False
    if entry.kind == entries.RESET or _is_over_removed(state, entry):
        state.base = entry.position
        state.tail.clear()
        return
    if entry.index > state.last.index + 1:
        raise ValueError(f'entry {entry.index} after {state.last.index}')
    if entry.index <= state.base.index:
        # It replaces one whose segment is gone, so a snapshot must cover it.
        state.base = entries.Position(entry.index - 1, entries.UNKNOWN_TERM)
    del state.tail[entry.index - state.base.index - 1 :]
    state.tail.append(entry)


def _is_over_removed(state: Replayed, entry: entries.Entry) -> bool:
    """Tell whether an entry replaced one in a segment that was removed.

    The segments left may hold entries that made void the end of a removed
    one. A snapshot covers both; the log goes on behind the newer one.
    """
    return state.is_cut and 0 < entry.index <= state.base.index


def _cut(folder: disk.Disk, state: Replayed, name: str, end: int) -> None:
    if end == 0:
        # Not even its first frame was synced.
        folder.remove(name)
        folder.sync_folder()
        return
    folder.truncate(name, end)
    folder.sync(name)
