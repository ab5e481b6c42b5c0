"""Writes the response to one request to its caller."""

import asyncio
import typing

import aiohttp
from aiohttp import helpers, web
from geraniumweir.gateway import (
    codec,
    outcomes,
    request_record,
    response_buffer,
)


class ResponseWriter:
    """Writer of one response to one caller.

    :ivar resp: the response that was started, or None.
    :ivar aborted: whether the connection was closed before its end.
    """

    def __init__(
        self,
        req: web.BaseRequest,
        close_connection: bool,
        buffers: response_buffer.ResponseBuffers,
        record: request_record.RequestRecord,
    ) -> None:
        """Initialize without a response.

        :param close_connection: whether to close it after this response.
        """
        self.resp: web.StreamResponse | None = None
        self.aborted = False
        self._req = req
        self._close_connection = close_connection
        self._buffers = buffers
        self._record = record
        self._buffer: response_buffer.ResponseBuffer | None = None

    @property
    def buffer(self) -> response_buffer.ResponseBuffer:
        """The buffer of the response, from its first bytes on."""
        if self._buffer is None:
            self._buffer = self._buffers.open(self._req, self._record)
        return self._buffer

    def request_close(self) -> None:
        """Close the connection after this response."""
        self._close_connection = True

    def complete(self, answer: outcomes.CompleteResponse) -> web.Response:
        """Return the response made from a server's complete response."""
        resp = web.Response(
            status=answer.head.status,
            headers=answer.head.headers,
            body=answer.body,
        )
        return self.finish(resp)

    def finish(self, resp: web.Response) -> web.Response:
        """Return a response after recording it as the one to send."""
        if self._close_connection:
            resp.force_close()
        self.resp = resp
        return resp

    async def begin(self, head: codec.ResponseHead) -> None:
        """Send the head of a stream to the caller."""
        resp = web.StreamResponse(
            status=head.status,
            headers=head.headers,
        )
        if self._close_connection:
            resp.force_close()
        self.resp = resp
        await resp.prepare(self._req)

    async def write(self, chunk: bytes) -> None:
        """Send complete events, or hold them until the caller reads.

        :raises ConnectionError: if the caller closed its connection.
        """
        await self.buffer.write(chunk)

    async def end_stream(self) -> None:
        """Wait until the caller has all events; end a complete stream.

        :raises ConnectionError: if the caller closed its connection.
        """
        if not self.aborted:
            self._req.writer.set_eof()
        await self.buffer.deliver()
        if self.aborted:
            self._close_connection_early()

    async def send(self, resp: web.StreamResponse) -> None:
        """Send a complete response until the caller has it.

        A stream was sent before.

        :raises ConnectionError: if the caller closed its connection.
        """
        if self.aborted or not isinstance(resp, web.Response):
            return
        await resp.prepare(self._req)
        self.buffer.watch()
        if self._has_large_body(resp):
            await self._req.writer.write(_take_body(resp), drain=False)
        await resp.write_eof()
        await self.buffer.deliver()

    def _has_large_body(self, resp: web.Response) -> bool:
        size = len(resp.body) if isinstance(resp.body, bytes) else 0
        return size > _LARGE_BYTES and not helpers.must_be_empty_body(
            self._req.method, resp.status
        )

    def break_off(self) -> web.StreamResponse:
        """Let the connection close after the events that the caller gets.

        The response can't look complete, as its end is missing.
        """
        self.aborted = True
        return self.resp or web.Response(status=_BAD_GATEWAY)

    def abort(self) -> web.StreamResponse:
        """Close the connection at once; held events are discarded."""
        self._close_connection_early()
        return self.break_off()

    def _close_connection_early(self) -> None:
        """Close the connection before the end of the response.

        Without chunks, a connection that is closed would be that end.
        """
        if self._req.version < aiohttp.HttpVersion11:
            self.buffer.reset_connection()
        else:
            self.buffer.close_connection()

    def close(self) -> None:
        """End the accounting of the response."""
        if self._buffer is not None:
            self._buffer.close()


def _take_body(resp: web.Response) -> bytes:
    """Remove and return the body of a response.

    The library would keep it until the caller has read all of it, beside the
    copy in the buffer of the transport.
    """
    body = typing.cast(bytes, resp.body)
    resp.body = None
    return body


_BAD_GATEWAY = 502
# A smaller body is sent in one piece with its head.
_LARGE_BYTES = 65536


def now() -> float:
    """Return the time of the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
