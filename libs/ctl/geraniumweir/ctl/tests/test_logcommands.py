"""A request's story out of the logs of several processes."""

import json
import pathlib

import pytest
from geraniumweir.ctl import arguments, errors, main


def _line(second: int, host: str, event: int, **fields: object) -> str:
    line = {
        'time': f'2026-05-15T16:03:{second:02}.120Z',
        'level': 'info',
        'event': event,
        'host': host,
        'message': 'something happened',
        'fields': fields,
    }
    return f'  12.34 {host} {json.dumps(line)}\n'


def _run(*argv: str) -> int:
    opts = arguments.make_parser({}).parse_args(argv)
    return main.run(opts.command(opts))


def test_story_is_told_in_order_of_time(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """From several files, with what a collector put before the lines."""
    late, early = tmp_path / 'late', tmp_path / 'early'
    late.write_text(_line(9, 'entry', 161, request='r1', reason='shed'))
    early.write_text(
        _line(3, 'leader', 245, request='r1.7', leader='x')
        + _line(4, 'entry', 160, request='other')
        + 'Traceback (most recent call last):\n',
    )
    assert _run('explain-request', 'r1', str(late), str(early)) == 0
    told = capsys.readouterr().out
    assert told.index('leader=x') < told.index('reason=shed')
    assert 'other' not in told


def test_unknown_request_is_an_error(tmp_path: pathlib.Path) -> None:
    """A wrong id must not look like a request without a story."""
    log = tmp_path / 'log'
    log.write_text(_line(9, 'entry', 161, request='r1', reason='shed'))
    assert _run('explain-request', 'r2', str(log)) == errors.EXIT_FAILED


def test_refusals_are_counted_by_second_and_reason(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A burst shows as a column of the same reason."""
    log = tmp_path / 'log'
    refused = _line(9, 'entry', 161, request='r', status=503, reason='shed')
    log.write_text(refused * 3)
    assert _run('--output', 'json', 'why-refused', str(log)) == 0
    found = json.loads(capsys.readouterr().out)['refusals']
    assert [(row['reason'], row['count']) for row in found] == [('shed', 3)]


def test_lateness_is_put_down_to_its_cause(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Queue, server, repeat and pause call for different answers."""
    log = tmp_path / 'log'
    usual = {
        'request': 'r',
        'route': 'a',
        'status': 200,
        'target_ms': 1000,
        'gap_ms': 200,
        'granted_ms': 3,
        'first_ms': 400,
        'longest_pause_ms': 20,
        'servers': ['s'],
    }
    changes: tuple[dict[str, object], ...] = (
        {},
        {'first_ms': 1200, 'granted_ms': 900},
        {'first_ms': 1200},
        {'first_ms': 1200, 'servers': ['s', 't']},
        {'longest_pause_ms': 240},
        {'status': 500},
    )
    ended = [_line(9, 'entry', 160, **{**usual, **one}) for one in changes]
    other = [
        _line(7, 'entry', 161, **{**usual, 'status': 503, 'reason': 'shed'}),
        _line(8, 'entry', 164, **{**usual, 'granted_ms': None}),
        _line(8, 'entry', 163, **{**usual, 'reason': 'its time is over'}),
    ]
    log.write_text(''.join(ended + other))
    assert _run('--output', 'json', 'why-late', str(log)) == 0
    found = json.loads(capsys.readouterr().out)['causes']
    assert {row['cause']: row['count'] for row in found} == {
        'on time': 1,
        'late: queue': 1,
        'late: server': 1,
        'late: repeat': 1,
        'late: pause': 1,
        'failed: 500': 1,
        'refused: shed': 1,
        'caller gone: waited': 1,
        'broken off: its time is over': 1,
    }


def _busy(second: int, host: str, servers: dict[str, str]) -> str:
    return _line(
        second,
        host,
        246,
        pool='lm',
        waiting=7,
        interval_ms=2.5,
        load=1.1,
        servers=servers,
    )


def test_pools_are_told_by_second(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """With two coordinators, and free slots beside refusals, pointed out."""
    control, entry = tmp_path / 'control', tmp_path / 'entry'
    full = {'a': '9/9 unborn 0 late 0', 'b': '11/9 unborn 2 late 0.1'}
    resting = {'a': '3/9 unborn 0 late 0', 'b': '0/0 unborn 0 late 0'}
    control.write_text(
        _busy(3, 'c1', full)
        + _busy(4, 'c1', full)
        + _busy(4, 'c2', full)
        + _busy(5, 'c2', resting),
    )
    entry.write_text(
        _line(3, 'e', 161, pool='lm', reason='shed')
        + _line(5, 'e', 161, pool='lm', reason='over_quota')
        + _line(5, 'e', 161, pool='lm', reason='shed'),
    )
    argv = ('--output', 'json', 'pool-timeline', str(control), str(entry))
    assert _run(*argv) == 0
    rows = json.loads(capsys.readouterr().out)['seconds']
    assert [row['look_at'] for row in rows] == [
        '',
        'two coordinators',
        'free slots beside refusals',
    ]
    assert [row['coordinator'] for row in rows] == ['c1', 'c1 c2', 'c2']
    assert [(row['running'], row['open']) for row in rows] == [
        (20, 18),
        (20, 18),
        (3, 9),
    ]
    assert rows[2]['refused'] == 'over_quota=1 shed=1'


def test_rollout_is_told_step_by_step(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """With the share of the new version and what decided."""
    told = {'pool': 'lm', 'to': 'v2'}
    log = tmp_path / 'control'
    log.write_text(
        _line(3, 'c1', 777, **told, result='taken')
        + _line(5, 'c1', 778, **told, step='canary', exposure=9, requests=90)
        + _line(4, 'c1', 778, pool='other', to='v9', step='moved')
        + _line(6, 'c1', 780, **told, state='rolled_back', reason='bad'),
    )
    argv = ('--output', 'json', 'rollouts', '--pool', 'lm', str(log))
    assert _run(*argv) == 0
    rows = json.loads(capsys.readouterr().out)['steps']
    assert [(row['step'], row['exposure'], row['reason']) for row in rows] == [
        ('ordered: taken', '', ''),
        ('canary', '9 of 90', ''),
        ('is rolled_back', '', 'bad'),
    ]


def test_spread_of_a_version_lists_hosts_that_skipped_it(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A host that was behind has a newer version in force at once."""
    log = tmp_path / 'log'
    log.write_text(
        _line(3, 'core', 757, version=7, taken=True)
        + _line(4, 'near', 763, version=7, before=6, source='core')
        + _line(9, 'far', 763, version=8, before=6, unconfirmed_s=5.2)
        + _line(9, 'new', 763, version=9, before=8)
    )
    assert _run('--output', 'json', 'document-timeline', '7', str(log)) == 0
    rows = json.loads(capsys.readouterr().out)['events']
    assert [(row['host'], row['ms']) for row in rows] == [
        ('core', 0),
        ('near', 1000),
        ('far', 6000),
    ]
    assert str(rows[-1]['unconfirmed_s']) == '5.2'


def test_version_that_no_log_has_is_an_error(tmp_path: pathlib.Path) -> None:
    """A wrong number must not look like a version that is nowhere in force."""
    log = tmp_path / 'log'
    log.write_text(_line(3, 'core', 757, version=7, taken=True))
    found = _run('document-timeline', '70', str(log))
    assert found == errors.EXIT_FAILED
