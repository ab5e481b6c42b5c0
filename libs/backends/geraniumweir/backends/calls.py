"""Calls to backend servers.

A call is dispatched once. An error tells whether any byte of it can have
reached the server; the answer's chunks are handed on as they come.
"""

import contextlib
import dataclasses
import typing

import aiohttp
import multidict
from geraniumweir.backends import errors
from geraniumweir.common import ids

_CONNECT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as it goes to a backend server.

    :ivar path: with the query string.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of a server's answer, with its chunks to come.

    :ivar chunks: the body as it arrives.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    chunks: typing.AsyncIterator[bytes]


@contextlib.asynccontextmanager
async def send(
    session: aiohttp.ClientSession,
    address: ids.Address,
    call: Call,
) -> typing.AsyncIterator[Answer]:
    """Send a call and give its answer's head.

    :param session: shared by all calls of the process.
    :param address: of the backend server.
    :param call: what to send.
    :raises errors.NotSentError: when no connection could be made.
    :raises errors.BrokenError: when the server failed later.
    """
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS)
    try:
        async with session.request(
            call.method,
            f'http://{address}{call.path}',
            data=call.body,
            headers=call.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as resp:
            yield Answer(resp.status, resp.headers, resp.content.iter_any())
    except aiohttp.ClientConnectorError as exc:
        raise errors.NotSentError(f'{address}: {exc}') from exc
    except aiohttp.ClientError as exc:
        raise errors.BrokenError(f'{address}: {exc}') from exc
