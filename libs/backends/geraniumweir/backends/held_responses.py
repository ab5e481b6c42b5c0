"""Responses that keep their connection until they are judged.

A server may send an answer twice. The extra one comes where the answer to the
next request on its connection is expected, and names the earlier request.
"""

import dataclasses
import enum
import typing

import aiohttp
from geraniumweir.backends import answer_limits

# An extra answer is a copy of an earlier one; a longer one isn't read.
_LONGEST_EXTRA = 262144
# More of them in a row are no repetitions of single answers.
_MOST_EXTRA = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """The request whose answer is expected.

    :ivar read_id: returns the id of the request that an answer's headers
        name, empty if they name none.
    """

    request_id: str
    read_id: typing.Callable[[typing.Mapping[str, str]], str]


class Framing(enum.Enum):
    """What shows where the body of an answer ends.

    :cvar length: its length, or that it has no body.
    :cvar chunks: its last chunk.
    :cvar connection: the end of the connection only.
    """

    length = 'length'
    chunks = 'chunks'
    connection = 'connection'


class HeldResponse(aiohttp.ClientResponse):
    """A response that keeps its connection until it is judged.

    The library gives a connection back as soon as the last byte was parsed;
    whether the answer was what it should be is known only later.
    """

    @property
    def framing(self) -> Framing:
        """What shows where the body ends."""
        if 'Content-Length' in self.headers:
            return Framing.length
        if self.headers.get('Transfer-Encoding', '').lower() == 'chunked':
            return Framing.chunks
        if self.method == 'HEAD' or self.status in {204, 304}:
            return Framing.length
        return Framing.connection

    @property
    def ends_visibly(self) -> bool:
        """Whether the end of the body can be told from a lost connection."""
        return self.framing is not Framing.connection

    @property
    def answered(self) -> typing.Iterable[str]:
        """Ids of the last requests that were answered on its connection."""
        handler = self.connection and self.connection.protocol
        if isinstance(handler, answer_limits.BoundedHandler):
            return handler.requests
        return ()

    async def skip_extra(self, expected: Expected) -> None:
        """Go on to the answer behind those to earlier requests.

        Only requests that were sent on the same connection count; an answer
        that names any other is left for the caller to judge. A connection that
        brought an extra answer isn't used again.

        :raises aiohttp.ClientError: if the connection ends before.
        """
        conn = self.connection
        handler = conn and conn.protocol
        if conn is None or not isinstance(
            handler, answer_limits.BoundedHandler
        ):
            return
        for _ in range(_MOST_EXTRA):
            found = expected.read_id(self.headers)
            if found == expected.request_id or found not in handler.requests:
                break
            handler.force_close()
            if not await self._read_extra():
                return
            # Holds the headers of the earlier answer.
            self._cache.clear()
            await self.start(conn)
        handler.requests.append(expected.request_id)

    async def _read_extra(self) -> bool:
        """Read an answer to its end.

        :returns: False if no other answer can follow it.
        """
        if not self.ends_visibly:
            return False
        size = 0
        async for part in self.content.iter_any():
            size += len(part)
            if size > _LONGEST_EXTRA:
                return False
        return True

    def _response_eof(self) -> None:
        """Leave the connection to whoever judges the response."""
