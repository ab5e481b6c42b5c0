"""Callers of HTTP/1.0, to whom only the end of a connection ends a stream."""

import asyncio
import typing

import pytest
from geraniumweir.gateway.tests import testbed
from geraniumweir.routing import tables

_STREAM: dict[str, typing.Any] = {'kind': tables.Kind.stream, 'attempts': 1}
_REQUEST = b'GET /a/b HTTP/1.0\r\nHost: host\r\nId: r1\r\n\r\n'


def _get(*, whole: bool) -> bytes:
    """Return all that a caller gets until its connection closes."""

    async def work() -> bytes:
        server = testbed.Server(testbed.stream(testbed.event(1), ends=whole))
        async with testbed.running(server, **_STREAM) as running:
            port = running.port
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_REQUEST)
            try:
                return await reader.read()
            finally:
                writer.close()

    return asyncio.run(work())


def test_stream_that_broke_off_does_not_end_as_complete() -> None:
    """A connection that closes looks like the end of the stream."""
    with pytest.raises(ConnectionResetError):
        _get(whole=False)


def test_complete_stream_ends_with_its_connection() -> None:
    """It is not reset."""
    assert _get(whole=True).endswith(testbed.event(1))
