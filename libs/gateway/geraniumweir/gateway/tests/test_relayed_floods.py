"""Servers that send bytes without end to a relay."""

import asyncio
import contextlib

import multidict
import pytest
from geraniumweir.gateway.tests import test_relaying, testbed

# What a whole answer may have, and what buffers of sockets hold besides.
_MOST_BYTES = 24 * 1024 * 1024
_HANG_SECONDS = 20
_FLOODS = {
    'chunks': (
        'Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'8\r\nabcdefgh\r\n',
    ),
    'body': ('Signed: yes\r\n\r\n', b'abcdefgh'),
    'headers': ('Signed: yes\r\n', b'X-Many: a\r\n'),
    'extension': (
        'Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n5;a=',
        b'abcdefgh',
    ),
}


class _Flood:
    """Behavior of a server that writes until its connection closes.

    :ivar sent: number of bytes that it has written.
    """

    def __init__(self, lines: str, repeated: bytes) -> None:
        self.sent = 0
        self._lines = lines
        self._piece = repeated * 4096

    async def __call__(
        self,
        _server: testbed.Server,
        request_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        head = f'HTTP/1.1 200 OK\r\nId: {request_id}\r\n{self._lines}'
        writer.write(head.encode())
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(self._piece)
                await writer.drain()
                self.sent += len(self._piece)


@pytest.mark.parametrize('kind', _FLOODS)
def test_endless_bytes_by_a_relay_are_ended(kind: str) -> None:
    """Neither the relay nor the owner of the request keeps them all."""

    async def scenario() -> None:
        flood = _Flood(*_FLOODS[kind])
        server = testbed.Server(flood)
        async with testbed.running(server, attempts=1) as running:
            test_relaying.cut(running)
            async with test_relaying.run_relay(running, [server]):
                async with asyncio.timeout(_HANG_SECONDS):
                    async with running.client.get(
                        running.url, headers={'Id': 'r1'}
                    ) as resp:
                        assert resp.status >= 500
                    await server.disconnected.wait()
        assert flood.sent < _MOST_BYTES

    asyncio.run(scenario())
