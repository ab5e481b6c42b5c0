"""Writes the response to one request to its caller."""

import asyncio
import typing

from aiohttp import web
from geraniumweir.gateway import codec, outcomes


class ResponseWriter:
    """Writer of one response to one caller.

    :ivar resp: the response that was started, or None.
    :ivar aborted: whether the connection was closed before its end.
    """

    def __init__(self, req: web.BaseRequest, close_connection: bool) -> None:
        """Initialize without a response.

        :param close_connection: whether to close it after this response.
        """
        self.resp: web.StreamResponse | None = None
        self.aborted = False
        self._req = req
        self._close_connection = close_connection

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
        """Send complete events.

        :raises ConnectionError: if the caller closed its connection.
        """
        resp = typing.cast(web.StreamResponse, self.resp)
        await resp.write(chunk)

    async def end(self) -> None:
        """End a complete stream."""
        resp = typing.cast(web.StreamResponse, self.resp)
        await resp.write_eof()

    def abort(self) -> web.StreamResponse:
        """Close the connection, so that the response can't look complete."""
        self.aborted = True
        transport = self._req.transport
        if transport is not None:
            transport.close()
        return self.resp or web.Response(status=_BAD_GATEWAY)


_BAD_GATEWAY = 502


def now() -> float:
    """Return the time of the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
