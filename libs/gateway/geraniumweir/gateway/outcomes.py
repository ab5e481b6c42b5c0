"""Outcomes of one dispatch to one server."""

import dataclasses
import enum

from geraniumweir.gateway import codec
from geraniumweir.scheduling import requests


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A complete response that was not yet sent to the caller."""

    head: codec.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteStream:
    """A complete stream that was sent to the caller up to its end."""


class Proof(enum.Enum):
    """What proves that a server did not run a request.

    :cvar rejected: the server states it in its answer to this sending.
    :cvar not_connected: neither this host nor a relay could connect.
    :cvar not_relayed: no relay tried to send it.
    """

    rejected = 'rejected'
    not_connected = 'not_connected'
    not_relayed = 'not_relayed'


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """A request that the server certainly did not run.

    :ivar wrong_server: whether another server has the address.
    :ivar own_path: whether this host reaches no server, so that nothing is
        known about this one.
    """

    reason: str
    proof: Proof
    wrong_server: bool = False
    own_path: bool = False

    @property
    def arrived(self) -> bool:
        """Whether the request reached the server."""
        return self.proof is Proof.rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A request that ran or may have run without a valid response.

    :ivar answer: the server's own error response, which may be forwarded;
        None without one.
    """

    reason: str
    answer: CompleteResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Preempted:
    """A request that was ended so that it runs on another server."""


Outcome = CompleteResponse | CompleteStream | NotRun | Failed | Preempted


def is_broken_off(outcome: Outcome) -> bool:
    """Return whether the server's response is missing or incomplete."""
    match outcome:
        case Failed(answer=None):
            return True
        case _:
            return False


def to_release(outcome: Outcome) -> requests.Outcome:
    """Return the outcome of the grant."""
    match outcome:
        case CompleteResponse() | CompleteStream():
            return requests.Outcome.done
        case Preempted():
            return requests.Outcome.preempted
        case NotRun():
            return _not_run_to_release(outcome)
        case Failed(answer=None):
            return requests.Outcome.failed
        case Failed():
            return requests.Outcome.answered_failure


def _not_run_to_release(outcome: NotRun) -> requests.Outcome:
    if outcome.wrong_server:
        return requests.Outcome.wrong_server
    if outcome.arrived:
        return requests.Outcome.turned_away
    if outcome.own_path:
        # Says nothing about the server, which other hosts may reach.
        return requests.Outcome.given_up
    return requests.Outcome.not_sent
