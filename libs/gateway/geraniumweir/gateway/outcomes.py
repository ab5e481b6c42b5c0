"""Outcomes of one dispatch to one server."""

import dataclasses

from geraniumweir.gateway import codec


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A complete response that was not yet sent to the caller."""

    head: codec.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteStream:
    """A complete stream that was sent to the caller up to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """A request that the server certainly did not run.

    :ivar arrived: whether the request reached the server.
    :ivar wrong_server: whether another server has the address.
    :ivar own_path: whether this host reaches no server, so that nothing is
        known about this one.
    """

    reason: str
    arrived: bool
    wrong_server: bool = False
    own_path: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A request that ran or may have run without a valid response.

    :ivar answer: the server's own error response, which may be forwarded;
        None without one.
    """

    reason: str
    answer: CompleteResponse | None = None


Outcome = CompleteResponse | CompleteStream | NotRun | Failed
