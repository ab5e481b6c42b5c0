"""Bodies of requests: what a host holds of them is bounded."""

import asyncio
import contextlib
import typing

import multidict
import pytest
from geraniumweir.gateway.tests import testbed

_MIB = 1048576
_LARGE = b'x' * _MIB
_ORDINARY = b'x' * 4096
# A quarter is for bodies; three of a MiB fit into its part for large ones.
_MEMORY = 40 * _MIB
_Stack = contextlib.AsyncExitStack


async def _answer(
    server: testbed.Server,
    asked_id: str,
    _head: multidict.CIMultiDict[str],
    writer: asyncio.StreamWriter,
) -> None:
    size = len(server.bodies[-1])
    writer.write(testbed.answer(asked_id, str(size).encode()))


async def _send(
    running: testbed.Testbed, body: bytes | typing.AsyncIterable[bytes]
) -> tuple[int, str]:
    headers = {'Id': 'r1'}
    async with running.client.post(
        running.url, headers=headers, data=body
    ) as resp:
        return resp.status, await resp.text()


async def _stop_before_the_end(
    running: testbed.Testbed, stack: _Stack, body: bytes = _LARGE
) -> asyncio.StreamReader:
    """Send a body but its last byte, and keep the connection open."""
    port = running.port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    stack.callback(writer.close)
    head = (
        'POST /a/b HTTP/1.1\r\nHost: host\r\nId: r1\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body[:-1])
    await writer.drain()
    return reader


async def _status(reader: asyncio.StreamReader) -> int:
    return int((await reader.readline()).split()[1])


def _run(
    work: typing.Callable[
        [testbed.Testbed, _Stack], typing.Awaitable[typing.Any]
    ],
    memory: int = _MEMORY,
) -> typing.Any:
    async def run() -> typing.Any:
        server = testbed.Server(_answer)
        async with (
            testbed.running(server, memory=memory) as running,
            _Stack() as stack,
        ):
            return await work(running, stack)

    return asyncio.run(run())


@pytest.mark.parametrize('memory', [_MEMORY, _MIB])
def test_single_large_body_is_served(memory: int) -> None:
    """Also by a host that has less room than it needs."""
    sent = _run(lambda running, _: _send(running, _LARGE), memory)
    assert sent == (200, str(_MIB))


def test_body_in_chunks_is_served() -> None:
    """Its size is known only at its end."""

    async def chunks() -> typing.AsyncIterator[bytes]:
        for start in range(0, _MIB, _MIB // 16):
            yield _LARGE[start : start + _MIB // 16]

    sent = _run(lambda running, _: _send(running, chunks()))
    assert sent == (200, str(_MIB))


def test_crowd_of_large_bodies_leaves_room_for_ordinary_ones() -> None:
    """Those that don't fit are refused, as none of them ran."""

    async def work(running: testbed.Testbed, stack: _Stack) -> None:
        crowd = [await _stop_before_the_end(running, stack) for _ in range(12)]
        refused = asyncio.as_completed(map(_status, crowd))
        assert await asyncio.wait_for(next(refused), 5) == 503
        assert await _send(running, _ORDINARY) == (200, '4096')

    _run(work)


def test_body_that_stalls_makes_room_for_another() -> None:
    """A crowd that stays connected kept all room until its time limit."""

    async def work(running: testbed.Testbed, stack: _Stack) -> None:
        crowd = [await _stop_before_the_end(running, stack) for _ in range(3)]
        late = [asyncio.create_task(_status(one)) for one in crowd]
        await asyncio.sleep(2.2)
        assert await _send(running, _LARGE) == (200, str(_MIB))
        done, _ = await asyncio.wait(late, timeout=1)
        assert {one.result() for one in done} == {408}

    _run(work)


def test_all_room_is_free_after_a_crowd() -> None:
    """A leak would close the host for large bodies."""

    async def work(running: testbed.Testbed, stack: _Stack) -> None:
        async with _Stack() as connections:
            for _ in range(12):
                await _stop_before_the_end(running, connections)
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.2)
        sent = await asyncio.gather(*(_send(running, _LARGE) for _ in range(3)))
        assert [status for status, _ in sent] == [200, 200, 200]
        assert not running.caller_server.bodies.held()

    _run(work)
