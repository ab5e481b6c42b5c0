"""Answers that end within their head or body are never taken for whole."""

import asyncio
import itertools
import socket
import struct
import typing

import aiohttp
import multidict
import pytest
from aiohttp import client_proto, http_parser
from geraniumweir.backends import bodies, calls, errors
from geraniumweir.common import ids

_RESET = struct.pack('ii', 1, 0)
_AT_ONCE = 64
_HEAD = b'Signed: yes\r\nId: r1\r\nContent-Type: text/plain\r\n'
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_OK = b'HTTP/1.1 200 OK\r\n'
_FULL = b'HTTP/1.1 503 Full\r\nNot-Run: yes\r\n'
_LENGTH = b'Content-Length: 5\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n'
_BODY = b'\r\nhello'

_ANSWERS = {
    'length': b''.join((_OK, _HEAD, _LENGTH, _BODY)),
    'length first': b''.join((_OK, _LENGTH, _HEAD, _BODY)),
    'no body': b''.join((_OK, _HEAD, b'Content-Length: 0\r\n\r\n')),
    'chunks': b''.join((_OK, _HEAD, _CHUNKED, b'\r\n')),
    'trailer': b''.join((_OK, _HEAD, _CHUNKED, b'Sum: 1\r\n\r\n')),
    'interim': b''.join((_INTERIM, _INTERIM, _OK, _HEAD, _LENGTH, _BODY)),
    'rejection': b''.join((_FULL, _HEAD, b'Content-Length: 0\r\n\r\n')),
    'rejection with a body': b''.join((_FULL, _HEAD, _LENGTH, _BODY)),
    'failure': b''.join((b'HTTP/1.1 500 Failed\r\n', _HEAD, _LENGTH, _BODY)),
}
# Not all parsers read these.
_ODD_ANSWERS = {
    'folded': b''.join((_OK, b'Long: a\r\n b\r\n', _HEAD, _LENGTH, _BODY)),
    'bare line feeds': _ANSWERS['length'].replace(b'\r\n', b'\n'),
}
# Ends with its connection, so that only its head shows where it was cut.
_UNFRAMED = b''.join((_OK, _HEAD, b'\r\n'))

_Cut = tuple[bytes, int, bool, bool]


@pytest.fixture(name='parser', params=['compiled', 'python'])
def _parser(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> str:
    """Read answers with one of the library's parsers."""
    parsers = {
        'compiled': http_parser.HttpResponseParser,
        'python': http_parser.HttpResponseParserPy,
    }
    name = str(request.param)
    monkeypatch.setattr(client_proto, 'HttpResponseParser', parsers[name])
    return name


def _cuts(answer: bytes, last: int) -> list[_Cut]:
    """List all ways to cut an answer before some byte.

    :returns: answer, bytes that are sent, whether it is reset instead of
        closed, and whether its last byte comes apart.
    """
    flags = (False, True)
    return [
        (answer, *rest) for rest in itertools.product(range(last), flags, flags)
    ]


def _read_all(cuts: typing.Sequence[_Cut]) -> list[typing.Any]:
    """Return what became of each answer: status and body, or the error."""

    async def work() -> list[typing.Any]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            target = (await reader.readuntil(b'\r\n\r\n')).split()[1]
            await _send(writer, cuts[int(target[1:])])

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = ids.Address('127.0.0.1', server.sockets[0].getsockname()[1])
        at_once = asyncio.Semaphore(_AT_ONCE)

        async def read(number: int) -> typing.Any:
            async with at_once:
                return await _read(session, address, number)

        async with calls.make_session() as session:
            found = await asyncio.gather(*map(read, range(len(cuts))))
        server.close()
        return found

    return asyncio.run(work())


async def _send(writer: asyncio.StreamWriter, cut: _Cut) -> None:
    answer, size, resets, apart = cut
    if apart:
        writer.write(answer[: max(size - 1, 0)])
        await writer.drain()
        await asyncio.sleep(0.002)
        writer.write(answer[max(size - 1, 0) : size])
    else:
        writer.write(answer[:size])
    if resets:
        await writer.drain()
        await asyncio.sleep(0.002)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.close()


async def _read(
    session: aiohttp.ClientSession, address: ids.Address, number: int
) -> typing.Any:
    call = calls.Call('GET', f'/{number}', multidict.CIMultiDict())
    try:
        async with await calls.send(session, address, call) as answer:
            body = [part async for part in bodies.bounded(answer)]
            return answer.status, b''.join(body)
    except errors.AnswerError as exc:
        return exc


@pytest.mark.parametrize('kind', [*_ANSWERS, *_ODD_ANSWERS])
@pytest.mark.usefixtures('parser')
def test_answer_that_is_cut_at_any_byte_is_not_whole(kind: str) -> None:
    """A head that stopped was forwarded as an answer with an empty body."""
    answer = {**_ANSWERS, **_ODD_ANSWERS}[kind]
    cuts = _cuts(answer, len(answer))
    found = _read_all(cuts)
    taken = [
        (cut[1:], one)
        for cut, one in zip(cuts, found, strict=True)
        if not isinstance(one, errors.AnswerError)
    ]
    assert not taken
    assert not any(isinstance(one, errors.NotSentError) for one in found)


@pytest.mark.usefixtures('parser')
def test_head_without_a_length_that_is_cut_is_not_whole() -> None:
    """Its end shows only with the empty line."""
    found = _read_all(_cuts(_UNFRAMED, len(_UNFRAMED)))
    assert all(isinstance(one, errors.BrokenError) for one in found)


@pytest.mark.parametrize('kind', list(_ANSWERS))
@pytest.mark.usefixtures('parser')
def test_answers_are_whole_with_their_last_byte(kind: str) -> None:
    """The cuts before are no fault of the answers themselves."""
    answer = _ANSWERS[kind]
    size = len(answer)
    found = _read_all([(answer, size, False, apart) for apart in (False, True)])
    assert not any(isinstance(one, errors.AnswerError) for one in found)
