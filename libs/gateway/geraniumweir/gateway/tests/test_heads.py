"""Heads of requests that go on without an end."""

import asyncio

import pytest
from geraniumweir.gateway.tests import testbed

_MIB = 1048576
_FIELD = b'X-Filler: %b\r\n' % (b'x' * 4096)
_REQUEST = b'GET /a/b HTTP/1.1\r\nHost: host\r\nId: r1\r\n'


def _send(begin: bytes, repeated: bytes, most: int) -> int:
    """Send a head without its end.

    :returns: bytes that were sent until the connection closed.
    """

    async def work() -> int:
        server = testbed.Server(testbed.answers(b'done'))
        async with testbed.running(server) as running:
            port = running.port
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            sent = len(begin)
            writer.write(begin)
            try:
                while sent < most and not reader.at_eof():
                    writer.write(repeated)
                    await writer.drain()
                    sent += len(repeated)
                    await asyncio.sleep(0)
            except ConnectionError:
                return sent
            finally:
                writer.close()
            return sent

    return asyncio.run(work())


@pytest.mark.parametrize(
    ('begin', 'repeated'),
    [(_REQUEST, _FIELD), (b'GET /', b'a' * 4096), (b'', b'\r\n' * 2048)],
    ids=['fields', 'target', 'empty lines'],
)
def test_head_without_an_end_is_not_read_on(
    begin: bytes, repeated: bytes
) -> None:
    """Each field was kept, up to a gibibyte on one connection."""
    assert _send(begin, repeated, 32 * _MIB) < 16 * _MIB


def test_requests_sent_ahead_are_all_answered() -> None:
    """Together they have more bytes than one head may have."""
    count = 100
    head = b'POST /a/b HTTP/1.1\r\nHost: host\r\nId: r1\r\n%b' % _FIELD
    request = b'%bContent-Length: 4096\r\n\r\n%b' % (head, b'x' * 4096)

    async def work() -> int:
        server = testbed.Server(testbed.answers(b'done'))
        async with testbed.running(server) as running:
            port = running.port
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(request * count)
            answered = 0
            async with asyncio.timeout(20):
                while answered < count:
                    await reader.readuntil(b'done')
                    answered += 1
            writer.close()
            return answered

    assert asyncio.run(work()) == count
