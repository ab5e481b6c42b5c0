"""Callers get no answer that is malformed, directly or through a relay."""

import asyncio
import typing

import multidict
import pytest
from geraniumweir.gateway.tests import test_relaying, testbed
from geraniumweir.routing import tables

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_STREAM: dict[str, typing.Any] = {'kind': tables.Kind.stream, 'attempts': 1}
_FIELDS = 'Id: {0}\r\nSigned: yes\r\n'
_LENGTH = 'Content-Length: 5\r\n\r\nhello'
_OK = 'HTTP/1.1 200 OK\r\n'

_ANSWERS = {
    'status 000': f'HTTP/1.1 000 OK\r\n{_FIELDS}{_LENGTH}',
    'status 099': f'HTTP/1.1 099 OK\r\n{_FIELDS}{_LENGTH}',
    'status 101': f'HTTP/1.1 101 OK\r\n{_FIELDS}{_LENGTH}',
    'status 600': f'HTTP/1.1 600 OK\r\n{_FIELDS}{_LENGTH}',
    'blank in a name': f'{_OK}{_FIELDS}X Y: v\r\n{_LENGTH}',
    'blank before a name': f'{_OK} X-Name: v\r\n{_FIELDS}{_LENGTH}',
    'blank before a length': f'{_OK}{_FIELDS}X: v\r\n {_LENGTH}',
    'blank behind a length': (
        f'{_OK}{_FIELDS}Content-Length : 5\r\n\r\nhello, and more'
    ),
    'control byte in a name': f'{_OK}{_FIELDS}X\x01Y: v\r\n{_LENGTH}',
    'control byte in a value': f'{_OK}{_FIELDS}X: a\x01b\r\n{_LENGTH}',
    'unknown coding': f'{_OK}{_FIELDS}Transfer-Encoding: gzip\r\n\r\nhello',
    'coding beside chunks': (
        f'{_OK}{_FIELDS}Transfer-Encoding: gzip, chunked\r\n\r\n'
        '5\r\nhello\r\n0\r\n\r\n'
    ),
    'malformed chunk': (
        f'{_OK}{_FIELDS}Transfer-Encoding: chunked\r\n\r\n'
        '+5\r\nhello\r\n0\r\n\r\n'
    ),
    'carriage return': f'{_OK}{_FIELDS}X: v\r\r\n{_LENGTH}',
}


def _sends(answer: str) -> testbed.Behavior:
    """Return a behavior that sends an answer and closes the connection."""

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(answer.replace('{0}', asked_id).encode('latin-1'))
        await writer.drain()
        writer.close()

    return behavior


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('answer', list(_ANSWERS))
@pytest.mark.parametrize('route', [_ONCE, _STREAM], ids=['once', 'stream'])
def test_malformed_answer_does_not_reach_a_caller(
    answer: str, route: dict[str, typing.Any], relayed: bool
) -> None:
    """It was passed on as the answer of the server."""
    got = test_relaying.get_from(
        _sends(_ANSWERS[answer]), relayed=relayed, **route
    )
    assert (got.status, got.whole) == (502, True)
    assert b'hello' not in got.body


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('answer', list(_ANSWERS))
def test_caller_gets_the_answer_of_another_server(
    answer: str, relayed: bool
) -> None:
    """The request is one that may run again."""
    sound = testbed.answers(b'hello')
    got = test_relaying.get_from(
        _sends(_ANSWERS[answer]), sound, relayed=relayed
    )
    assert got == testbed.Got(200, b'hello', whole=True)
