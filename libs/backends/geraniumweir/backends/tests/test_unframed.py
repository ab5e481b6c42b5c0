"""Bodies without a length end with a connection that their server closes."""

import asyncio
import contextlib
import enum
import socket
import struct

import multidict
import pytest
from geraniumweir.backends import calls, errors
from geraniumweir.common import ids

_RESET = struct.pack('ii', 1, 0)


class _End(enum.Enum):
    """What a server does after the last byte."""

    closes = 'closes'
    resets = 'resets'
    is_killed = 'is killed'
    is_killed_slowly = 'is killed, and its listener is closed last'
    ends_slowly = 'ends, and closes further connections later'
    is_full = 'closes, and resets the next connections'
    is_stopped = 'closes, and closes all further connections'


_KILLS = (_End.is_killed, _End.is_killed_slowly, _End.ends_slowly)


async def _read(end: _End) -> bytes:
    accepted = 0
    served: list[asyncio.Task[None] | None] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal accepted
        served.append(asyncio.current_task())
        accepted += 1
        if accepted > 1:
            await _take_another(end, accepted, reader, writer)
            return
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nhello')
        await writer.drain()
        await asyncio.sleep(0.05)
        if end is _End.resets:
            _reset(writer)
        if end is _End.is_killed:
            server.close()
        if end in {_End.is_killed_slowly, _End.ends_slowly}:
            asyncio.get_running_loop().call_later(0.01, server.close)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    call = calls.Call('GET', '/', multidict.CIMultiDict())
    async with calls.make_session() as session:
        address = ids.Address('127.0.0.1', port)
        async with await calls.send(session, address, call) as answer:
            with contextlib.closing(server):
                chunks = [chunk async for chunk in answer.chunks()]
    await asyncio.gather(*filter(None, served), return_exceptions=True)
    return b''.join(chunks)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


async def _take_another(
    end: _End,
    number: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Take a connection after the first one."""
    if end is _End.is_full and number == 2:
        _reset(writer)
    elif end is not _End.is_stopped and end not in _KILLS:
        await reader.read()
    elif end is _End.ends_slowly:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(), 0.1)
    writer.close()


@pytest.mark.parametrize('end', [_End.closes, _End.is_full])
def test_clean_end_is_the_end_of_the_body(end: _End) -> None:
    """As HTTP/1.1 says."""
    assert asyncio.run(_read(end)) == b'hello'


@pytest.mark.parametrize('end', [*_KILLS, _End.is_stopped])
def test_body_that_ends_with_its_server_is_not_whole(end: _End) -> None:
    """The kernel closes the connections of a process that is killed."""
    with pytest.raises(errors.CutShortError):
        asyncio.run(_read(end))


def test_reset_cuts_the_body_short() -> None:
    """A caller must not take a part for the whole."""
    with pytest.raises(errors.CutShortError):
        asyncio.run(_read(_End.resets))
