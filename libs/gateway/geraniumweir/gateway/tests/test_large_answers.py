"""Large answers to callers that read slowly."""

import asyncio
import contextlib
import socket
import tracemalloc
import typing

from geraniumweir.gateway import held_bytes
from geraniumweir.gateway.tests import testbed

_BODY = b'x' * (2 * 1024 * 1024)
_READERS = 12
_SEND_BUFFER = 65536
_SETTLE_SECONDS = 0.5
_SOON_SECONDS = 5
_OVERHEAD_BYTES = 4 * 1024 * 1024


@contextlib.contextmanager
def _reader(url: str) -> typing.Iterator[socket.socket]:
    """Ask for an answer and leave it unread."""
    host, port = url.split('/')[2].split(':')
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SEND_BUFFER)
        sock.connect((host, int(port)))
        sock.sendall(b'GET /a/b HTTP/1.1\r\nHost: x\r\nId: slow\r\n\r\n')
        yield sock


def test_answer_that_a_caller_reads_slowly_is_kept_once() -> None:
    """The HTTP library kept it beside the copy that is counted."""

    async def scenario() -> None:
        server = testbed.Server(testbed.answers(_BODY))
        accounts = held_bytes.HeldBytes()
        async with testbed.running(
            server, accounts=accounts, send_buffer=_SEND_BUFFER
        ) as bed:
            tracemalloc.start()
            with contextlib.ExitStack() as stack:
                for _ in range(_READERS):
                    stack.enter_context(_reader(bed.url))
                await asyncio.sleep(_SETTLE_SECONDS)
                kept, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert accounts.total > _READERS * len(_BODY) / 2
            assert kept < accounts.total + _OVERHEAD_BYTES

    asyncio.run(scenario())


def test_large_answers_wait_for_room_and_small_ones_do_not() -> None:
    """Whole answers were held without a bound."""

    async def scenario() -> None:
        large = testbed.Server(testbed.answers(_BODY))
        bound = 4 * len(_BODY)
        accounts = held_bytes.HeldBytes(bound)
        async with testbed.running(
            large, accounts=accounts, send_buffer=_SEND_BUFFER, timeout=60
        ) as bed:
            with contextlib.ExitStack() as stack:
                for _ in range(_READERS):
                    stack.enter_context(_reader(bed.url))
                await asyncio.sleep(_SETTLE_SECONDS)
                assert len(_BODY) < accounts.total < bound
                large.behavior = testbed.answers(b'y')
                async with asyncio.timeout(_SOON_SECONDS):
                    assert await _read(bed) == b'y'
                large.behavior = testbed.answers(_BODY)
                waiting = asyncio.create_task(_read(bed))
                await asyncio.sleep(_SETTLE_SECONDS)
                assert not waiting.done()
            async with asyncio.timeout(_SOON_SECONDS):
                assert await waiting == _BODY

    asyncio.run(scenario())


async def _read(bed: testbed.Testbed) -> bytes:
    async with bed.client.get(bed.url, headers={'Id': 'quick'}) as resp:
        return await resp.read()
