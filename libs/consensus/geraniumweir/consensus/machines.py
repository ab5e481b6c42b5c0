"""Interface between the replicated log and its state machine."""

import dataclasses
import enum
import typing


class Kind(enum.IntEnum):
    """Kinds of log entries."""

    command = 0
    members = 1
    # The first entry of a leader's term; once it is committed, all entries
    # before it are, too.
    term_start = 2


class StateMachine(typing.Protocol):
    """State machine that applies commands in log order.

    It must be deterministic: each recorder applies the commands by itself, so
    answers and state may depend on nothing but the commands.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its answer.

        :param index: index of its entry; increases, with gaps.
        """

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""

    def restore(self, state: bytes) -> None:
        """Replace the state by one that :meth:`snapshot` returned."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Notification of an applied command.

    :ivar index: index of the entry.
    :ivar command: the command that was applied.
    :ivar answer: the state machine's answer.
    """

    index: int
    command: bytes
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """Notification that the state was replaced by a snapshot.

    :ivar index: index of the last entry that the snapshot covers.
    """

    index: int


Change = Applied | Restored
