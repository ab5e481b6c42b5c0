"""What the gateway asks of the protocol that callers and servers speak.

The gateway decides; whoever implements :class:`Codec` knows the names of
headers and the form of values, and nothing else.
"""

import dataclasses
import typing

import multidict
from aiohttp import web
from geraniumweir.common import errors, ids
from geraniumweir.scheduling import notices

Headers = multidict.CIMultiDict[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    :ivar part_id: equal for equal content behind equal parts before it.
    """

    part_id: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """What a caller says of the generation it asks for.

    :ivar prompt_tokens: of the whole prompt.
    :ivar max_tokens: most that may be generated.
    :ivar likely_tokens: the caller's own estimate, 0 for none.
    :ivar parts: of the prompt, first to last.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0
    likely_tokens: int = 0
    model: str | None = None
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, read.

    :ivar request_id: the caller's own, new for each attempt of its.
    :ivar target: path and query, as they came.
    :ivar path: without the query.
    :ivar key: names the customer, empty for none.
    :ivar patience: seconds that the caller waits, None where it doesn't say.
    :ivar generation: None for a request without a prompt.
    :ivar last_event: number of the last event the caller has, None for none.
    :ivar headers: those that go on to a server.
    """

    request_id: str
    method: str
    host: str
    target: str
    path: str
    key: str
    patience: float | None
    generation: Generation | None
    last_event: int | None
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What a server is told besides the caller's own headers.

    :ivar server_id: the run of a server that is meant, no other.
    :ivar seconds_left: until the answer is due.
    :ivar last_event: the stream goes on behind it; None to begin.
    """

    server_id: ids.ServerId
    customer: ids.CustomerName | None
    seconds_left: float
    last_event: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a server's answer, read.

    :ivar request_id: of the request that it answers, empty where unsaid.
    :ivar not_run: the server says that it didn't run the request.
    :ivar signed: it carries the server's signature.
    :ivar encoded: the body is not as the server made it.
    :ivar streams: it is a stream of events.
    :ivar headers: those that go on to the caller.
    :ivar said: what the server says of itself.
    """

    status: int
    request_id: str
    not_run: bool
    signed: bool
    encoded: bool
    streams: bool
    headers: Headers
    said: tuple[notices.Content | notices.Unreadable, ...] = ()


class Codec(typing.Protocol):
    """Names and forms of a protocol."""

    def read_request(self, req: web.BaseRequest) -> Request:
        """Read a caller's request.

        :raises geraniumweir.gateway.errors.BadCallError: when it can't be.
        """

    def dispatch_headers(self, call: Request, dispatch: Dispatch) -> Headers:
        """Give the headers of a dispatch."""

    def read_response_head(
        self,
        status: int,
        headers: typing.Mapping[str, str],
    ) -> ResponseHead:
        """Read the head of a server's answer."""

    def refusal(self, call_id: str, refusal: errors.Refusal) -> web.Response:
        """Make the answer that tells a caller of a refusal."""
