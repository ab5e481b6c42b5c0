"""Tests of spans, of carrying them on, and of the trace file."""

import json
import pathlib
import typing

import pytest
from geraniumweir.common import ids
from geraniumweir.observe import spanqueue, tracefile, traces

_REQUEST = ids.RequestId('req-1')
_PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
_UNSAMPLED = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00'


def _tracing(
    path: pathlib.Path, host: str, sample: float = 1
) -> traces.Tracing:
    return traces.Tracing(
        traces.TraceSettings(ids.HostId(host), str(path), sample)
    )


def _serve(tracing: traces.Tracing, leader: traces.Tracing) -> dict[str, str]:
    """Go through a request's hops; the grant is on another host."""
    trace = tracing.begin(_REQUEST, {'traceparent': _PARENT})
    with trace.hop(traces.Hop.queue) as queue:
        asked = leader.begin(_REQUEST, queue.headers(), traces.Hop.grant)
        asked.root.finish()
    with trace.hop(traces.Hop.dispatch, server='advisor-1') as dispatch:
        onwards = dispatch.headers()
        trace.open(traces.Hop.first_token, dispatch).finish()
    trace.root.finish()
    return onwards


def test_spans_of_two_hosts_make_one_tree(tmp_path: pathlib.Path) -> None:
    """The leader's grant stands below the entry host's queue."""
    files = [tmp_path / 'a.jsonl', tmp_path / 'b.jsonl']
    tracers = [_tracing(files[0], 'entry-1'), _tracing(files[1], 'entry-2')]
    onwards = _serve(*tracers)
    for tracer in tracers:
        tracer.close()
    spans = [
        span for file in files for span in tracefile.find(str(file), _REQUEST)
    ]
    written = tracefile.lines(tracefile.tree(spans))
    names = [line.strip().split('  ')[0] for line in written]
    assert names == ['caller', 'queue', 'grant', 'dispatch', 'first token']
    assert written[2].startswith('    grant')
    assert 'entry-2' in written[2]
    assert onwards['traceparent'].startswith(_PARENT[:36])
    assert onwards['traceparent'] != _PARENT


def test_error_marks_the_hop(tmp_path: pathlib.Path) -> None:
    """The code of an error that leaves a hop is in its span."""
    path = tmp_path / 't.jsonl'
    tracing = _tracing(path, 'entry-1')
    trace = tracing.begin(_REQUEST, {})
    with pytest.raises(KeyError), trace.hop(traces.Hop.claim):
        raise KeyError
    trace.root.finish()
    tracing.close()
    spans = {span.name: span for span in tracefile.find(str(path), _REQUEST)}
    assert spans['claim'].error == 'KeyError'
    assert not spans['caller'].error


def test_caller_that_does_not_sample_is_not_recorded(
    tmp_path: pathlib.Path,
) -> None:
    """Nothing is written, but the trace is carried on as it came."""
    path = tmp_path / 't.jsonl'
    tracing = _tracing(path, 'entry-1')
    trace = tracing.begin(_REQUEST, {'traceparent': _UNSAMPLED})
    with trace.hop(traces.Hop.dispatch) as dispatch:
        carried = dispatch.headers()['traceparent']
    trace.root.finish()
    tracing.close()
    assert carried[:35] == _UNSAMPLED[:35]
    assert carried.endswith('-00')
    assert not path.read_bytes()


def test_full_file_is_renamed_and_still_found(tmp_path: pathlib.Path) -> None:
    """Spans on both sides of the rename are found; a cut line is skipped."""
    path = tmp_path / 't.jsonl'
    tracing = _tracing(path, 'entry-1')
    tracing.begin(_REQUEST, {}).root.finish()
    tracing.close()
    line = path.read_bytes()
    writer = tracefile.Writer(str(path), max_bytes=len(line))
    writer.write(())
    writer.close()
    record = json.loads(line)
    later = json.dumps({**record, 'span_id': '2', 'name': 'end'})
    path.write_text(f'{later}\n{later[:40]}')
    found = tracefile.find(str(path), _REQUEST)
    assert sorted(span.name for span in found) == ['caller', 'end']


def test_full_queue_drops_and_counts(tmp_path: pathlib.Path) -> None:
    """A disk that holds the writer up costs spans, not requests."""
    queue = spanqueue.SpanQueue(
        ids.HostId('entry-1'), _Stuck(str(tmp_path / 't.jsonl')), limit=2
    )
    span = tracefile.SpanRecord('1', '2', '', 'end', 'h', 'r', 0, 1, '', {})
    for _ in range(3):
        queue.put(span)
    assert queue.dropped == 1
    queue.close()
    assert queue.dropped == 3


class _Stuck(tracefile.Writer):
    """A disk that takes nothing."""

    def write(self, spans: typing.Iterable[tracefile.SpanRecord]) -> bool:
        return False
