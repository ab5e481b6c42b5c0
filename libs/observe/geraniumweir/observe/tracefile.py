"""The trace file: one JSON object a span, appended; and reading it back.

A file that has grown to its bound is renamed to ``FILE.1``, in place of the
one before, so a host keeps between one and two bounds of its newest spans.
Lines that a crash cut short are skipped when reading.
"""

import dataclasses
import json
import pathlib
import typing

_MAX_BYTES = 67108864  # 64 MiB
_NS_PER_MS = 1_000_000
_INDENT = '  '
_GAP = '  '
_encoder = json.JSONEncoder(separators=(',', ':'))


@dataclasses.dataclass(slots=True)
class SpanRecord:
    """A span as the file holds it; not frozen, which would cost four times.

    :ivar parent_id: all zeros where the span has no parent.
    :ivar start_ns: wall clock, in nanoseconds since 1970.
    :ivar error: a code of docs/ERRORS.md, or empty.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    host: str
    request_id: str
    start_ns: int
    end_ns: int
    error: str
    attributes: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A span with the spans inside it, by start."""

    span: SpanRecord
    children: tuple['Node', ...]


class Writer:
    """Appends spans to a file."""

    def __init__(self, path: str, max_bytes: int = _MAX_BYTES) -> None:
        """Open the file.

        :param max_bytes: size at which the file is renamed.
        :raises OSError: when it can't be written.
        """
        self._path = pathlib.Path(path)
        self._max_bytes = max_bytes
        self._file = self._path.open('ab')

    def write(self, spans: typing.Iterable[SpanRecord]) -> bool:
        """Append a batch.

        :returns: False where the disk refuses; those spans are lost.
        """
        try:
            self._append(b''.join(map(_encode, spans)))
        except (OSError, ValueError):
            return False
        return True

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _append(self, encoded: bytes) -> None:
        self._file.write(encoded)
        self._file.flush()
        if self._file.tell() < self._max_bytes:
            return
        self._file.close()
        self._path.replace(older(self._path))
        self._file = self._path.open('ab')


def older(path: pathlib.Path) -> pathlib.Path:
    """Give the name a full file is renamed to.

    >>> older(pathlib.Path('trace.jsonl')).name
    'trace.jsonl.1'
    """
    return path.with_name(f'{path.name}.1')


def find(path: str, wanted: str) -> list[SpanRecord]:
    """Read the spans of a request.

    :param path: of the trace file; the older file beside it is read too.
    :param wanted: a request id or a trace id.
    :returns: all spans of the traces that hold it, by start; none where
        there is no such file.
    """
    current = pathlib.Path(path)
    files = [one for one in (older(current), current) if one.exists()]
    traces = {span.trace_id for span in _matching(files, {wanted})}
    if not traces:
        return []
    found = _matching(files, traces)
    return sorted(found, key=_start)


def tree(spans: typing.Iterable[SpanRecord]) -> list[Node]:
    """Arrange spans by parent.

    A span whose parent is not among them, such as one below a caller's own
    span, stands at the top.

    :param spans: of one or more traces, from one or more hosts.
    """
    unique = {one.span_id: one for one in spans}
    below: dict[str, list[SpanRecord]] = {}
    for span in sorted(unique.values(), key=_start):
        place = span.parent_id if span.parent_id in unique else ''
        below.setdefault(place, []).append(span)
    return [_node(top, below) for top in below.get('', ())]


def lines(nodes: typing.Iterable[Node], depth: int = 0) -> list[str]:
    """Write a tree, one line a span, indented by depth."""
    written: list[str] = []
    for node in nodes:
        written.append(_line(node.span, depth))
        written.extend(lines(node.children, depth + 1))
    return written


def parse(line: str | bytes) -> SpanRecord | None:
    """Read one line.

    :returns: None for a line that is not a whole span.
    """
    try:
        return SpanRecord(**json.loads(line))
    except (ValueError, TypeError):
        return None


def _start(span: SpanRecord) -> int:
    return span.start_ns


def _matching(
    files: typing.Iterable[pathlib.Path],
    wanted: set[str],
) -> list[SpanRecord]:
    spans = map(parse, _lines_with(files, wanted))
    return [
        span
        for span in spans
        if span and wanted & {span.trace_id, span.request_id}
    ]


def _lines_with(
    files: typing.Iterable[pathlib.Path],
    wanted: set[str],
) -> typing.Iterator[bytes]:
    # Most lines are of other requests: they are passed over unparsed.
    needles = [text.encode() for text in wanted]
    for file in files:
        with file.open('rb') as opened:
            yield from (
                line
                for line in opened
                if any(needle in line for needle in needles)
            )


def _node(span: SpanRecord, below: dict[str, list[SpanRecord]]) -> Node:
    inner = below.get(span.span_id, ())
    return Node(span, tuple(_node(child, below) for child in inner))


def _line(span: SpanRecord, depth: int) -> str:
    spent = (span.end_ns - span.start_ns) / _NS_PER_MS
    indent = _INDENT * depth
    parts = [f'{indent}{span.name}', f'{spent:.3f} ms', span.host]
    parts.extend(f'{name}={text}' for name, text in span.attributes.items())
    if span.error:
        parts.append(f'error={span.error}')
    return _GAP.join(parts)


def _encode(span: SpanRecord) -> bytes:
    record = {
        'trace_id': span.trace_id,
        'span_id': span.span_id,
        'parent_id': span.parent_id,
        'name': span.name,
        'host': span.host,
        'request_id': span.request_id,
        'start_ns': span.start_ns,
        'end_ns': span.end_ns,
        'error': span.error,
        'attributes': span.attributes,
    }
    return f'{_encoder.encode(record)}\n'.encode()
