"""How one dispatch to one server ended, as typed values."""

import dataclasses

from geraniumweir.gateway import codec


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A whole answer, not yet given to the caller."""

    head: codec.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteStream:
    """A whole stream, given to the caller up to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server surely didn't run the request.

    :ivar arrived: the request reached it.
    :ivar wrong_server: another run of a server is at the address.
    """

    reason: str
    arrived: bool
    wrong_server: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request ran or may have run, and there is no good answer.

    :ivar answer: the server's own failure, which may be given as it is; None
        where there is none.
    """

    reason: str
    answer: CompleteResponse | None = None


Outcome = CompleteResponse | CompleteStream | NotRun | Failed
