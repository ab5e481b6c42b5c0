"""Callers and relays never take an answer that was cut for a whole one."""

import asyncio
import dataclasses
import socket
import struct
import typing

import aiohttp
import multidict
import pytest
from geraniumweir.backends.tests import raw_answers
from geraniumweir.gateway.tests import test_relaying, testbed
from geraniumweir.routing import tables

_RESET = struct.pack('ii', 1, 0)
_AT_ONCE = 16
_PAUSE_SECONDS = 0.002
_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_STREAM: dict[str, typing.Any] = {'kind': tables.Kind.stream, 'attempts': 1}
# Ids of the same length, so that all answers have the same bytes.
_FIRST_ID = 10000
_EVENTS = b''.join(map(testbed.event, (1, 2, 3)))


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    """A kind of answer.

    :ivar make: returns its bytes for a request id.
    :ivar body: that its caller gets if it is whole.
    :ivar status: that its caller gets then.
    """

    make: typing.Callable[[str], bytes]
    body: bytes
    route: dict[str, typing.Any] = dataclasses.field(
        default_factory=lambda: _ONCE
    )
    status: int = 200


def chunked(request_id: str, *parts: bytes) -> bytes:
    """Return a complete response that comes in chunks."""
    head = f'HTTP/1.1 200 OK\r\nId: {request_id}\r\nSigned: yes\r\n'
    chunks = b''.join(map(testbed.chunk, (*parts, b'')))
    return b''.join(
        (head.encode(), b'Transfer-Encoding: chunked\r\n\r\n', chunks)
    )


def _stream(request_id: str) -> bytes:
    chunks = [testbed.chunk(testbed.event(one)) for one in (1, 2, 3)]
    return b''.join(
        (testbed.stream_head(request_id), *chunks, testbed.chunk(b''))
    )


def _rejection(request_id: str) -> bytes:
    return testbed.answer(request_id, b'', '503 Full', 'Not-Run: yes\r\n')


_KINDS = {
    'length': _Kind(lambda one: testbed.answer(one, b'hello'), b'hello'),
    'empty': _Kind(lambda one: testbed.answer(one, b''), b''),
    'chunks': _Kind(lambda one: chunked(one, b'hel', b'lo'), b'hello'),
    'failure': _Kind(
        lambda one: testbed.answer(one, b'bad', '500 Failed'),
        b'bad',
        status=500,
    ),
    'rejection': _Kind(_rejection, b'', status=503),
    'stream': _Kind(_stream, _EVENTS, _STREAM),
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Got:
    """What the caller of a cut answer got.

    :ivar size: bytes of the answer that were sent.
    :ivar whole: whether the response ended as complete.
    """

    size: int
    status: int
    body: bytes
    whole: bool


def _behavior(kind: _Kind, resets: bool) -> testbed.Behavior:
    """Return a behavior that sends as many bytes as a request's id says."""

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(kind.make(asked_id)[: int(asked_id) - _FIRST_ID])
        if resets:
            await writer.drain()
            await asyncio.sleep(_PAUSE_SECONDS)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.close()

    return behavior


async def _get(running: testbed.Testbed, size: int) -> _Got:
    found: list[bytes] = []
    headers = {'Id': str(_FIRST_ID + size)}
    async with running.client.get(running.url, headers=headers) as resp:
        try:
            async for part in resp.content.iter_any():
                found.append(part)
        except aiohttp.ClientPayloadError:
            return _Got(size, resp.status, b''.join(found), whole=False)
        return _Got(size, resp.status, b''.join(found), whole=True)


def _get_all(
    kind: _Kind, sizes: typing.Sequence[int], *, resets: bool, relayed: bool
) -> list[_Got]:
    """Return what callers got of answers of some sizes."""

    async def work() -> list[_Got]:
        server = testbed.Server(_behavior(kind, resets))
        at_once = asyncio.Semaphore(_AT_ONCE)

        async def get(size: int) -> _Got:
            async with at_once:
                return await _get(running, size)

        async with testbed.running(server, **kind.route) as running:
            if not relayed:
                return await asyncio.gather(*map(get, sizes))
            test_relaying.cut(running)
            # Each request is granted the server under another id.
            servers = [server for _ in sizes]
            async with test_relaying.run_relay(running, servers):
                return await asyncio.gather(*map(get, sizes))

    return asyncio.run(work())


@pytest.mark.parametrize('kind', list(_KINDS))
@pytest.mark.parametrize('resets', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
@pytest.mark.parametrize('parser', list(raw_answers.PARSERS))
def test_answer_that_is_cut_at_any_byte_is_not_whole_for_its_caller(
    kind: str,
    resets: bool,
    relayed: bool,
    parser: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A head that stopped was forwarded with an empty body, framed as whole."""
    raw_answers.use_parser(parser, monkeypatch)
    chosen = _KINDS[kind]
    sizes = range(len(chosen.make(str(_FIRST_ID))))
    for got in _get_all(chosen, sizes, resets=resets, relayed=relayed):
        assert (got.status, got.whole) == (502, True) or (
            chosen.route is _STREAM and (got.status, got.whole) == (200, False)
        ), got
        if got.status == 200:
            assert chosen.body.startswith(got.body)
            assert not got.body or got.body.endswith(b'\n\n')


@pytest.mark.parametrize('kind', list(_KINDS))
@pytest.mark.parametrize('relayed', [False, True], ids=['direct', 'relayed'])
def test_answer_is_whole_with_its_last_byte(kind: str, relayed: bool) -> None:
    """The cuts before are no fault of the answers themselves."""
    chosen = _KINDS[kind]
    size = len(chosen.make(str(_FIRST_ID)))
    found = _get_all(chosen, [size], resets=False, relayed=relayed)
    assert [(one.status, one.whole) for one in found] == [(chosen.status, True)]
    if chosen.status != 503:
        assert found[0].body == chosen.body


_REQUESTS = {
    'length': (
        b'POST /a/b HTTP/1.1\r\nHost: host\r\nId: r1\r\n'
        b'Content-Length: 5\r\n\r\nhello'
    ),
    'chunks': (
        b'POST /a/b HTTP/1.1\r\nHost: host\r\nId: r1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n'
    ),
}


def _send_raw(pieces: typing.Sequence[bytes]) -> list[str]:
    """Send each piece on a connection of its own and close it.

    :returns: ids of the requests that reached the server.
    """

    async def work() -> list[str]:
        server = testbed.Server(testbed.answers(b'done'))
        async with testbed.running(server, **_ONCE) as running:
            port = running.port
            for piece in pieces:
                _, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.write(piece)
                await writer.drain()
                writer.close()
            await asyncio.sleep(0.2)
            return server.seen

    return asyncio.run(work())


@pytest.mark.parametrize('kind', list(_REQUESTS))
def test_request_that_stops_at_any_byte_reaches_no_server(kind: str) -> None:
    """A server would run what its caller never sent."""
    whole = _REQUESTS[kind]
    assert not _send_raw([whole[:size] for size in range(len(whole))])
