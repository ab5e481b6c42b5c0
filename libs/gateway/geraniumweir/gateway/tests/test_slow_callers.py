"""Responses to callers that read more slowly than the server sends."""

import asyncio
import contextlib
import dataclasses
import socket
import sys
import typing

import multidict
import pytest
from geraniumweir.gateway import held_bytes
from geraniumweir.gateway.tests import test_relaying, testbed
from geraniumweir.observe import metricnames
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

_KIB = 1024
# Larger than what the sockets and the HTTP library hold without read-ahead.
_EVENTS = 900
_EVENT_BYTES = _KIB
_SOCKET_BYTES = 8 * _KIB
# The servers of these tests cut off a response that stays unread for so long.
_UNREAD_SECONDS = 0.5
_STREAM: dict[str, typing.Any] = {'kind': tables.Kind.stream, 'attempts': 1}
_RESUMABLE: dict[str, typing.Any] = {
    'kind': tables.Kind.stream,
    'attempts': 2,
    'resumable': True,
}
_ONCE: dict[str, typing.Any] = {'kind': tables.Kind.once, 'attempts': 1}
_END = b'0\r\n\r\n'


def _event(number: int) -> bytes:
    text = f'id: {number}\ndata: '.ljust(_EVENT_BYTES - 2, 'x')
    return f'{text}\n\n'.encode()


def _streams(first: int, last: int, *, is_complete: bool) -> testbed.Behavior:
    """Return a behavior that cuts a stream off if it stays unread.

    :param is_complete: whether it ends the stream, or resets the connection.
    """

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        _limit_send_buffer(writer)
        writer.transport.set_write_buffer_limits(0)
        writer.write(testbed.stream_head(asked_id))
        try:
            for number in range(first, last + 1):
                writer.write(testbed.chunk(_event(number)))
                async with asyncio.timeout(_UNREAD_SECONDS):
                    await writer.drain()
        except TimeoutError:
            writer.transport.abort()
            return
        if is_complete:
            writer.write(testbed.chunk(b''))
            await writer.drain()
        else:
            # What the host has not read yet would be lost by the reset.
            await asyncio.sleep(0.1)
            writer.transport.abort()

    return behavior


def _limit_send_buffer(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BYTES)


@dataclasses.dataclass(slots=True)
class _Caller:
    """A caller on a socket with a small buffer.

    :ivar received: what it has read.
    """

    sock: socket.socket
    received: bytearray = dataclasses.field(default_factory=bytearray)

    async def read(self, pause: float, most: int = sys.maxsize) -> bytes:
        """Read until the end, or until it has so many bytes."""
        loop = asyncio.get_running_loop()
        while len(self.received) < most:
            with contextlib.suppress(ConnectionError):
                content = await loop.sock_recv(self.sock, 16 * _KIB)
            if not content:
                break
            self.received += content
            if self.received.endswith(_END):
                break
            await asyncio.sleep(pause)
        return bytes(self.received)

    def events(self) -> list[int]:
        """Return the numbers of the whole events that it has, in order."""
        return [
            int(event[4 : event.index(b'\n')])
            for event in _unchunked(bytes(self.received)).split(b'\n\n')
            if len(event) == _EVENT_BYTES - 2
        ]


def _unchunked(response: bytes) -> bytes:
    """Return the body of a response, which may be incomplete."""
    rest = response.partition(b'\r\n\r\n')[2]
    body = bytearray()
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size or b'0', 16)
        body += rest[:length]
        rest = rest[length + 2 :]
    return bytes(body)


@contextlib.asynccontextmanager
async def _calling(
    running: testbed.Testbed,
) -> typing.AsyncIterator[_Caller]:
    """Send a request and read nothing yet."""
    loop = asyncio.get_running_loop()
    host, _, port = running.url.split('/')[2].partition(':')
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        head = b'GET /a/b HTTP/1.1\r\nHost: host\r\nId: r1\r\n\r\n'
        await loop.sock_sendall(sock, head)
        yield _Caller(sock)


@contextlib.asynccontextmanager
async def _running(
    *behaviors: testbed.Behavior,
    **changes: typing.Any,
) -> typing.AsyncIterator[tuple[testbed.Testbed, list[testbed.Server]]]:
    servers = [testbed.Server(behavior) for behavior in behaviors]
    async with testbed.running(
        *servers, send_buffer=_SOCKET_BYTES, **changes
    ) as running:
        async with asyncio.timeout(20):
            yield running, servers


async def _until(condition: typing.Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_slow_caller_gets_a_stream_that_its_server_would_cut_off() -> None:
    """The slot is free before the caller has the stream."""

    async def scenario() -> None:
        whole = _streams(1, _EVENTS, is_complete=True)
        async with _running(whole, **_STREAM) as (running, _):
            async with _calling(running) as caller:
                await _until(lambda: bool(running.scheduler.released))
                assert running.scheduler.released == [requests.Outcome.done]
                assert not caller.received
                # A drain waits for the delivery.
                assert running.caller_server.traffic.open == 1
                received = await caller.read(0.02)
                await _until(lambda: not running.caller_server.traffic.open)
        assert caller.events() == list(range(1, _EVENTS + 1))
        assert received.endswith(_END)
        assert not running.shared.buffers.held()

    asyncio.run(scenario())


def test_slow_caller_gets_a_stream_that_comes_through_a_relay() -> None:
    """The relay must not take over the caller's pace either."""

    async def scenario() -> None:
        whole = _streams(1, _EVENTS, is_complete=True)
        async with _running(whole, **_STREAM) as (running, servers):
            test_relaying.cut(running)
            async with test_relaying.run_relay(running, servers) as relay:
                async with _calling(running) as caller:
                    await _until(lambda: bool(running.scheduler.released))
                    assert not caller.received
                    await _until(lambda: not relay.open)
                    await caller.read(0.01)
        assert caller.events() == list(range(1, _EVENTS + 1))

    asyncio.run(scenario())


def test_held_events_are_delivered_when_the_server_fails() -> None:
    """The response must not look complete, and none of them is lost."""

    async def scenario() -> None:
        broken = _streams(1, _EVENTS, is_complete=False)
        async with _running(broken, **_STREAM) as (running, _):
            async with _calling(running) as caller:
                await _until(lambda: bool(running.scheduler.released))
                assert running.scheduler.released == [requests.Outcome.failed]
                received = await caller.read(0.01)
        assert caller.events() == list(range(1, _EVENTS + 1))
        assert not received.endswith(_END)

    asyncio.run(scenario())


def test_stream_resumes_after_the_last_held_event() -> None:
    """One that is sent again or left out would spoil the stream."""

    async def scenario() -> None:
        broken = _streams(1, 400, is_complete=False)
        rest = _streams(401, _EVENTS, is_complete=True)
        async with _running(broken, rest, **_RESUMABLE) as (running, _):
            async with _calling(running) as caller:
                await _until(lambda: len(running.scheduler.released) == 2)
                assert not caller.received
                received = await caller.read(0)
        assert caller.events() == list(range(1, _EVENTS + 1))
        assert received.endswith(_END)

    asyncio.run(scenario())


@pytest.mark.parametrize('bound', [512, 8], ids=['held', 'waits for room'])
def test_stream_ends_at_its_time_limit(bound: int) -> None:
    """Neither a delivery nor a wait for room goes on after it."""

    async def scenario() -> None:
        accounts = held_bytes.HeldBytes(response_bound=bound * _KIB)
        whole = _streams(1, 400, is_complete=True)
        changes = {**_STREAM, 'timeout': 0.4, 'accounts': accounts}
        async with _running(whole, **changes) as (running, _):
            async with _calling(running) as caller:
                await _until(lambda: running.caller_server.traffic.open == 1)
                await _until(lambda: not running.caller_server.traffic.open)
                received = await caller.read(0)
        assert len(caller.events()) < 400
        assert not received.endswith(_END)
        assert not running.shared.buffers.held()

    asyncio.run(scenario())


def test_run_ends_at_the_server_when_a_caller_with_held_events_leaves() -> None:
    """A server would generate for nobody otherwise."""
    is_first_part_sent = asyncio.Event()

    async def behavior(
        _server: testbed.Server,
        asked_id: str,
        _head: multidict.CIMultiDict[str],
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(testbed.stream_head(asked_id))
        for number in range(1, 301):
            writer.write(testbed.chunk(_event(number)))
        await writer.drain()
        is_first_part_sent.set()

    async def scenario() -> None:
        async with _running(behavior, **_STREAM) as (running, servers):
            async with _calling(running) as caller:
                await is_first_part_sent.wait()
                await caller.read(0, most=_KIB)
                assert running.shared.buffers.held()
            async with asyncio.timeout(1):
                await servers[0].disconnected.wait()
            assert running.scheduler.released == [requests.Outcome.cancelled]
            await _until(lambda: not running.caller_server.traffic.open)
            assert not running.shared.buffers.held()

    asyncio.run(scenario())


def test_plain_response_is_counted_until_the_caller_has_it() -> None:
    """A drain waits for it, and streams leave it its memory."""

    async def scenario() -> None:
        body = bytes(600 * _KIB)
        behavior = testbed.answers(body)
        async with _running(behavior, **_ONCE) as (running, _):
            async with _calling(running) as caller:
                await _until(lambda: bool(running.scheduler.released))
                await _until(lambda: running.shared.buffers.held() > 500 * _KIB)
                assert running.caller_server.traffic.open == 1
                await caller.read(0, most=len(body))
                await _until(lambda: not running.caller_server.traffic.open)
            assert not running.shared.buffers.held()

    asyncio.run(scenario())


def test_response_beyond_its_bound_is_read_at_the_pace_of_its_caller() -> None:
    """The server may cut it off then; what was accepted still arrives."""

    async def scenario() -> None:
        accounts = held_bytes.HeldBytes(response_bound=64 * _KIB)
        whole = _streams(1, _EVENTS, is_complete=True)
        changes = {**_STREAM, 'accounts': accounts}
        async with _running(whole, **changes) as (running, _):
            meter = running.shared.buffers.meter
            async with _calling(running) as caller:
                await asyncio.sleep(2 * _UNREAD_SECONDS)
                assert 32 * _KIB < accounts.total <= 64 * _KIB
                received = await caller.read(0)
                assert running.scheduler.released == [requests.Outcome.failed]
            paused = meter.total(metricnames.READING_PAUSED, 'response')
        assert paused == 1
        assert len(caller.events()) > 64
        assert caller.events() == list(range(1, len(caller.events()) + 1))
        assert not received.endswith(_END)

    asyncio.run(scenario())
