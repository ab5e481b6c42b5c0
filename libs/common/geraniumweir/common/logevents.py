"""Numbered events, the only things that are logged.

Each library lists its events in a module ``logevents`` of its own; numbers go
by library and are catalogued in docs/EVENTS.md: 1xx daemon, 2xx scheduling,
3xx backends, 4xx wire, 5xx store and consensus, 6xx membership, 7xx
configuration and claims, 8xx observe, 9xx common.
"""

import dataclasses
import enum
import typing


class Level(enum.Enum):
    """How much an event matters to the person on duty."""

    debug = 'debug'
    info = 'info'
    notice = 'notice'
    warning = 'warning'
    error = 'error'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of thing that is logged.

    :ivar number: unique over the workspace.
    :ivar level: how much it matters.
    :ivar template: a sentence with the fields in braces.

    >>> Event(101, Level.info, 'listening on {address}').template
    'listening on {address}'
    """

    number: int
    level: Level
    template: str


TASK_FAILED: typing.Final = Event(
    901,
    Level.error,
    'background task {task} failed and starts again: {reason} at {where}',
)
