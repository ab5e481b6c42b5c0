"""Builds and reads the commands of the state machine.

The whole of a command is checked before any of it is applied, as thrift
itself leaves a missing field at None.
"""

from geraniumweir.common import ids
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import framing
from geraniumweir.wire.gen.configuration import ttypes

# What a command adds to its document, at most.
_COMMAND_BYTES = 4096
MAX_DOCUMENT_BYTES = framing.MAX_PAYLOAD_BYTES - _COMMAND_BYTES


def change(
    change_id: ids.ChangeId,
    base: ids.Version,
    text: str,
    at_ms: int,
) -> bytes:
    """Build the command of one change.

    :param base: the version that the change builds on.
    :param text: the document; the proposer has checked it.
    :param at_ms: wall clock, milliseconds since 1970.
    """
    asked = ttypes.Change(change_id, base, text.encode())
    return build([ttypes.Step(change=asked)], at_ms)


def reserve_fence(issuer: str, lease_ms: int, at_ms: int) -> bytes:
    """Build the command that reserves a fencing number.

    :param issuer: one run of a process.
    :param lease_ms: how long the issuer may send orders under the number.
    :param at_ms: wall clock, milliseconds since 1970.
    """
    asked = ttypes.ReserveFence(issuer, lease_ms)
    return build([ttypes.Step(fence=asked)], at_ms)


def publish(version: ids.Version, document: bytes, at_ms: int) -> bytes:
    """Build the command that publishes a document.

    :param version: that the document carries itself.
    :param document: the proposer has checked it.
    :param at_ms: wall clock, milliseconds since 1970.
    """
    asked = ttypes.Publish(version, document)
    return build([ttypes.Step(publish=asked)], at_ms)


def order_rollout(
    pool: ids.PoolName,
    to: ids.SoftwareVersion,
    duration_ms: int,
    again_ms: int,
    at_ms: int,
) -> bytes:
    """Build the command that orders a rollout.

    :param again_ms: how long the same order may be sent again.
    :param at_ms: wall clock, milliseconds since 1970.
    """
    asked = ttypes.OrderRollout(pool, to, duration_ms, again_ms)
    return build([ttypes.Step(rollout=asked)], at_ms)


def note_rollout(note: ttypes.NoteRollout, at_ms: int) -> bytes:
    """Build the command that notes how far a rollout is.

    :param at_ms: wall clock, milliseconds since 1970.
    """
    return build([ttypes.Step(note=note)], at_ms)


def build(steps: list[ttypes.Step], at_ms: int) -> bytes:
    """Build a command of many steps."""
    return framing.encode(ttypes.Command(at_ms, steps))


def answers(answer: bytes) -> list[ttypes.StepAnswer]:
    """Read what the state machine answered, one for each step.

    :raises geraniumweir.wire.errors.FrameError: when it can't be read or
        tells that the command couldn't be.
    """
    read_answer = framing.decode(ttypes.CommandAnswer, answer)
    if read_answer.invalid:
        raise wire_errors.FrameError('the recorders can not read the command')
    return list(read_answer.answers)


def read(command: bytes) -> ttypes.Command:
    """Read a command and check that it is whole.

    :raises geraniumweir.wire.errors.FrameError: when it isn't.
    """
    found = framing.decode(ttypes.Command, command)
    if found.at_ms is None or found.steps is None:
        raise wire_errors.FrameError('a command without time or steps')
    for step in found.steps:
        _check(step)
    return found


def _check(step: ttypes.Step) -> None:
    asked = [getattr(step, name) for name in ttypes.Step.__slots__]
    filled = [one for one in asked if one is not None]
    if len(filled) != 1:
        raise wire_errors.FrameError('a step asks for one thing')
    for field in filled[0].__slots__:
        if getattr(filled[0], field) is None:
            raise wire_errors.FrameError(f'a step without {field}')
