"""Tests that a failed start prints one line."""

import pathlib
import socket

import pytest
from geraniumweir.daemon import main

_FLAGS = (
    '--host-id=entry-1',
    '--failure-domain=milano-a',
    '--caller-address=127.0.0.1:0',
    '--backend-address=127.0.0.1:0',
)


def _start(*flags: str) -> int:
    try:
        main.main((*_FLAGS, *flags))
    except SystemExit as exc:
        assert isinstance(exc.code, int)
        return exc.code
    raise AssertionError('the daemon did not exit')


def test_busy_port_is_reported_with_its_address(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Exit status 1 and one line with the address."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        sock.listen()
        port = sock.getsockname()[1]
        status = _start(f'--operator-address=127.0.0.1:{port}')
    error_text = capsys.readouterr().err
    assert status == 1
    assert f'127.0.0.1:{port}' in error_text
    assert error_text.count('\n') == 1


@pytest.mark.parametrize('setting', ['data-folder', 'trace-file'])
def test_path_that_can_not_be_used_is_named(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    setting: str,
) -> None:
    """Exit status 2 before any port is opened."""
    (tmp_path / 'file').touch()
    path = tmp_path / 'file' / 'inside'
    status = _start('--operator-address=127.0.0.1:0', f'--{setting}={path}')
    error_text = capsys.readouterr().err
    assert status == 2
    assert f'--{setting}: {str(path)!r}' in error_text
    assert error_text.count('\n') == 1
