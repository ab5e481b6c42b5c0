"""Answers that a server on loopback sends byte by byte as a test says."""

import asyncio
import dataclasses
import socket
import struct
import typing

import aiohttp
import multidict
import pytest
from aiohttp import client_proto, http_parser
from geraniumweir.backends import bodies, calls, errors
from geraniumweir.common import ids

# The library's two parsers of answers, by name.
PARSERS: dict[str, typing.Any] = {
    'compiled': http_parser.HttpResponseParser,
    'python': http_parser.HttpResponseParserPy,
}
_RESET = struct.pack('ii', 1, 0)
_AT_ONCE = 64
# Only stops a test whose answer never ends.
_HANG_SECONDS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """What a server sends, and how it ends the connection.

    :ivar size: bytes of the answer that are sent, None for all.
    :ivar resets: whether the connection is reset instead of closed.
    :ivar apart: whether the last byte comes apart.
    :ivar bytewise: whether each byte comes apart.
    """

    answer: bytes
    size: int | None = None
    resets: bool = False
    apart: bool = False
    bytewise: bool = False

    def pieces(self) -> list[bytes]:
        """Return the bytes that are sent, in pieces with pauses between."""
        content = self.answer[: self.size]
        if self.bytewise:
            return [bytes((one,)) for one in content]
        if self.apart:
            return [content[:-1], content[-1:]]
        return [content]


def use_parser(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Read answers with one of the library's parsers until a test ends."""
    monkeypatch.setattr(client_proto, 'HttpResponseParser', PARSERS[name])


def read_all(answers: typing.Sequence[Sent]) -> list[typing.Any]:
    """Return what became of each answer: status and body, or the error."""

    async def work() -> list[typing.Any]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            target = (await reader.readuntil(b'\r\n\r\n')).split()[1]
            await _send(writer, answers[int(target[1:])])

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = ids.Address('127.0.0.1', server.sockets[0].getsockname()[1])
        at_once = asyncio.Semaphore(_AT_ONCE)

        async def read(number: int) -> typing.Any:
            async with at_once:
                return await _read(session, address, number)

        async with calls.make_session() as session:
            found = await asyncio.gather(*map(read, range(len(answers))))
        server.close()
        return found

    return asyncio.run(work())


def read(answer: bytes) -> typing.Any:
    """Return what became of an answer: status and body, or the error."""
    return read_all([Sent(answer)])[0]


async def _send(writer: asyncio.StreamWriter, sent: Sent) -> None:
    first, *others = sent.pieces()
    writer.write(first)
    for piece in others:
        await _pause(writer)
        writer.write(piece)
    if sent.resets:
        await _pause(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.close()


async def _pause(writer: asyncio.StreamWriter) -> None:
    await writer.drain()
    await asyncio.sleep(0.002)


async def _read(
    session: aiohttp.ClientSession, address: ids.Address, number: int
) -> typing.Any:
    call = calls.Call('GET', f'/{number}', multidict.CIMultiDict())
    try:
        async with asyncio.timeout(_HANG_SECONDS):
            async with await calls.send(session, address, call) as answer:
                body = [part async for part in bodies.bounded(answer)]
                return answer.status, b''.join(body)
    except (errors.AnswerError, TimeoutError) as exc:
        return exc
