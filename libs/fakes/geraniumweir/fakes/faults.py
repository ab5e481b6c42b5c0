"""What a fake backend server can do wrong, switched on for one call."""

import dataclasses
import enum
import typing


class FaultKind(enum.Enum):
    """A way to misbehave.

    :cvar die: the connection is reset in the middle.
    :cvar close_early: the answer ends well-formed before it is whole.
    :cvar garbage: bytes that are no answer.
    :cvar other_id: the answer carries another request's id.
    :cvar error: the server says that it failed.
    :cvar stall: nothing more ever comes.
    :cvar late: it goes on after it was cancelled.
    :cvar silent: the connection is reset before the answer's head.
    """

    die = 'die'
    close_early = 'close_early'
    garbage = 'garbage'
    other_id = 'other_id'
    error = 'error'
    stall = 'stall'
    late = 'late'
    silent = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One misbehaviour.

    :ivar after: events that come before it.
    """

    kind: FaultKind
    after: int = 0


def read_fault(payload: typing.Mapping[str, typing.Any]) -> Fault | None:
    """Read the fault that a call's body asks for.

    >>> read_fault({'fault': 'die', 'fault_after': 2})
    Fault(kind=<FaultKind.die: 'die'>, after=2)
    """
    name = payload.get('fault')
    if name is None:
        return None
    return Fault(FaultKind(name), int(payload.get('fault_after', 0)))
