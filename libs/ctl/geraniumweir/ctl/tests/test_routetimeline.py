"""A route that earns less than others, out of logs."""

import json
import pathlib
import typing

import pytest
from geraniumweir.ctl import arguments, main


def _line(second: int, event: int, **fields: object) -> str:
    line = {
        'time': f'2026-05-15T16:03:{second:02}.120Z',
        'level': 'info',
        'event': event,
        'host': 'host',
        'message': 'something happened',
        'fields': {'pool': 'app', **fields},
    }
    return f'{json.dumps(line)}\n'


def _of(route: str, second: int, event: int, **fields: object) -> str:
    return _line(second, event, route=route, tier=2, **fields)


def _answered(route: str, second: int, **changes: object) -> str:
    told = {'status': 200, 'target_ms': 300, 'first_ms': 100, 'granted_ms': 5}
    return _of(route, second, 160, **{**told, **changes})


_LOG = ''.join(
    (
        _line(3, 246, servers={'a': '5/6 prefilling 2 late 0'}),
        _answered('status', 3),
        _answered('status', 3, status=500),
        _of('status', 3, 161, status=503, reason='shed'),
        _of('status', 3, 162, reason='answered 500') * 2,
        _of('status', 3, 168),
        _of('status', 3, 169, reason='shed'),
        _answered('lookup', 3) * 2,
        _answered('status', 4, granted_ms=200, first_ms=400),
    )
)


def _rows(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    *flags: str,
) -> list[dict[str, typing.Any]]:
    log = tmp_path / 'log'
    log.write_text(_LOG)
    argv = ('--output', 'json', 'route-timeline', *flags, str(log))
    opts = arguments.make_parser({}).parse_args(argv)
    assert main.run(opts.command(opts)) == 0
    return json.loads(capsys.readouterr().out)['seconds']


def test_routes_of_one_tier_are_told_apart(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The pool's line has one figure for both."""
    rows = _rows(tmp_path, capsys)
    found = [(row['route'], row['ended'], row['on_time']) for row in rows]
    assert found == [('lookup', 2, 2), ('status', 3, 1), ('status', 1, 0)]
    assert {row['tier'] for row in rows} == {'2'}


def test_refused_repeats_are_told_apart_from_refused_callers(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Both count as failures of the route."""
    first, second = _rows(tmp_path, capsys, '--route', 'status')
    assert first['others'] == 'failed: 500=1, refused: shed=1'
    assert first['repeats'] == (
        'attempt failed=2, not repeated: shed=1, repeated=1'
    )
    assert (first['pool_running'], first['pool_open']) == (5, 6)
    assert second['others'] == 'late: queue=1'
    assert (second['pool_running'], second['pool_open']) == (0, 0)
