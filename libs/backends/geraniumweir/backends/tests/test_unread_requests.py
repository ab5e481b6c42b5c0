"""Servers that answer without framing before they have read the request."""

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
_BODY = b'x' * 1000000
_HEAD_END = b'\r\n\r\n'


class _End(enum.Enum):
    """What a server does behind the last byte of its answer."""

    resets = 'resets the connection'
    closes = 'closes it, which resets it as there are unread bytes'
    closes_twice = 'closes its half, and then resets the connection'
    resets_half = 'closes its half, and soon resets the connection'
    reads_all = 'reads the whole request and closes the connection'


# Seconds between the end of the answer and that of the connection.
_PAUSES = {_End.closes_twice: 0.05, _End.resets_half: 0.005}


async def _serve(listening: socket.socket, end: _End, size: int) -> None:
    """Answer the first request.

    :param size: of its body, in bytes.
    """
    loop = asyncio.get_running_loop()
    conn, _ = await loop.sock_accept(listening)
    with conn:
        received = b''
        while _HEAD_END not in received:
            received += await loop.sock_recv(conn, 1)
        await loop.sock_sendall(conn, b'HTTP/1.1 200 OK\r\n\r\npart')
        await asyncio.sleep(0.05)
        pause = _PAUSES.get(end)
        if pause is not None:
            conn.shutdown(socket.SHUT_WR)
            await asyncio.sleep(pause)
        if end in {_End.resets, _End.resets_half}:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        elif end is _End.reads_all:
            await _receive(conn, size)


async def _receive(conn: socket.socket, size: int) -> None:
    loop = asyncio.get_running_loop()
    while size:
        size -= len(await loop.sock_recv(conn, size))


async def _send(end: _End, body: bytes = _BODY) -> bytes:
    """Return the answer to a request with a long body."""
    call = calls.Call('POST', '/', multidict.CIMultiDict(), body)
    async with contextlib.AsyncExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        # The kernel takes little of the body before it is read.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        listening.bind(('127.0.0.1', 0))
        listening.listen()
        listening.setblocking(False)
        serving = asyncio.create_task(_serve(listening, end, len(body)))
        session = await stack.enter_async_context(calls.make_session())
        address = ids.Address(*listening.getsockname())
        async with await calls.send(session, address, call) as answer:
            received = b''.join([chunk async for chunk in answer.chunks()])
        await serving
        return received


@pytest.mark.parametrize('end', [_End.resets, _End.closes, _End.closes_twice])
def test_answer_that_ends_before_its_request_was_read_is_not_whole(
    end: _End,
) -> None:
    """The end of the connection was taken for the end of the answer."""
    with pytest.raises(errors.CutShortError):
        asyncio.run(_send(end))


# The server's kernel had taken the whole request, and the reset came after the
# end of the answer had been noticed.
def test_answer_whose_connection_is_reset_at_its_end_is_not_whole() -> None:
    """The server has read none of the body, which is short."""
    with pytest.raises(errors.CutShortError):
        asyncio.run(_send(_End.resets_half, b'x' * 20000))


def test_answer_that_ends_behind_its_request_is_whole() -> None:
    """It begins before the request was read."""
    assert asyncio.run(_send(_End.reads_all)) == b'part'
