"""Answers whose head or framing no server should send are none."""

import pytest
from aiohttp import client_proto
from geraniumweir.backends import errors
from geraniumweir.backends.tests import raw_answers

_FIELDS = b'Signed: yes\r\nId: r1\r\n'
_BODY = b'Content-Length: 5\r\n\r\nhello'


@pytest.fixture(autouse=True, params=list(raw_answers.PARSERS))
def _parser(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Read answers with one of the library's parsers."""
    parser = raw_answers.PARSERS[request.param]
    monkeypatch.setattr(client_proto, 'HttpResponseParser', parser)


def _with_status(status: str) -> bytes:
    line = f'HTTP/1.1 {status} Text\r\n'.encode()
    return b''.join((line, _FIELDS, _BODY))


@pytest.mark.parametrize(
    'status', ['000', '001', '099', '101', '600', '700', '999']
)
def test_status_out_of_range_is_no_answer(status: str) -> None:
    """It was an answer like any other."""
    got = raw_answers.read(_with_status(status))
    assert isinstance(got, errors.BrokenError)


@pytest.mark.parametrize('status', ['000', '099', '101'])
def test_answer_behind_a_status_out_of_range_is_not_read(status: str) -> None:
    """Only interim answers come before another one."""
    first = f'HTTP/1.1 {status} Text\r\n\r\n'.encode()
    got = raw_answers.read(b''.join((first, _with_status('200'))))
    assert isinstance(got, errors.BrokenError)


@pytest.mark.parametrize('status', ['200', '299', '300', '418', '500', '599'])
def test_status_in_range_is_an_answer(status: str) -> None:
    """Also where it has no registered meaning."""
    got = raw_answers.read(_with_status(status))
    assert got == (int(status), b'hello')
