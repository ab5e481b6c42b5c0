"""Bodies of requests, whose bytes are bounded for a host.

A body is kept from its first byte until its request ends, as it may be sent to
another server. It is read only while there is room for it; until then its
bytes wait in the kernel of its caller.
Load: many callers that send large bodies at the same time, or that stop before
the end of one and stay connected.
"""

import asyncio
import types
import typing

import aiohttp
from aiohttp import web
from geraniumweir.common import errors
from geraniumweir.gateway import held_bytes, refusals
from geraniumweir.observe import metricnames, metrics

# A body of usual size arrives within milliseconds; the rest is for callers with
# slow connections.
_BODY_SECONDS = 30.0
# Larger bodies have a bound of their own, and leave smaller ones room.
_SMALL_BYTES = 65536
_SMALL_DIVISOR = 4
# A body is copied once while it is sent to a server that reads slowly.
_COPIES = 2
# A body waits for room so long, in seconds, and checks for it this often.
_ROOM_SECONDS = 0.5
_CHECK_SECONDS = 0.05
# While others wait for room, a body of which nothing came for so many seconds
# makes room.
_STALLED_SECONDS = 2.0
# What the sockets and the parser hold of a body that waits.
_WAITING_BYTES = 262144
_WAITING_DIVISOR = 8
_TOO_LARGE = 413
_TIMED_OUT = 408


class RequestBodies:
    """Bodies of all requests of a host."""

    def __init__(self, bound: int = held_bytes.DEFAULT_BOUND) -> None:
        """Initialize without bodies.

        :param bound: for all of them, in bytes.
        """
        small = bound // _SMALL_DIVISOR
        self._small = held_bytes.HeldBytes(small)
        self._large = held_bytes.HeldBytes(bound - small)
        # Since when more bytes of a body are awaited, the longest first.
        self._awaited: dict['RequestBody', float] = {}
        self._waiting = 0
        self._most_waiting = max(bound // _WAITING_DIVISOR // _WAITING_BYTES, 1)

    def open(self) -> 'RequestBody':
        """Return the body of a request that begins."""
        return RequestBody(self, self._small)

    def held(self) -> int:
        """Return the number of bytes that are held now, copies included."""
        return self._small.total + self._large.total

    def account_for(self, size: int) -> held_bytes.HeldBytes:
        """Return the account that a body of some size belongs to."""
        return self._small if size <= _SMALL_BYTES else self._large

    async def read_chunk(
        self, body: 'RequestBody', content: aiohttp.StreamReader
    ) -> bytes:
        """Return further bytes of a body, none at its end.

        It is stopped if it stalls while others wait for room.
        """
        self._awaited[body] = _now()
        try:
            return await content.readany()
        finally:
            self._awaited.pop(body, None)

    async def wait_for(self, fits: typing.Callable[[], bool]) -> None:
        """Wait until there is room.

        :raises geraniumweir.common.errors.Refused: if there is none in time, or
            if too many wait.
        """
        if self._waiting >= self._most_waiting:
            raise refusals.no_memory()
        give_up_at = _now() + _ROOM_SECONDS
        self._waiting += 1
        try:
            while not fits():
                self._stop_stalled()
                if _now() >= give_up_at:
                    raise refusals.no_memory()
                await asyncio.sleep(_CHECK_SECONDS)
        finally:
            self._waiting -= 1

    def _stop_stalled(self) -> None:
        """Stop the body of which nothing came for the longest time."""
        body = next(iter(self._awaited), None)
        if body is None or _now() - self._awaited[body] < _STALLED_SECONDS:
            return
        self._awaited.pop(body)
        body.stop()


class RequestBody:
    """Body of one request."""

    def __init__(
        self, bodies: RequestBodies, account: held_bytes.HeldBytes
    ) -> None:
        """Initialize without bytes."""
        self._bodies = bodies
        self._account = account
        self._held = account.open()
        self._limit: asyncio.Timeout | None = None

    def __enter__(self) -> 'RequestBody':
        """Return the body itself."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _exc: BaseException | None,
        _trace: types.TracebackType | None,
    ) -> None:
        """End its accounting."""
        self._account.close(self._held)

    async def read(self, req: web.BaseRequest, most: int) -> bytes:
        """Return the whole body.

        :param most: largest number of its bytes.
        :raises geraniumweir.common.errors.Refused: if it is larger, late, or if
            there is no room for it.
        """
        if not req.can_read_body:
            return b''
        if (req.content_length or 0) > most:
            raise _too_large(most)
        try:
            async with asyncio.timeout(_BODY_SECONDS) as limit:
                self._limit = limit
                return await self._read(req, most)
        except TimeoutError as exc:
            raise refusals.permanent(
                _TIMED_OUT, 'body_late', 'the body did not come in time'
            ) from exc

    def stop(self) -> None:
        """End the reading as at its time limit."""
        if self._limit is not None:
            self._limit.reschedule(_now())

    async def _read(self, req: web.BaseRequest, most: int) -> bytes:
        await self._reserve(req.content_length or 0)
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = await self._bodies.read_chunk(self, req.content)
            if not chunk:
                return b''.join(chunks)
            size += len(chunk)
            if size > most:
                raise _too_large(most)
            await self._reserve(size)
            chunks.append(chunk)

    async def _reserve(self, size: int) -> None:
        """Wait for room for the first bytes of the body."""
        wanted = size * _COPIES
        if wanted <= self._held.size:
            return
        account = self._bodies.account_for(size)
        if account is not self._account:
            self._account.close(self._held)
            self._account = account
            self._held = account.open()
        if not self._fits(wanted):
            await self._bodies.wait_for(lambda: self._fits(wanted))
        account.resize(self._held, wanted)

    def _fits(self, wanted: int) -> bool:
        more = wanted - self._held.size
        # One body is read on a host that has little room for any.
        return self._account.total == self._held.size or (
            self._account.fits_whole(self._held, more)
        )


def make_bodies(
    meter: metrics.Metrics, memory_bytes: int | None
) -> RequestBodies:
    """Return the bodies of a host, which its metrics show.

    :param memory_bytes: memory of the host, None if it isn't known.
    """
    bodies = RequestBodies(held_bytes.bound_of(memory_bytes))
    meter.gauge(metricnames.HELD_BODY_BYTES, bodies.held)
    return bodies


def _too_large(most: int) -> errors.Refused:
    return refusals.permanent(
        _TOO_LARGE, 'body_too_large', f'a body may have at most {most} bytes'
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
