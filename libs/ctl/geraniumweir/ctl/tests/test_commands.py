"""geraniumctl against an operators' face over loopback."""

import asyncio
import json
import pathlib
import socket
import threading
import typing

import pytest
from aiohttp import web
from geraniumweir.ctl import errors, main

_RULES = """
[[pool]]
name = "lm-advisori"

[[rule]]
name = "lookups"
when = { path = "/v1/*", prompt_tokens = { max = 500 } }
then = { route = "lm-advisori", tier = 0 }
"""
_SPAN = {
    'trace_id': 'a' * 32,
    'parent_id': '0' * 16,
    'request_id': 'req-1',
    'start_ns': 0,
    'end_ns': 2_000_000,
    'error': '',
    'attributes': {},
}


class _Server:
    """Serves fixed answers on a thread, and keeps what was asked."""

    def __init__(self, answers: dict[str, tuple[int, typing.Any]]) -> None:
        self.asked: list[tuple[str, typing.Any]] = []
        self._answers = answers
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.address = ''

    def __enter__(self) -> '_Server':
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_exc: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        runner = self._loop.run_until_complete(self._serve())
        self._loop.run_forever()
        self._loop.run_until_complete(runner.cleanup())
        self._loop.close()

    async def _serve(self) -> web.AppRunner:
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.address = f'127.0.0.1:{runner.addresses[0][1]}'
        self._started.set()
        return runner

    async def _answer(self, req: web.Request) -> web.Response:
        asked = f'{req.method} {req.path_qs}'
        body = await req.read()
        self.asked.append((asked, json.loads(body) if body else None))
        status, answer = self._answers[asked]
        return web.json_response(answer, status=status)


def _run(*argv: str) -> int:
    try:
        main.main(argv)
    except SystemExit as exc:
        assert isinstance(exc.code, int)
        return exc.code
    raise AssertionError('the tool did not exit')


def _error(code: str, ran: str = 'no') -> dict[str, typing.Any]:
    return {'error': {'code': code, 'message': 'told', 'ran': ran}}


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


@pytest.fixture
def rules(tmp_path: pathlib.Path) -> str:
    """Give the path of a good file."""
    path = tmp_path / 'rules.toml'
    path.write_text(_RULES)
    return str(path)


def test_apply_sends_the_change_and_waits_for_every_host(
    rules: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """``--wait`` fails where a live host stays behind, and names it."""
    rows = [
        {'host_id': 'entry-1', 'state': 'live', 'version': 3},
        {'host_id': 'entry-2', 'state': 'dead', 'version': 1},
        {'host_id': 'entry-3', 'state': 'live', 'version': 2},
    ]
    answers = {
        'PUT /v1/config': (200, {'version': 3, 'warnings': ['odd']}),
        'GET /v1/hosts': (200, {'hosts': rows}),
    }
    with _Server(answers) as server:
        status = _run(
            f'--operator-address={server.address}',
            'apply',
            rules,
            '--base=2',
            '--change-id=c',
            '--wait',
            '--timeout=0.4',
        )
    sent = {'base': 2, 'change_id': 'c', 'document': _RULES}
    assert server.asked[0] == ('PUT /v1/config', sent)
    assert status == errors.EXIT_FAILED
    assert 'not in force on entry-3\n' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('answer', 'status', 'words'),
    [
        ((409, _error('GW-1202')), errors.EXIT_REFUSED, 'GW-1202: told'),
        ((503, _error('GW-1403', 'unknown')), errors.EXIT_REFUSED, 'may have'),
        ((404, _error('GW-1402')), errors.EXIT_FAILED, 'GW-1402: told'),
        ((200, ['odd']), errors.EXIT_FAILED, 'no entry host'),
        ((500, {}), errors.EXIT_FAILED, 'no entry host'),
    ],
)
def test_exit_status_tells_what_kind_of_failure(
    rules: str,
    capsys: pytest.CaptureFixture[str],
    answer: tuple[int, typing.Any],
    status: int,
    words: str,
) -> None:
    """A conflict and no majority are 3, other failures 1, on one line."""
    with _Server({'PUT /v1/config': answer}) as server:
        argv = ('apply', rules, '--base=0')
        found = _run(f'--operator-address={server.address}', *argv)
    told = capsys.readouterr().err
    assert found == status
    assert words in told
    assert told.count('\n') == 1


def test_addresses_are_tried_in_order(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A dead host and one without a majority are passed over."""
    cut_off = _Server({'GET /v1/history': (503, _error('GW-1403'))})
    row = {'version': 1, 'change_id': 'c', 'at': 0}
    whole = _Server({'GET /v1/history': (200, {'history': [row]})})
    with cut_off, whole:
        tried = (_free_address(), cut_off.address, whole.address)
        monkeypatch.setenv('GERANIUMWEIR_OPERATOR_ADDRESS', ','.join(tried))
        status = _run('history', '--output', 'json')
    assert status == errors.EXIT_DONE
    assert json.loads(capsys.readouterr().out) == {'history': [row]}


def test_unreachable_has_its_own_status(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """No host answers: the address is named."""
    address = _free_address()
    assert _run('status', f'--operator-address={address}') == (
        errors.EXIT_UNREACHABLE
    )
    told = capsys.readouterr().err
    assert f'{address}: Connection refused; --operator-address' in told


@pytest.mark.parametrize(
    'argv',
    [
        (),
        ('launch',),
        ('apply', 'rules.toml'),
        ('apply', 'rules.toml', '--base=-1'),
        ('show', 'x'),
        ('hosts', '--output=xml'),
        ('hosts', '--operator-address=localhost:1'),
        ('recorders', 'add', 'entry-1', 'nowhere'),
        ('order', 'advisor-1', 'explode', 'x'),
        ('status', '--timeout=0'),
    ],
)
def test_bad_arguments_are_told_on_one_line(
    capsys: pytest.CaptureFixture[str],
    argv: tuple[str, ...],
) -> None:
    """Nothing is sent anywhere."""
    assert _run(*argv) == errors.EXIT_BAD_ARGUMENT
    assert capsys.readouterr().err.count('\n') == 1


def test_faulty_file_is_told_by_line_before_any_host_is_asked(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Each fault has a line of its own."""
    path = tmp_path / 'bad.toml'
    path.write_text(_RULES.replace('tier = 0', 'tier = 9, speed = 1'))
    address = f'--operator-address={_free_address()}'
    assert _run('apply', str(path), '--base=0', address) == errors.EXIT_FAILED
    told = capsys.readouterr().err.splitlines()
    assert len(told) == 2
    assert all('line 8' in line for line in told)


def test_explain_works_from_a_file_alone(
    rules: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The rule passed over is told with what kept it from matching."""
    request = tmp_path / 'request.json'
    request.write_text('{"path": "/v1/x", "prompt_tokens": 501}')
    assert _run('explain', str(request), f'--file={rules}') == 0
    told = capsys.readouterr().out
    assert "passed: rule 'lookups', prompt_tokens wants" in told
    assert 'no rule matches' in told


def test_explain_warns_of_a_customer_that_is_none(
    rules: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A rule decides, but its calls are refused before."""
    request = tmp_path / 'request.json'
    request.write_text('{"customer": "nobody", "path": "/v1/x"}')
    assert _run('explain', str(request), f'--file={rules}') == 0
    assert "'nobody' is no customer" in capsys.readouterr().err


def test_trace_joins_the_spans_of_several_hosts(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The tree holds both hosts' spans, the child below its parent."""
    root = {**_SPAN, 'span_id': '1', 'name': 'caller', 'host': 'entry-1'}
    grant = {
        **_SPAN,
        **{'span_id': '2', 'parent_id': '1', 'name': 'grant', 'host': 'e2'},
    }
    path = 'GET /v1/trace/req-1'
    with (
        _Server({path: (200, {'spans': [grant]})}) as first,
        _Server({path: (404, _error('GW-1402'))}) as second,
        _Server({path: (200, {'spans': [root]})}) as third,
    ):
        hosts = ','.join((first.address, second.address, third.address))
        assert _run('trace', 'req-1', f'--operator-address={hosts}') == 0
    assert capsys.readouterr().out.splitlines() == [
        'caller  2.000 ms  entry-1',
        '  grant  2.000 ms  e2',
    ]
