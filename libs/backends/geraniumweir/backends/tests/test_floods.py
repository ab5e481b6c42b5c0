"""Servers that send bytes without end which are no answer."""

import asyncio
import contextlib
import typing

import multidict
import pytest
from geraniumweir.backends import bodies, calls, errors
from geraniumweir.common import ids

_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# Only stops a test whose flood is never noticed.
_HANG_SECONDS = 20

# What each flood begins with, and what it repeats.
_FLOODS = {
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'interim answers with headers': (
        b'',
        b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
    ),
    'header': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'abcdefgh'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-Many: a\r\n'),
    'no HTTP': (b'', b'0123456789abcdef'),
    'extension of a chunk': (b'%b5;a=' % _CHUNKED, b'abcdefgh'),
    'extensions of chunks': (_CHUNKED, b'1;a=%b\r\nc\r\n' % (b'b' * 64)),
    'trailer': (b'%b0\r\nX-Long: ' % _CHUNKED, b'abcdefgh'),
    'trailers': (b'%b0\r\n' % _CHUNKED, b'X-Many: a\r\n'),
}


@contextlib.asynccontextmanager
async def _server(
    begin: bytes, repeated: bytes
) -> typing.AsyncIterator[ids.Address]:
    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(begin)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(repeated * 256)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield ids.Address('127.0.0.1', server.sockets[0].getsockname()[1])
    server.close()


async def _read(begin: bytes, repeated: bytes) -> None:
    """Read the body of an answer as that of a plain request."""
    call = calls.Call('GET', '/', multidict.CIMultiDict())
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(_server(begin, repeated))
        session = await stack.enter_async_context(calls.make_session())
        await stack.enter_async_context(asyncio.timeout(_HANG_SECONDS))
        async with await calls.send(session, address, call) as answer:
            async for _ in bodies.bounded(answer):
                await asyncio.sleep(0)


@pytest.mark.parametrize('flood', _FLOODS)
def test_endless_bytes_that_are_no_answer_end_the_call(flood: str) -> None:
    """The parser passes over some of them without a word."""
    with pytest.raises(errors.AnswerError):
        asyncio.run(_read(*_FLOODS[flood]))


@pytest.mark.parametrize(
    'head',
    [
        _CHUNKED,
        b'HTTP/1.1 200 OK\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n',
    ],
)
def test_endless_body_is_not_kept(head: bytes) -> None:
    """A caller of a plain request gets nothing before its end."""
    chunk = b'100\r\n%b\r\n' % (b'a' * 256)
    with pytest.raises(errors.TooLongError):
        asyncio.run(_read(head, chunk))


def test_small_chunks_and_interim_answers_are_an_answer() -> None:
    """Also on a connection that has carried many of them."""
    interim = b'HTTP/1.1 100 Continue\r\n\r\n' * 20
    body = b'1;a=b\r\nx\r\n' * 20_000
    whole = b''.join((interim, _CHUNKED, body, b'0\r\n\r\n'))

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(whole)
                await writer.drain()
        writer.close()

    async def work() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        address = ids.Address('127.0.0.1', port)
        call = calls.Call('GET', '/', multidict.CIMultiDict())
        async with calls.make_session() as session:
            for _ in range(5):
                async with await calls.send(session, address, call) as answer:
                    parts = [chunk async for chunk in answer.chunks()]
                assert sum(map(len, parts)) == 20_000
        server.close()

    asyncio.run(work())
