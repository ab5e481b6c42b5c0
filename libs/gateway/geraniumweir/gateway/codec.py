"""Interface between the gateway and the HTTP headers of a platform.

The gateway makes all decisions. An implementation of :class:`Codec` only
defines the names of headers and the format of their values.
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

    :ivar part_id: equal for equal content after equal preceding parts.
    """

    part_id: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """Generation that a caller requests.

    :ivar prompt_tokens: length of the whole prompt.
    :ivar max_tokens: highest number of tokens to generate.
    :ivar likely_tokens: the caller's estimate of that number, 0 for none.
    :ivar parts: parts of the prompt, in order; the last ones may be left out.
    :ivar listed_tokens: length of all parts together.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0
    likely_tokens: int = 0
    model: str | None = None
    parts: tuple[PromptPart, ...] = ()
    listed_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A parsed request of a caller.

    :ivar request_id: set by the caller, new for each of its attempts.
    :ivar target: path and query as received.
    :ivar path: path without the query.
    :ivar key: API key of the customer, empty for none.
    :ivar patience: seconds that the caller waits, None if not stated.
    :ivar generation: None for a request without a prompt.
    :ivar last_event: number of the last event that the caller received, None
        for none.
    :ivar headers: headers that are forwarded to a server.
    :ivar resumes: id of the attempt that brought the first event of the stream
        that this one takes up, empty if it names none.
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
    resumes: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Values that a server gets in addition to the caller's headers.

    :ivar server_id: the only server that may run the request.
    :ivar customer: name of the customer, None for none.
    :ivar seconds_left: seconds until the response is due.
    :ivar last_event: number of the event after which the stream resumes, None
        to start it.
    """

    server_id: ids.ServerId
    customer: ids.CustomerName | None
    seconds_left: float
    last_event: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The parsed head of a server's response.

    :ivar request_id: of the request that it answers, empty if not stated.
    :ivar not_run: whether the server states that it did not run the request.
    :ivar signed: whether it has the server's signature.
    :ivar encoded: whether the body was encoded after the server made it.
    :ivar streams: whether it is a stream of events.
    :ivar headers: headers that are forwarded to the caller.
    :ivar said: notices of the server about itself.
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
    """Header names and value formats of a platform."""

    def read_request(self, req: web.BaseRequest) -> Request:
        """Return the parsed request of a caller.

        :raises geraniumweir.gateway.errors.BadRequestError: if a header is
            malformed.
        """

    def dispatch_headers(self, call: Request, dispatch: Dispatch) -> Headers:
        """Return the headers of a dispatch to a server."""

    def request_id(self, headers: typing.Mapping[str, str]) -> str:
        """Return the id that a request or a response names, or empty."""

    def read_response_head(
        self,
        status: int,
        headers: typing.Mapping[str, str],
    ) -> ResponseHead:
        """Return the parsed head of a server's response."""

    def refusal(self, call_id: str, refusal: errors.Refusal) -> web.Response:
        """Return the response for a refusal."""
