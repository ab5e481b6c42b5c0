"""One HTTP exchange with a caller: the request and its response."""

import asyncio
import contextlib
import dataclasses
import json
import typing

import multidict
from aiohttp import web
from geraniumweir.common import errors, ids

_SSE = 'text/event-stream'
_ERROR_EVENT_SECONDS = 1.0
_MS = 1000


class _DelayedHeadResponse(web.StreamResponse):
    """A response that sends its headers together with its first bytes.

    The first bytes always follow at once, so nothing is delayed, and one
    system call is saved before the first token.
    """

    _send_headers_immediately = False


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request and its response.

    :ivar arrival: time of arrival on the loop's clock, in seconds.
    :ivar head: headers of every response, as far as they are known.
    :ivar resp: the response, once its headers were sent.
    :ivar caller_gone: whether the caller disconnected from a request that
        had to go on.
    """

    req: web.Request
    request_id: ids.RequestId
    arrival: float
    body: bytes = b''
    traceparent: str | None = None
    head: dict[str, str] = dataclasses.field(default_factory=dict)
    resp: web.StreamResponse | None = None
    caller_gone: bool = False

    async def start(
        self,
        status: int,
        headers: multidict.CIMultiDict[str],
    ) -> None:
        """Send status and headers of the response.

        :raises ConnectionError: when the caller has disconnected.
        """
        resp = _DelayedHeadResponse(status=status, headers=headers)
        resp.headers.update(self.head)
        resp.headers['X-Ran'] = ids.Ran.yes.value
        await resp.prepare(self.req)
        self.resp = resp

    async def write(self, chunk: bytes) -> None:
        """Send bytes; waits while the caller is slow.

        :raises ConnectionError: when the caller has disconnected.
        """
        if self.resp is not None:
            await self.resp.write(chunk)

    async def end(self) -> web.StreamResponse:
        """End a complete response."""
        if self.resp is None:
            raise ConnectionError('the answer was never started')
        await self.resp.write_eof()
        return self.resp

    async def refuse(self, refusal: errors.Refusal) -> web.StreamResponse:
        """Refuse the request.

        Before the headers were sent, the refusal is the response. After
        them, an event stream ends with an error event. The connection is
        aborted where the event can't be sent within 1 s, and for any other
        response.
        """
        if self.resp is None:
            return self._refusal(refusal)
        if self.resp.content_type != _SSE:
            self._abort()
            return self.resp
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(_ERROR_EVENT_SECONDS):
                await self.resp.write(_error_event(refusal))
                await self.resp.write_eof()
                return self.resp
        self._abort()
        return self.resp

    def _refusal(self, refusal: errors.Refusal) -> web.Response:
        resp = web.json_response(refusal.as_json(), status=refusal.status)
        resp.headers.update(self.head)
        resp.headers['X-Ran'] = refusal.ran.value
        if refusal.retry_after_ms is not None:
            seconds = -(-refusal.retry_after_ms // _MS)
            resp.headers['Retry-After'] = str(seconds)
        return resp

    def _abort(self) -> None:
        transport = self.req.transport
        if transport is not None:
            transport.abort()


def _error_event(refusal: errors.Refusal) -> bytes:
    return f'event: error\ndata: {json.dumps(refusal.as_json())}\n\n'.encode()


def initial_headers(request_id: ids.RequestId) -> dict[str, str]:
    """Return the response headers known on arrival."""
    return {'X-Request-Id': request_id}


def add_route(
    head: dict[str, typing.Any],
    pool: ids.PoolName,
    tier: ids.Tier,
) -> None:
    """Add the response headers known once a rule has matched."""
    head['X-Pool'] = pool
    head['X-Tier'] = str(int(tier))
