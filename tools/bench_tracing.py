"""Measures what tracing costs a call, beside the same call without it.

Prints processor time of a call with seven spans, the writing of the file
included; the columns of one round compare, rounds on other days don't.
"""

import pathlib
import tempfile
import time

from geraniumweir.common import ids
from geraniumweir.observe import traces

_CALLS = 2000
_ROUNDS = 3
_MICROSECONDS = 1_000_000
_HOPS = (
    traces.Hop.rule,
    traces.Hop.claim,
    traces.Hop.queue,
)


def main() -> None:
    """Print a line for each round."""
    with tempfile.TemporaryDirectory() as folder:
        tracers = {'off': _tracing(None, 1)}
        for sample in (1, 0.1):
            path = pathlib.Path(folder, f'{sample}.jsonl')
            tracers[f'sample {sample}'] = _tracing(str(path), sample)
        for _ in range(_ROUNDS):
            _print_round(tracers)
        for tracing in tracers.values():
            tracing.close()


def _print_round(tracers: dict[str, traces.Tracing]) -> None:
    figures = {name: _measure(one) for name, one in tracers.items()}
    off = figures['off']
    cells = [
        f'{name}: {spent:.1f} us ({spent / off:.1f} times)'
        for name, spent in figures.items()
    ]
    print(', '.join(cells))


def _tracing(path: str | None, sample: float) -> traces.Tracing:
    host = ids.HostId('entry-1')
    return traces.Tracing(traces.TraceSettings(host, path, sample))


def _measure(tracing: traces.Tracing) -> float:
    began = time.process_time()
    for number in range(_CALLS):
        _call(tracing, ids.RequestId(f'gw-{number}'))
        if number % 500 == 0:
            tracing.flush()
    tracing.flush()
    return (time.process_time() - began) / _CALLS * _MICROSECONDS


def _call(tracing: traces.Tracing, request_id: ids.RequestId) -> None:
    trace = tracing.begin(request_id, {})
    for hop in _HOPS:
        with trace.hop(hop) as inner:
            inner.note(pool='lm-advisori')
    dispatch = trace.open(traces.Hop.dispatch)
    dispatch.headers()
    dispatch.finish()
    now = time.time_ns()
    trace.since(now, traces.Hop.first_token, dispatch)
    trace.since(now, traces.Hop.end, dispatch)
    trace.root.finish()


if __name__ == '__main__':
    main()
