"""The caller's side of one request: the answer on its way to the caller."""

import asyncio
import typing

from aiohttp import web
from geraniumweir.gateway import codec, outcomes


class ResponseWriter:
    """Gives one answer to one caller.

    :ivar resp: the answer that has begun, or None.
    :ivar aborted: the answer was broken off.
    """

    def __init__(self, req: web.BaseRequest, closes: bool) -> None:
        """Begin nothing yet.

        :param closes: the connection is to end with this answer.
        """
        self.resp: web.StreamResponse | None = None
        self.aborted = False
        self._req = req
        self._closes = closes

    def close_after(self) -> None:
        """End the connection with this answer."""
        self._closes = True

    def complete(self, answer: outcomes.CompleteResponse) -> web.Response:
        """Make the response of a whole answer."""
        resp = web.Response(
            status=answer.head.status,
            headers=answer.head.headers,
            body=answer.body,
        )
        return self.finish(resp)

    def finish(self, resp: web.Response) -> web.Response:
        """Take a response as the answer."""
        if self._closes:
            resp.force_close()
        self.resp = resp
        return resp

    async def begin(self, head: codec.ResponseHead) -> None:
        """Send the head of a stream."""
        resp = web.StreamResponse(
            status=head.status,
            headers=head.headers,
        )
        if self._closes:
            resp.force_close()
        self.resp = resp
        await resp.prepare(self._req)

    async def write(self, chunk: bytes) -> None:
        """Send whole events.

        :raises ConnectionError: when the caller has gone.
        """
        resp = typing.cast(web.StreamResponse, self.resp)
        await resp.write(chunk)

    async def end(self) -> None:
        """End a whole stream."""
        resp = typing.cast(web.StreamResponse, self.resp)
        await resp.write_eof()

    def abort(self) -> web.StreamResponse:
        """End the connection, so that the answer can't look whole."""
        self.aborted = True
        transport = self._req.transport
        if transport is not None:
            transport.close()
        return self.resp or web.Response(status=_BAD_GATEWAY)


_BAD_GATEWAY = 502


def now() -> float:
    """Give the time of the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
