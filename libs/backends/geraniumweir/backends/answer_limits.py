"""Ends connections to servers whose bytes are no answer.

The HTTP parser skips interim answers and extensions of chunks, however many
come. Here the received bytes are compared with the body that came of them.
It also takes any three digits for a status, repairs malformed heads, and gives
bodies in unknown transfer codings as they come.
Bytes behind an answer end the use of its connection, and leave the answer as
it is.
Load: each piece that a socket delivers, up to some ten thousand a second.
"""

import asyncio
import collections
import functools
import socket
import typing

import aiohttp
import multidict
from aiohttp import client_proto, http_parser
from geraniumweir.backends import heads, sockets

# Bytes for the head with all interim answers before it, and for the lines
# between chunks that hold little.
_FRAMING_BYTES = 65536
# A chunk of one byte has five bytes around it.
_FRAMING_RATIO = 8
# An extra answer comes soon after the first.
_KEPT_REQUESTS = 8
# Transfer codings whose bodies the parser gives as the server made them.
_CODINGS = frozenset(('chunked', 'identity'))
# Longer than the check whether a server goes on behind the end of an answer.
_ENDED_SECONDS = 3.0
# RFC 9110, section 15.
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
# No request asks for another protocol.
_SWITCHING_STATUS = 101


class BoundedHandler(client_proto.ResponseHandler):
    """Reads answers from one connection.

    :ivar requests: ids of the last requests that were answered on it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize for a new connection."""
        super().__init__(loop)
        self.requests: collections.deque[str] = collections.deque(
            maxlen=_KEPT_REQUESTS
        )
        self._ends = ''
        self._exchanges = 0
        self._received = 0
        self._read_before = 0
        self._body: aiohttp.StreamReader | None = None
        self._has_surplus = False
        self._head = heads.HeadChecker()
        self._is_head_checked = False
        self._kept = b''
        self._is_request_cut = False
        self._ended: socket.socket | None = None

    @property
    def exchange(self) -> str:
        """Both ends of the connection and the number of its requests."""
        return f'{self._ends}/{self._exchanges}'

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with a connection."""
        super().connection_made(transport)
        here = transport.get_extra_info('sockname')
        there = transport.get_extra_info('peername')
        if here and there:
            self._ends = f'{here[0]}:{here[1]}-{there[0]}:{there[1]}'

    def set_response_params(self, **options: typing.Any) -> None:
        """Prepare for the next answer."""
        self._exchanges += 1
        self._received = 0
        self._read_before = 0
        self._body = None
        self._head = heads.HeadChecker()
        self._is_head_checked = False
        super().set_response_params(**options)

    def feed_data(self, answer: typing.Any, size: int = 0) -> None:
        """Take an answer's head from the parser."""
        if self.exception() is not None:
            return
        head, body = answer
        fault = self._fault_of(head)
        if fault:
            self._end(aiohttp.ClientPayloadError(fault))
            return
        self._is_head_checked = False
        if head.code >= _MIN_FINAL_STATUS:
            self._read_before = self._read
            self._body = body
        super().feed_data(answer, size)

    def _fault_of(self, head: http_parser.RawResponseMessage) -> str:
        """Return why a head is not that of an answer, or nothing."""
        if not self._is_head_checked:
            return 'a head came unchecked'
        if not _is_status(head.code):
            return f'status {head.code}'
        if not _has_known_framing(head.headers):
            return 'unknown framing'
        return ''

    @property
    def should_close(self) -> bool:
        """Return whether the connection ends with its present answer."""
        return super().should_close or self._begins_another()

    def _begins_another(self) -> bool:
        """Return whether bytes behind a whole answer begin another one.

        The next request gets a parser of its own, which would read the rest
        of them as the begin of its answer.
        """
        if self._kept:
            return True
        if self._parser is None:
            return False
        try:
            begun = self._parser.feed_eof()
        except Exception:
            return True
        return begun is not None or bool(getattr(self._parser, '_tail', b''))

    def is_connected(self) -> bool:
        """Return whether the connection may be used.

        Bytes after a whole answer belong to no request that is sent later.
        """
        return super().is_connected() and not self._has_surplus

    def data_received(self, content: bytes) -> None:
        """Parse bytes, and end the connection where they are no answer."""
        if content and self._body is not None and self._body.is_eof():
            self._has_surplus = True
        self._received += len(content)
        for piece in self._pieces(content):
            super().data_received(piece)
        if self.exception() is not None:
            # The compiled parser fails without a word to the body's reader.
            self._end_body(aiohttp.ClientPayloadError('malformed bytes'))
        # Bytes wait unparsed while the body's reader is slow.
        elif not self._reading_paused:
            self._check()

    def _pieces(self, content: bytes) -> typing.Iterator[bytes]:
        """Split bytes where a head begins or ends.

        Of a piece with bytes that it can't read, the parser gives no answer,
        even if a whole one ends before them.
        """
        if not content:
            # Has the parser go on with bytes that it kept.
            yield content
        content = self._kept + content
        self._kept = b''
        start = 0
        while start < len(content) and self.exception() is None:
            if self._reading_paused:
                # Where the body ends isn't known before it is parsed.
                self._kept = content[start:]
                break
            end = self._piece_end(content, start)
            if end > start:
                yield content[start:end]
            start = end

    def _piece_end(self, content: bytes, start: int) -> int:
        """Return the end of the bytes of the present head or body.

        The end of a body is known once it is parsed, so that all bytes up to
        the possible begin of a head are taken for its part.

        :returns: the start itself if the bytes are not part of a head.
        """
        if self._body is not None and not self._body.is_eof():
            begin = heads.find_mark(content, start + 1)
            return len(content) if begin < 0 else begin
        try:
            end = self._head.feed(content, start)
        except heads.MalformedHeadError as exc:
            self._end(exc)
            return start
        self._is_head_checked = self._head.complete
        return end

    def eof_received(self) -> None:
        """Notice a server that closes before it has the whole request."""
        super().eof_received()
        if self.transport is not None:
            sock = self.transport.get_extra_info('socket')
            self._is_request_cut = not sockets.is_delivered(sock)
            if self._body is not None and not self._body.is_eof():
                self._ended = sock.dup()
                self._loop.call_later(_ENDED_SECONDS, self.forget_end)

    def was_reset(self) -> bool:
        """Return whether the server reset the connection behind its end."""
        return self._ended is not None and not sockets.is_delivered(self._ended)

    def forget_end(self) -> None:
        """Let go of a connection that ended with a body."""
        if self._ended is not None:
            self._ended.close()
            self._ended = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """End with a connection; an answer that is whole stays whole."""
        if exc is None and self._is_request_cut:
            exc = ConnectionResetError('the request was not read')
        if self._body is not None and self._body.is_eof():
            self._payload = None
        super().connection_lost(exc)

    @property
    def _read(self) -> int:
        """Bytes of the bodies that came since the request was sent."""
        found = 0 if self._body is None else self._body.total_bytes
        return self._read_before + found

    def _check(self) -> None:
        read = self._read
        if self._received > _FRAMING_BYTES + (1 + _FRAMING_RATIO) * read:
            reason = f'{self._received} bytes received, {read} of a body'
            self._end(aiohttp.ClientPayloadError(reason))

    def _end_body(self, exc: Exception) -> None:
        """Let reading a body fail, unless it is whole or has failed."""
        body = self._body
        if body is None or body.is_eof() or body.exception() is not None:
            return
        body.set_exception(exc)

    def _end(self, exc: Exception) -> None:
        self._end_body(exc)
        self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()


def _is_status(code: int) -> bool:
    """Return whether an answer to a request may have a status."""
    return _MIN_STATUS <= code <= _MAX_STATUS and code != _SWITCHING_STATUS


def _has_known_framing(headers: multidict.CIMultiDictProxy[str]) -> bool:
    """Return whether the bytes of a body are known from those received."""
    codings = headers.getall('Transfer-Encoding', [])
    lengths = headers.getall('Content-Length', [])
    return len(codings) + len(lengths) <= 1 and all(
        coding.lower() in _CODINGS for coding in codings
    )


def apply(connector: aiohttp.BaseConnector) -> None:
    """Have all new connections of a connector read by these handlers."""
    make = functools.partial(BoundedHandler, asyncio.get_running_loop())
    connector._factory = make  # noqa: WPS437
