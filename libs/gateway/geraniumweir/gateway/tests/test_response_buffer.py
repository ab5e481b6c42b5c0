"""Bounds of held bytes and stalled callers, with callers in virtual time."""

import asyncio
import dataclasses
import socket
import types
import typing

import pytest
from aiohttp import base_protocol, http_writer
from geraniumweir.common import virtual
from geraniumweir.gateway import (
    held_bytes,
    request_record,
    response_buffer,
)
from geraniumweir.observe import metricnames, metrics

_KIB = 1024
_BOUND = 1024 * _KIB
_RESPONSE_BOUND = 128 * _KIB


class _Transport(asyncio.Transport):
    """Transport whose peer takes bytes when a test says so.

    :ivar taken: bytes that the peer has taken.
    :ivar writes: number of writes.
    """

    def __init__(
        self, protocol: base_protocol.BaseProtocol, is_fast: bool
    ) -> None:
        super().__init__()
        self.taken = bytearray()
        self.writes = 0
        self.is_aborted = False
        self.is_half_closed = False
        self.on_abort: typing.Callable[[], None] = lambda: None
        self._protocol = protocol
        self._is_fast = is_fast
        self._unsent = bytearray()
        self._low = 16 * _KIB
        self._high = 64 * _KIB

    def write(self, data: typing.Any) -> None:
        self.writes += 1
        self._unsent.extend(data)
        if self._is_fast:
            self.take(len(self._unsent))
        self._pause()

    def take(self, size: int) -> None:
        """Let the peer take bytes."""
        self.taken += self._unsent[:size]
        del self._unsent[:size]
        if self._protocol.writing_paused and len(self._unsent) <= self._low:
            self._protocol.resume_writing()

    def get_write_buffer_size(self) -> int:
        return len(self._unsent)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._high = 64 * _KIB if high is None else high
        self._low = self._high // 4 if low is None else low
        self._pause()

    def is_closing(self) -> bool:
        return self.is_aborted or self.is_half_closed

    def abort(self) -> None:
        self.is_aborted = True
        self.on_abort()
        self._unsent.clear()
        self._protocol.connection_lost(None)

    def get_extra_info(
        self, name: str, default: typing.Any = None
    ) -> typing.Any:
        return default

    def _pause(self) -> None:
        too_much = len(self._unsent) > self._high
        if too_much and not self._protocol.writing_paused:
            self._protocol.pause_writing()


@dataclasses.dataclass(slots=True)
class _Caller:
    """A caller with the response to it."""

    transport: _Transport
    buffer: response_buffer.ResponseBuffer

    @property
    def held(self) -> int:
        return self.transport.get_write_buffer_size()


class _Host:
    """Callers of one host."""

    def __init__(
        self,
        bound: int = _BOUND,
        response_bound: int = _RESPONSE_BOUND,
        buffers: response_buffer.ResponseBuffers | None = None,
    ) -> None:
        self.meter = metrics.Metrics()
        self.buffers = buffers or response_buffer.ResponseBuffers(
            self.meter, held_bytes.HeldBytes(bound, response_bound)
        )

    def add(self, is_fast: bool = False) -> _Caller:
        loop = asyncio.get_running_loop()
        protocol = base_protocol.BaseProtocol(loop)
        transport = _Transport(protocol, is_fast)
        protocol.transport = transport
        req: typing.Any = types.SimpleNamespace(
            writer=http_writer.StreamWriter(protocol, loop),
            transport=transport,
        )
        record = request_record.RequestRecord('r', loop.time())
        return _Caller(transport, self.buffers.open(req, record))

    def paused(self, bound: held_bytes.Bound) -> int:
        return self.meter.total(metricnames.READING_PAUSED, bound.value)


async def _write_all(caller: _Caller, content: bytes, size: int) -> None:
    for start in range(0, len(content), size):
        await caller.buffer.write(content[start : start + size])


async def _take_steadily(caller: _Caller, size: int) -> None:
    while True:
        await asyncio.sleep(0.1)
        caller.transport.take(size)


def _numbered(count: int) -> bytes:
    """Return bytes of which every position can be told."""
    return b''.join(b'%07d\n' % number for number in range(count))


def test_caller_that_reads_at_once_costs_one_write_for_each_chunk() -> None:
    """The usual case must need no task, timer or second copy."""

    async def scenario() -> None:
        host = _Host()
        caller = host.add(is_fast=True)
        tasks = len(asyncio.all_tasks())
        await _write_all(caller, bytes(64 * _KIB), 512)
        assert caller.transport.writes == 128
        assert len(caller.transport.taken) == 64 * _KIB
        assert host.buffers._timer is None
        assert len(asyncio.all_tasks()) == tasks

    virtual.run(scenario())


def test_many_slow_callers_get_all_bytes_within_both_bounds() -> None:
    """Bytes held beyond a bound would end the process for want of memory."""

    async def scenario() -> None:
        host = _Host()
        callers = [host.add() for _ in range(40)]
        content = _numbered(40 * _KIB)
        takers = [
            asyncio.create_task(_take_steadily(caller, 2 * _KIB * (one + 1)))
            for one, caller in enumerate(callers)
        ]
        writers = [
            asyncio.create_task(_write_all(caller, content, 3000))
            for caller in callers
        ]
        most = 0
        while not all(writer.done() for writer in writers):
            await asyncio.sleep(0.01)
            sizes = [caller.held for caller in callers]
            most = max(most, sum(sizes))
            assert sum(sizes) <= _BOUND
            assert max(sizes) <= _RESPONSE_BOUND
        for caller in callers:
            await caller.buffer.deliver()
            assert bytes(caller.transport.taken) == content
            caller.buffer.close()
        assert most > _BOUND * 0.9
        assert host.paused(held_bytes.Bound.host) > 0
        assert not host.buffers.accounts.total
        for taker in takers:
            taker.cancel()

    virtual.run(scenario())


def test_largest_response_gives_way_at_the_bound_of_the_host() -> None:
    """A caller that reads nothing must not stop the reading for others."""

    async def scenario() -> None:
        host = _Host(bound=256 * _KIB, response_bound=224 * _KIB)
        large, small = host.add(), host.add()
        await _write_all(large, bytes(200 * _KIB), _KIB)
        growing = asyncio.create_task(
            _write_all(large, bytes(24 * _KIB), _KIB),
        )
        await _write_all(small, bytes(26 * _KIB), _KIB)
        await asyncio.sleep(1)
        assert not growing.done()
        assert host.paused(held_bytes.Bound.host) == 1
        # A caller that reads at once is served although nothing is free.
        fast = host.add(is_fast=True)
        await _write_all(fast, bytes(100 * _KIB), 10 * _KIB)
        # Room for the large one comes only when the small ones have enough.
        large.transport.take(100 * _KIB)
        await asyncio.sleep(0.2)
        assert growing.done()

    virtual.run(scenario())


def test_response_waits_at_its_own_bound_until_its_caller_reads() -> None:
    """Counted and logged once, however often it waits."""

    async def scenario() -> None:
        host = _Host()
        caller = host.add()
        writing = asyncio.create_task(
            _write_all(caller, bytes(512 * _KIB), 10 * _KIB),
        )
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert caller.held <= _RESPONSE_BOUND
            caller.transport.take(4 * _KIB)
        assert writing.done()
        assert host.paused(held_bytes.Bound.response) == 1

    virtual.run(scenario())


def test_plain_response_takes_room_from_streams() -> None:
    """Its bytes are in the same memory; it never waits for room itself."""

    async def scenario() -> None:
        host = _Host()
        plain, stream = host.add(), host.add()
        plain.buffer.count_read(2 * _BOUND)
        assert host.buffers.held() == 2 * _BOUND
        writing = asyncio.create_task(
            _write_all(stream, bytes(64 * _KIB), _KIB),
        )
        await asyncio.sleep(1)
        assert not writing.done()
        assert stream.held <= held_bytes.RESERVED
        plain.buffer.close()
        await asyncio.sleep(0.1)
        assert writing.done()

    virtual.run(scenario())


async def _wait_for_server(caller: _Caller) -> None:
    """Wait like a reader to which the server sends nothing for 40 s."""
    await asyncio.sleep(40)
    await caller.buffer.write(b'x')


@pytest.mark.parametrize(
    'wait',
    [
        lambda caller: caller.buffer.write(bytes(100 * _KIB)),
        lambda caller: caller.buffer.deliver(),
        _wait_for_server,
    ],
    ids=['for room', 'for the end', 'for the server'],
)
def test_caller_that_reads_nothing_loses_its_connection(
    wait: typing.Callable[[_Caller], typing.Awaitable[None]],
) -> None:
    """Its bytes would be held until the process ends."""

    async def scenario() -> float:
        caller = _Host().add()
        await caller.buffer.write(bytes(100 * _KIB))
        loop = asyncio.get_running_loop()
        aborted_at = loop.create_future()
        caller.transport.on_abort = lambda: aborted_at.set_result(loop.time())
        async with asyncio.timeout(60):
            with pytest.raises(ConnectionError):
                await wait(caller)
        caller.buffer.close()
        return await aborted_at

    assert 30 <= virtual.run(scenario()) <= 32


def test_caller_that_reads_little_keeps_its_connection() -> None:
    """One that is slow for minutes still gets its response."""

    async def scenario() -> None:
        caller = _Host().add()
        await caller.buffer.write(bytes(10 * _KIB))
        for _ in range(9):
            await asyncio.sleep(28)
            caller.transport.take(_KIB)
            assert not caller.transport.is_aborted
        caller.transport.take(2 * _KIB)
        await caller.buffer.deliver()

    virtual.run(scenario())


def _acknowledged(transport: asyncio.Transport) -> int:
    """Return how many of 8 MiB the peer has acknowledged."""
    unsent = transport.get_write_buffer_size()
    return 8192 * _KIB - unsent - response_buffer._unacknowledged(transport)


def test_bytes_in_the_socket_count_until_the_caller_acknowledges_them() -> None:
    """A slow caller would look stalled while the kernel's buffer is sent."""

    async def scenario() -> None:
        tcp = socket.create_server(('127.0.0.1', 0))
        with tcp, socket.create_connection(tcp.getsockname()) as peer:
            accepted, _ = tcp.accept()
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(
                asyncio.Protocol, sock=accepted
            )
            transport.write(bytes(8192 * _KIB))
            await asyncio.sleep(0.1)
            before = _acknowledged(transport)
            assert before < 8192 * _KIB - transport.get_write_buffer_size()
            peer.recv(1024 * _KIB)
            await asyncio.sleep(0.1)
            assert _acknowledged(transport) > before
            transport.abort()

    asyncio.run(scenario())


def test_gauge_shows_the_bytes_held_by_a_host() -> None:
    """Operators see by it whether the memory for slow callers is short."""

    async def scenario() -> str:
        meter = metrics.Metrics()
        buffers = response_buffer.make_buffers(meter, 64 * _KIB * _KIB)
        caller = _Host(buffers=buffers).add()
        await caller.buffer.write(bytes(100))
        return meter.exposition()

    assert 'geraniumweir_held_bytes 100.0' in virtual.run(scenario())


def test_bound_of_the_host_is_a_quarter_of_its_memory() -> None:
    """A host of 200 MiB that held more could be killed."""
    assert held_bytes.bound_of(200 * _KIB * _KIB) == 50 * _KIB * _KIB
    assert held_bytes.bound_of(None) == 64 * _KIB * _KIB


def test_connection_that_closes_keeps_no_bytes() -> None:
    """A transport that closes sends on for as long as its peer hangs."""

    async def scenario() -> None:
        host = _Host()
        caller = host.add()
        await caller.buffer.write(bytes(100 * _KIB))
        caller.transport.is_half_closed = True
        caller.buffer.close()
        assert (caller.held, host.buffers.held()) == (0, 0)

    virtual.run(scenario())
