"""Protection of an entry host that gets far more connections than others.

A load balancer may lead most new connections to one host. Requests that it
reads then wait for its thread, while the others idle. A connection that is
closed before its request is read shows the caller at once that it can go to
another host. If all hosts are equally busy, that would only lose requests, so
connections are refused only where this host's share of all requests is well
above an equal one.
"""

import asyncio
import resource
import typing

import aiohttp
from aiohttp import web, web_protocol
from geraniumweir.common import eventlog, timers
from geraniumweir.gateway import logevents
from geraniumweir.routing import tables

# Period of the timer whose lateness is the delay of the event loop.
_PERIOD_SECONDS = 0.05
# Events of a busy host wait this long for its thread; a request takes several.
_MAX_DELAY_SECONDS = 0.15
# Multiple of an equal share of all requests.
_MIN_SHARE_RATIO = 1.5
# File descriptors for connections to servers and hosts, and for files.
_RESERVED_DESCRIPTORS = 600
_MIN_CONNECTIONS = 64
# Requests that are read on a connection behind the one that is served.
_REQUESTS_AHEAD = 1
# Heads that a document allows are smaller.
_MAX_HEAD_BYTES = 262144
# Interval of the checks for connections that can be closed.
_CHECK_SECONDS = 0.1
_MS = 1000


class Overload:
    """Decides whether new connections of callers are accepted."""

    def __init__(
        self,
        clock: timers.TimerService,
        share_ratio: typing.Callable[[], float],
    ) -> None:
        """Measure from now on.

        :param share_ratio: returns this host's share of all requests, relative
            to an equal share.
        """
        self._clock = clock
        self._share_ratio = share_ratio
        self._measured_at = clock.now()
        self._delay = float(0)
        self._refuses = False
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_connections = max(
            soft_limit - _RESERVED_DESCRIPTORS, _MIN_CONNECTIONS
        )
        self._subscription = clock.every(_PERIOD_SECONDS).subscribe(
            lambda _: self._measure()
        )

    def close(self) -> None:
        """Stop measuring."""
        self._subscription.dispose()

    def is_full(self, connections: int) -> bool:
        """Return whether no descriptors are left for a new connection.

        :param connections: number of open ones.
        """
        return connections >= self._max_connections

    def accepts(self, connections: int) -> bool:
        """Return whether a new connection is accepted.

        :param connections: number of open ones.
        """
        busy = max(self._delay, self._pending_delay()) > _MAX_DELAY_SECONDS
        refuses = self.is_full(connections) or (
            busy and self._share_ratio() > _MIN_SHARE_RATIO
        )
        if refuses != self._refuses:
            self._refuses = refuses
            eventlog.emit(
                logevents.CONNECTIONS_REFUSED
                if refuses
                else logevents.CONNECTIONS_ACCEPTED,
                connections=connections,
                delay_ms=round(self._delay * _MS),
            )
        return not refuses

    def _measure(self) -> None:
        self._delay = self._pending_delay()
        self._measured_at = self._clock.now()

    def _pending_delay(self) -> float:
        """Return the seconds by which the next measurement is late."""
        since = self._clock.now() - self._measured_at
        return max(since - _PERIOD_SECONDS, 0)


class Refusal(asyncio.Protocol):
    """A connection that is closed before anything is read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        typing.cast(asyncio.Transport, transport).abort()


class CallerConnection(web_protocol.RequestHandler):
    """Connection of a caller, whose bytes ahead of a response are bounded.

    The library reads ahead 32 requests with their bodies, and bounds each field
    of a head but not their sum.
    """

    __slots__ = ('_body', '_head_bytes', '_waits_since', 'is_busy')

    def __init__(
        self,
        manager: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        **options: typing.Any,
    ) -> None:
        """Initialize a new connection.

        :param options: those of the library.
        """
        super().__init__(manager, loop=loop, **options)
        self._max_msg_queue_size = _REQUESTS_AHEAD
        self._msg_queue_resume_size = 0
        self._parser = web_protocol.HttpRequestParser(
            self,
            loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=options.get('auto_decompress', True),
            max_msg_queue_size=_REQUESTS_AHEAD,
        )
        self._body: aiohttp.StreamReader | None = None
        self._head_bytes = 0
        self._waits_since = loop.time()
        self.is_busy = False

    def begin_request(self) -> None:
        """Record that a request is served."""
        self.is_busy = True

    def end_request(self) -> None:
        """Record that the next request is waited for."""
        self.is_busy = False
        self._waits_since = self._loop.time()

    def is_overdue(self, limits: tables.Limits) -> bool:
        """Return whether its caller takes longer than the limits allow."""
        waited = self._loop.time() - self._waits_since
        in_time = (
            limits.header_seconds if self._head_bytes else limits.idle_seconds
        )
        return not self.is_busy and waited > in_time

    def data_received(self, content: bytes) -> None:
        """Parse bytes; end the connection where a head goes on for too long."""
        was_in_head = self._body is None or self._body.is_eof()
        requests = self._request_count
        super().data_received(content)
        if self._request_count > requests:
            self._body = self._messages[-1][1]
        elif was_in_head and not self._messages:
            if not self._head_bytes:
                self._waits_since = self._loop.time()
            self._head_bytes += len(content)
            if self._head_bytes > _MAX_HEAD_BYTES:
                self.force_close()
            return
        self._head_bytes = 0


class CallerSideServer(web.Server):
    """HTTP server that refuses connections when the host is overloaded.

    :ivar overload: decides that; None accepts all.
    :ivar get_limits: returns the limits for callers.
    """

    overload: Overload | None = None
    get_limits: typing.Callable[[], tables.Limits] = tables.Limits

    def __init__(self, handler: typing.Any, **options: typing.Any) -> None:
        """Initialize without connections.

        :param options: those of the library.
        """
        super().__init__(handler, **options)
        self._checked_at = float(0)

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        open_connections = len(self.connections)
        if self.overload and self.overload.is_full(open_connections):
            open_connections -= self._close_overdue()
        if self.overload and not self.overload.accepts(open_connections):
            return Refusal()
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def _close_overdue(self) -> int:
        """Close the connections of callers that take too long.

        :returns: their number.
        """
        now = self._loop.time()
        if now - self._checked_at < _CHECK_SECONDS:
            return 0
        self._checked_at = now
        limits = self.get_limits()
        overdue = [
            conn
            for conn in self.connections
            if isinstance(conn, CallerConnection) and conn.is_overdue(limits)
        ]
        for conn in overdue:
            conn.force_close()
        return len(overdue)
