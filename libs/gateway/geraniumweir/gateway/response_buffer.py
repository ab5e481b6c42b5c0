"""Read-ahead of responses whose callers read slowly.

A server cuts off a response that stays unread for some seconds. Its bytes are
therefore read at the server's pace and kept in the write buffer of the caller's
transport until the caller takes them. :mod:`geraniumweir.gateway.held_bytes`
decides how many; beyond that the reader of the response waits, so that
back-pressure reaches the server.

A caller that reads at once costs nothing more than the write: the transport
passes the bytes to the socket, and nothing is held.
"""

import asyncio
import fcntl
import functools
import socket
import struct
import termios
import typing

from aiohttp import web
from geraniumweir.gateway import held_bytes, logevents, request_record
from geraniumweir.observe import metricnames, metrics

# Interval of the checks for room while a reader waits for it.
_WAIT_SECONDS = 0.05
# Interval of the checks whether callers stall.
_CHECK_SECONDS = 1.0
# A chunk of HTTP/1.1 has a size line and two line ends.
_FRAMING_BYTES = 16
# A socket that is closed with this option resets its connection.
_NO_LINGER = struct.pack('ii', 1, 0)


class ResponseBuffers:
    """Buffers of all responses of a host.

    :ivar accounts: number of held bytes, as of the last check of each response.
    :ivar meter: counts the responses that are no longer read ahead.
    """

    def __init__(
        self,
        meter: metrics.Metrics,
        accounts: held_bytes.HeldBytes,
    ) -> None:
        """Initialize without responses."""
        self.accounts = accounts
        self.meter = meter
        self._holding: dict['ResponseBuffer', None] = {}
        self._waiting: dict['ResponseBuffer', None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._measured_at = float(0)
        self._checked_at = float(0)

    def open(
        self,
        req: web.BaseRequest,
        record: request_record.RequestRecord,
    ) -> 'ResponseBuffer':
        """Return the buffer of the response to a request."""
        return ResponseBuffer(self, req, record)

    def held(self) -> int:
        """Return the number of bytes that are held now."""
        self._measure()
        return self.accounts.total

    def add_holding(self, buffer: 'ResponseBuffer') -> None:
        """Check a response regularly, as bytes of it are held."""
        if buffer not in self._holding:
            self._holding[buffer] = None
            buffer.held.restart(_now())
            self._schedule(_CHECK_SECONDS)

    def add_waiting(self, buffer: 'ResponseBuffer') -> None:
        """Check regularly whether there is room for a response."""
        self._waiting[buffer] = None
        self._schedule(_WAIT_SECONDS)

    def remove_waiting(self, buffer: 'ResponseBuffer') -> None:
        """Stop the checks for room."""
        self._waiting.pop(buffer, None)

    def remove(self, buffer: 'ResponseBuffer') -> None:
        """Stop all checks of a response."""
        self._waiting.pop(buffer, None)
        self._holding.pop(buffer, None)

    def has_room(self, buffer: 'ResponseBuffer', wanted: int) -> bool:
        """Return whether there is room for bytes of a response.

        The sizes of the other responses are measured again before it is
        denied: they only shrink between the checks.
        """
        if self.accounts.room(buffer.held) >= wanted:
            return True
        if _now() - self._measured_at < _WAIT_SECONDS:
            return False
        self._measure()
        return self.accounts.room(buffer.held) >= wanted

    def count_paused(self, bound: held_bytes.Bound) -> None:
        """Count a response that is no longer read ahead."""
        self.meter.count(metricnames.READING_PAUSED, bound.value)

    def _measure(self) -> None:
        if self._holding:
            self._measured_at = _now()
        for buffer in list(self._holding):
            if not buffer.measure():
                self._holding.pop(buffer)

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due, self._check)

    def _check(self) -> None:
        self._timer = None
        self._measure()
        now = _now()
        if now - self._checked_at >= _CHECK_SECONDS:
            self._checked_at = now
            for holding in list(self._holding):
                holding.check_stall(now)
        for waiting in list(self._waiting):
            waiting.wake()
        if self._waiting:
            self._schedule(_WAIT_SECONDS)
        elif self._holding:
            self._schedule(_CHECK_SECONDS)


class ResponseBuffer:
    """Buffer of one response.

    :ivar held: the account of its bytes.
    """

    def __init__(
        self,
        buffers: ResponseBuffers,
        req: web.BaseRequest,
        record: request_record.RequestRecord,
    ) -> None:
        """Initialize without bytes."""
        self.held = buffers.accounts.open()
        self._buffers = buffers
        self._writer = req.writer
        self._transport = req.transport
        self._record = record
        self._paused = False
        self._has_room: typing.Callable[[], bool] = _always
        self._waiter: asyncio.Future[None] | None = None

    async def write(self, content: bytes) -> None:
        """Send bytes, or hold them until the caller takes them.

        :raises ConnectionError: if the caller closed its connection.
        """
        rest: bytes | memoryview = content
        while rest:
            wanted = len(rest) + _FRAMING_BYTES
            if self._fits(wanted):
                await self._send(rest)
                return
            least = min(wanted, held_bytes.RESERVED)
            await self._wait_for_room(functools.partial(self._has, least))
            rest = await self._write_piece(rest)

    def watch(self) -> None:
        """Check whether the caller stalls, before its bytes are written."""
        self._buffers.add_holding(self)

    async def reserve(self, size: int) -> None:
        """Wait for room for bytes of a response that is sent when it is whole.

        Its caller can take nothing before, so that a response that is partly
        read would wait for others that do the same. The room is therefore for
        the whole response wherever its length is known.

        :raises ConnectionError: if the caller closed its connection.
        """
        while not self._buffers.accounts.fits_whole(self.held, size):
            await self._wait_for_room(
                functools.partial(
                    self._buffers.accounts.fits_whole, self.held, size
                )
            )
        self.count_read(size)

    def count_read(self, size: int) -> None:
        """Count bytes of a response that is read whole before it is sent."""
        self._buffers.accounts.resize(self.held, self.held.size + size)

    async def deliver(self) -> None:
        """Wait until the caller has taken all bytes.

        :raises ConnectionError: if its connection was closed before.
        """
        transport = self._transport
        if transport is None or not self.measure():
            return
        self._buffers.add_holding(self)
        # The writer waits until the size falls to the lower limit.
        transport.set_write_buffer_limits(0)
        await self._writer.drain()
        transport.set_write_buffer_limits()
        if transport.is_closing():
            raise ConnectionResetError('the caller closed its connection')

    def close_connection(self) -> None:
        """Close the connection; bytes that are still held are discarded."""
        if self._transport is not None:
            self._transport.abort()

    def reset_connection(self) -> None:
        """Close the connection so that its peer sees an error."""
        sock = self._transport and self._transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.close_connection()

    def close(self) -> None:
        """End the accounting; a connection that closes keeps no bytes."""
        if self.measure() and self._is_closing():
            self.close_connection()
        self._buffers.remove(self)
        self._buffers.accounts.close(self.held)

    def measure(self) -> int:
        """Return the number of held bytes after recording it."""
        size = 0
        if self._transport is not None:
            size = self._transport.get_write_buffer_size()
        if size != self.held.size:
            self._buffers.accounts.resize(self.held, size)
        return size

    def check_stall(self, now: float) -> None:
        """Close the connection if the caller has taken nothing for too long.

        The caller's task is cancelled when the connection is lost.
        """
        taken = self._writer.output_size - self.held.size
        taken -= _unacknowledged(self._transport)
        if self.held.is_stalled(taken, now):
            self._record.log(
                logevents.CALLER_STALLED,
                now,
                seconds=int(held_bytes.STALL_SECONDS),
                held=self.held.size,
            )
            self.close_connection()

    def wake(self) -> None:
        """Continue the reader of the response if there is room now."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if self._is_closing() or self._has_room():
            waiter.set_result(None)

    def _fits(self, wanted: int) -> bool:
        if not self.measure() and wanted <= held_bytes.RESERVED:
            return True
        return self._buffers.has_room(self, wanted)

    async def _write_piece(
        self, rest: bytes | memoryview
    ) -> bytes | memoryview:
        """Write as much as there is room for, and return what is left."""
        room = self._buffers.accounts.room(self.held) - _FRAMING_BYTES
        if room <= 0:
            return rest
        view = memoryview(rest)
        await self._send(view[:room])
        return view[room:]

    async def _send(self, content: bytes | memoryview) -> None:
        # The writer's own back-pressure would stop the reading at 64 KiB.
        await self._writer.write(content, drain=False)
        if self.measure():
            self._buffers.add_holding(self)

    async def _wait_for_room(self, has_room: typing.Callable[[], bool]) -> None:
        self._has_room = has_room
        if self._is_closing():
            raise ConnectionResetError('the caller closed its connection')
        if has_room():
            return
        self._record_pause()
        self._waiter = asyncio.get_running_loop().create_future()
        self._buffers.add_waiting(self)
        try:
            await self._waiter
        finally:
            self._buffers.remove_waiting(self)
            self._waiter = None

    def _has(self, room: int) -> bool:
        return self._buffers.accounts.room(self.held) >= room

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _record_pause(self) -> None:
        if self._paused:
            return
        self._paused = True
        bound = self._buffers.accounts.limiting_bound(self.held)
        self._buffers.count_paused(bound)
        self._record.log(
            logevents.READING_PAUSED,
            _now(),
            bound=bound.value,
            held=self.held.size,
        )


def make_buffers(
    meter: metrics.Metrics, memory_bytes: int | None
) -> ResponseBuffers:
    """Return the buffers of a host, which its metrics show.

    :param memory_bytes: memory of the host, None if it isn't known.
    """
    bound = held_bytes.bound_of(memory_bytes)
    buffers = ResponseBuffers(meter, held_bytes.HeldBytes(bound))
    meter.gauge(metricnames.HELD_BYTES, buffers.held)
    return buffers


def _always() -> bool:
    return True


def _now() -> float:
    return asyncio.get_running_loop().time()


def _unacknowledged(transport: asyncio.Transport | None) -> int:
    """Return the bytes in the socket that the peer has not acknowledged.

    The kernel reports a socket as writable only after a large part of its
    buffer was sent, so the size of the transport's buffer alone would make a
    caller that reads a few kilobytes per second look stalled.
    """
    sock: typing.Any = transport and transport.get_extra_info('socket')
    if not sock or sock.fileno() < 0:
        return 0
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not every socket can tell; the buffer's size alone is used then.
        return 0
    return int(struct.unpack('i', queued)[0])
