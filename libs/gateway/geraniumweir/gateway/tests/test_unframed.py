"""Answers that end with their connection, beside servers that are killed."""

import asyncio
import typing

import multidict
import pytest
from geraniumweir.gateway.tests import test_relaying, testbed
from geraniumweir.routing import tables

_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_STREAM: dict[str, typing.Any] = {'kind': tables.Kind.stream, 'attempts': 1}
_RESUMABLE: dict[str, typing.Any] = {
    'kind': tables.Kind.stream,
    'resumable': True,
    'attempts': 2,
}
_EVENTS = 3
_WHOLE = b''.join(map(testbed.event, range(1, _EVENTS + 1)))
_HEAD = 'HTTP/1.1 200 OK\r\nId: {0}\r\nSigned: yes\r\n{1}\r\n'


def _stream(last: int, *, killed: bool) -> testbed.Behavior:
    """Return a behavior that sends the events up to a number.

    :param killed: whether its server is killed behind them.
    """

    async def behavior(
        server: testbed.Server,
        asked_id: str,
        head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        first = int(head.get('Last-Event-Id', '0')) + 1
        kind = 'Content-Type: text/event-stream\r\n'
        writer.write(_HEAD.format(asked_id, kind).encode())
        for number in range(first, last + 1):
            writer.write(testbed.event(number))
        await writer.drain()
        _end(server, writer, killed=killed)

    return behavior


def _plain(body: bytes, *, killed: bool) -> testbed.Behavior:
    async def behavior(
        server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(_HEAD.format(asked_id, '').encode() + body)
        await writer.drain()
        _end(server, writer, killed=killed)

    return behavior


def _end(
    server: testbed.Server, writer: asyncio.StreamWriter, *, killed: bool
) -> None:
    if killed:
        server.kill(writer)
    else:
        writer.close()


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('last', [1, 2, _EVENTS])
def test_stream_whose_server_is_killed_does_not_end_as_complete(
    last: int, relayed: bool
) -> None:
    """Nothing tells the end of such a stream from the end of its server."""
    got = test_relaying.get_from(
        _stream(last, killed=True), relayed=relayed, **_STREAM
    )
    assert (got.status, got.whole) == (200, False)
    assert _WHOLE.startswith(got.body)


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_resumable_stream_goes_on_after_its_server_was_killed(
    relayed: bool,
) -> None:
    """Its caller gets the rest from the next server."""
    got = test_relaying.get_from(
        _stream(2, killed=True),
        _stream(_EVENTS, killed=False),
        relayed=relayed,
        **_RESUMABLE,
    )
    assert got == testbed.Got(200, _WHOLE, whole=True)


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('route', [_STREAM, _RESUMABLE])
def test_stream_of_a_server_that_lives_is_complete(
    route: dict[str, typing.Any], relayed: bool
) -> None:
    """Its end is the end of its connection."""
    got = test_relaying.get_from(
        _stream(_EVENTS, killed=False), relayed=relayed, **route
    )
    assert got == testbed.Got(200, _WHOLE, whole=True)


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_plain_answer_whose_server_is_killed_is_not_whole(
    relayed: bool,
) -> None:
    """A part of it was sent with a length, as a whole answer."""
    got = test_relaying.get_from(
        _plain(b'hel', killed=True), relayed=relayed, **_ONCE
    )
    assert got.status == 502


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_idempotent_request_runs_again_after_its_server_was_killed(
    relayed: bool,
) -> None:
    """As after any answer that broke off."""
    got = test_relaying.get_from(
        _plain(b'hel', killed=True),
        _plain(b'hello', killed=False),
        relayed=relayed,
    )
    assert got == testbed.Got(200, b'hello', whole=True)


def _repeats(answer: bytes, size: int | None) -> testbed.Behavior:
    """Return a behavior that sends an answer, and then bytes of it again.

    :param size: of these bytes, None for all.
    """

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        sent = answer.replace(b'{0}', asked_id.encode())
        writer.write(sent)
        await writer.drain()
        writer.write(sent[:size])
        await writer.drain()
        writer.close()

    return behavior


_PLAIN_ANSWER = b''.join((_HEAD.format('{0}', '').encode(), b'hello'))
_STREAM_ANSWER = b''.join(
    (
        _HEAD.format('{0}', 'Content-Type: text/event-stream\r\n').encode(),
        _WHOLE,
    )
)


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize(
    ('answer', 'body', 'route'),
    [
        (_PLAIN_ANSWER, b'hello', _ONCE),
        (_STREAM_ANSWER, _WHOLE, _STREAM),
        (_STREAM_ANSWER, _WHOLE, _RESUMABLE),
    ],
    ids=['plain', 'stream', 'resumable'],
)
def test_copy_of_an_answer_is_no_part_of_it(
    answer: bytes, body: bytes, route: dict[str, typing.Any], relayed: bool
) -> None:
    """The caller got the answer, the head of its copy and the copy."""
    got = test_relaying.get_from(
        _repeats(answer, None), relayed=relayed, **route
    )
    assert got == testbed.Got(200, body, whole=True)


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('size', [4, 12, 17, 30])
def test_begin_of_a_copy_is_not_taken_for_the_end_of_an_answer(
    size: int, relayed: bool
) -> None:
    """The caller got a whole answer with other bytes behind it."""
    got = test_relaying.get_from(
        _repeats(_PLAIN_ANSWER, size), relayed=relayed, **_ONCE
    )
    assert got.status == 502
    again = test_relaying.get_from(
        _repeats(_PLAIN_ANSWER, size),
        _plain(b'hello', killed=False),
        relayed=relayed,
    )
    assert again == testbed.Got(200, b'hello', whole=True)


class _EarlyServer(testbed.Server):
    """Server that answers before it reads the body of a request."""

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a part of an answer and reset the connection behind it."""
        head = testbed.read_head(await reader.readuntil(b'\r\n\r\n'))
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(_HEAD.format(head['Id'], '').encode())
        writer.write(b'hel')
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(0.05)
        writer.transport.abort()


@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_answer_that_ends_before_its_request_was_read_is_not_whole(
    relayed: bool,
) -> None:
    """A part of it was sent with a length, as a whole answer."""
    behavior = _plain(b'hello', killed=False)
    servers = [_EarlyServer(behavior), testbed.Server(behavior)]
    content = b'x' * 2000000
    got = test_relaying.get_from_servers(
        servers, relayed=relayed, content=content
    )
    assert got == testbed.Got(200, b'hello', whole=True)
    assert servers[1].bodies == [content]
