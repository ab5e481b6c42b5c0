"""Calls to backend servers.

A call is sent once. An error tells whether any byte of it can have reached
the server; the answer's chunks are handed on as they come, and the connection
is used again only after the answer ended as HTTP/1.1 says it must [1]_.

References
==========
.. [1] RFC 9112, "HTTP/1.1", section 6.3, "Message Body Length", and section
   9.3.1, "Retrying Requests".
"""

import asyncio
import contextlib
import dataclasses
import types
import typing

import aiohttp
import multidict
import yarl
from geraniumweir.backends import (
    answer_limits,
    errors,
    held_responses,
    sockets,
    surplus,
)
from geraniumweir.common import ids

# A connection to a server that is there takes a few milliseconds, in seconds.
_CONNECT_SECONDS = 1.0
# Shorter than the usual 5 s after which servers close idle connections.
_IDLE_SECONDS = 4.0
# A server that ended an answer without framing goes on for so long, in seconds;
# one that ends closes all its sockets within it. A stream is often cut between
# two events, a plain answer seldom within its body.
_CHECK_SECONDS = 0.03
_STREAM_CHECK_SECONDS = 0.15
# Bytes read of an answer before its reader takes them.
_READ_AHEAD = 16384
# The size of a head is bounded, whatever their number.
_MAX_HEADERS = 16384
_UNNAMED = ('Accept-Encoding', 'User-Agent', 'Accept', 'Content-Type')


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as it goes to a backend server.

    :ivar path: with the query string, as it goes on the wire.
    :ivar sending: number of this sending of the request, from 1.
    :ivar expected: how its answer is told from extra ones to earlier requests
        on its connection, None to take any answer.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes = b''
    sending: int = 1
    expected: held_responses.Expected | None = None


def make_session(
    connect_seconds: float = _CONNECT_SECONDS,
    idle_seconds: float = _IDLE_SECONDS,
) -> aiohttp.ClientSession:
    """Make the session that all calls of a process share.

    It keeps idle connections for less time than servers commonly do, reads
    ahead little, decodes nothing and never repeats a request by itself.

    :param connect_seconds: longest time to make a connection.
    :param idle_seconds: longest time to keep one idle.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle_seconds,
        socket_factory=sockets.make_socket,
    )
    answer_limits.apply(connector)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_UNNAMED,
        max_headers=_MAX_HEADERS,
        read_bufsize=_READ_AHEAD,
        response_class=held_responses.HeldResponse,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_seconds,
        ),
    )
    # The library repeats a GET, PUT or DELETE on a fresh connection when a
    # kept one turns out closed; the server may have run the first.
    session._retry_connection = False  # noqa: WPS437
    return session


class Answer:
    """The head of a server's answer, with its body to come.

    :ivar connection: that it came on, with the number of the request there.
    :ivar framing: what shows where its body ends.

    Used as an asynchronous context manager; when the block ends before the
    body did, the connection is closed.
    """

    def __init__(
        self,
        resp: held_responses.HeldResponse,
        address: ids.Address,
        expected: held_responses.Expected | None = None,
    ) -> None:
        """Take over a response.

        :param resp: whose head has come.
        :param address: of its server.
        :param expected: how extra answers are told, None to tell none.
        """
        self._resp = resp
        self._address = address
        self._expected = expected
        self.connection = _exchange_of(resp)
        self.status = resp.status
        self.headers = resp.headers
        self.framing = resp.framing
        self._handler = None if self.ends_visibly else _handler_of(resp)
        self._lost = None if self._handler is None else self._handler.closed

    async def __aenter__(self) -> 'Answer':
        """Give the answer itself."""
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        exc: BaseException | None,
        _trace: types.TracebackType | None,
    ) -> None:
        """Give the connection back where the answer ended as it should."""
        if exc is None and self._resp.content.at_eof():
            self._resp.release()
        else:
            self._resp.close()

    def abandon(self) -> None:
        """Close the connection, whatever was read from it."""
        self._resp.close()

    @property
    def ends_visibly(self) -> bool:
        """Whether the end of the body can be told from a lost connection."""
        return self._resp.ends_visibly

    @property
    def _streams(self) -> bool:
        kind = self.headers.get('Content-Type', '')
        return kind.startswith('text/event-stream')

    @property
    def length(self) -> int | None:
        """The length the server announced, in bytes, or None."""
        return self._resp.content_length

    async def skip(self) -> None:
        """Read to the end and keep nothing.

        :raises errors.CutShortError: when it breaks off.
        """
        try:
            while not self._resp.content.at_eof():
                await self._resp.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise errors.CutShortError(f'the answer broke off: {exc}') from exc

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Give the body as it comes.

        :raises errors.CutShortError: when it breaks off.
        """
        try:
            if self.ends_visibly:
                async for chunk in self._resp.content.iter_any():
                    yield chunk
            else:
                async for part in self._unframed_chunks():
                    yield part
        except (aiohttp.ClientError, OSError) as exc:
            raise errors.CutShortError(f'the answer broke off: {exc}') from exc

    async def _unframed_chunks(self) -> typing.AsyncIterator[bytes]:
        """Give a body that ends with its connection, or before another answer.

        :raises errors.CutShortError: when its end can't be told.
        """
        finder = surplus.SurplusFinder(self._is_extra)
        async for chunk in self._resp.content.iter_any():
            found = finder.feed(chunk)
            if found:
                yield found
            if finder.found:
                self.abandon()
                return
        if finder.is_cut:
            raise errors.CutShortError('another answer begins in the body')
        if finder.held:
            yield finder.held
        await self._check_end()

    def _is_extra(self, headers: typing.Mapping[str, str]) -> bool:
        """Return whether a head is that of an answer on this connection."""
        if self._expected is None:
            return False
        found = self._expected.read_id(headers)
        return found in {self._expected.request_id, *self._resp.answered}

    async def _check_end(self) -> None:
        """Make sure that the server ended a body without a length.

        The library takes any end of the connection for the body's end. The
        kernel of a process that is killed closes its connections as the
        process does at the end of an answer, so that only a server that goes on
        can have ended it.

        :raises errors.CutShortError: when it can't be told.
        :raises aiohttp.ClientError: when the connection was reset.
        """
        if self._handler is None or self._lost is None:
            raise errors.CutShortError("the answer's end could not be told")
        await self._lost
        seconds = _STREAM_CHECK_SECONDS if self._streams else _CHECK_SECONDS
        goes_on = await sockets.goes_on(self._address, seconds)
        was_reset = self._handler.was_reset()
        self._handler.forget_end()
        if was_reset:
            raise errors.CutShortError('the connection was reset at its end')
        if not goes_on:
            raise errors.CutShortError(
                f'{self._address} ended at the end of the connection'
            )


def _exchange_of(resp: aiohttp.ClientResponse) -> str:
    handler = _handler_of(resp)
    return '' if handler is None else handler.exchange


def _handler_of(
    resp: aiohttp.ClientResponse,
) -> answer_limits.BoundedHandler | None:
    """Return what reads the connection; None when that is lost."""
    conn = resp.connection
    found = conn and conn.protocol
    return found if isinstance(found, answer_limits.BoundedHandler) else None


async def send(
    session: aiohttp.ClientSession,
    address: ids.Address,
    call: Call,
) -> Answer:
    """Send a call and wait for the answer's head.

    Sendings of one request never share a connection: an answer names only the
    request, and servers may send an answer twice.

    :param session: of :func:`make_session`.
    :param address: of the backend server.
    :param call: what to send.
    :raises errors.NotSentError: when no connection could be made.
    :raises errors.BrokenError: when the server failed later.
    """
    try:
        resp = await session.request(
            call.method,
            _url(address, call.path),
            data=call.body or None,
            headers=call.headers,
            allow_redirects=False,
            # Part of the key of kept connections, and unused without TLS.
            server_hostname=f'sending-{call.sending}',
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as exc:
        raise errors.NotSentError(f'{address}: {exc}') from exc
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        raise errors.BrokenError(f'{address}: {_text_of(exc)}') from exc
    held = typing.cast(held_responses.HeldResponse, resp)
    if call.expected is not None:
        await _skip_extra(held, call.expected)
    return Answer(held, address, call.expected)


def _url(address: ids.Address, target: str) -> yarl.URL:
    """Return the URL of a request.

    The target is its path as a whole: of one that is parsed, the library
    leaves out an empty query and all from a number sign on.
    """
    return yarl.URL.build(
        scheme='http',
        host=address.host,
        port=address.port,
        path=target,
        encoded=True,
    )


def _text_of(exc: Exception) -> str:
    """Describe an error without headers of the request or bytes received."""
    if isinstance(exc, aiohttp.ClientResponseError):
        return f'{type(exc).__name__}, no HTTP response'
    return repr(exc)


async def _skip_extra(
    resp: held_responses.HeldResponse, expected: held_responses.Expected
) -> None:
    """Go on to the answer behind extra ones.

    :raises errors.BrokenError: when the connection ends before it.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(resp.close)
        try:
            await resp.skip_extra(expected)
        except (aiohttp.ClientError, OSError) as exc:
            reason = f'behind an extra answer: {_text_of(exc)}'
            raise errors.BrokenError(reason) from exc
        stack.pop_all()


async def cancel(
    session: aiohttp.ClientSession,
    address: ids.Address,
    request_id: ids.RequestId,
    within: float,
) -> None:
    """Tell a server to stop a request; what comes of it is not waited for.

    The connection was closed beside, which is enough for most engines.

    :param within: longest wait, in seconds.
    """
    call = Call('DELETE', f'/v1/requests/{request_id}', _named(request_id))
    with contextlib.suppress(errors.AnswerError, TimeoutError):
        async with asyncio.timeout(within):
            async with await send(session, address, call) as answer:
                await answer.skip()


async def resume(
    session: aiohttp.ClientSession,
    address: ids.Address,
    request_id: ids.RequestId,
    first: int,
) -> Answer:
    """Ask for the rest of a stream.

    :param first: number of the first event wanted, from 0.
    :raises errors.AnswerError: when the server can't be asked.
    """
    path = f'/v1/requests/{request_id}/stream?from={first}'
    return await send(session, address, Call('GET', path, _named(request_id)))


def _named(request_id: ids.RequestId) -> multidict.CIMultiDict[str]:
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    headers['X-Request-Id'] = request_id
    return headers
