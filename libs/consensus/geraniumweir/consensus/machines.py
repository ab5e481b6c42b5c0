"""What a replicated state machine looks like to the log."""

import dataclasses
import enum
import typing


class Kind(enum.IntEnum):
    """What an entry of the log is."""

    command = 0
    members = 1
    # The first entry of a leader; once it is committed, all before it are.
    term_start = 2


class StateMachine(typing.Protocol):
    """Applies commands in the order of the log.

    The answers and the state may depend on nothing but the commands, as each
    recorder works them out for itself.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and give its answer.

        :param index: of its entry; grows, with gaps.
        """

    def snapshot(self) -> bytes:
        """Write the whole state."""

    def restore(self, state: bytes) -> None:
        """Take over a state that :meth:`snapshot` wrote."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """What happened at an entry of the log.

    :ivar index: of the entry.
    :ivar command: what was applied.
    :ivar answer: what the state machine said.
    """

    index: int
    command: bytes
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """The state jumped ahead by a snapshot.

    :ivar index: of the last entry that the snapshot covers.
    """

    index: int


Change = Applied | Restored
