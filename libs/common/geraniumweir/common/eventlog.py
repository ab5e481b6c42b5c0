"""The one way to the log, for every library.

The record carries the event and its fields, so that whoever formats it
(``observe.logs``) can write them as text or as JSON.
"""

import dataclasses
import typing

import logbook
from geraniumweir.common import logevents

LEVELS: typing.Final = {
    logevents.Level.debug: logbook.DEBUG,
    logevents.Level.info: logbook.INFO,
    logevents.Level.notice: logbook.NOTICE,
    logevents.Level.warning: logbook.WARNING,
    logevents.Level.error: logbook.ERROR,
}


@dataclasses.dataclass(slots=True)
class _State:
    """What :func:`set_level` sets; before it only warnings and worse show.

    :ivar lowest: logbook's number of the lowest level that is written.
    """

    lowest: int = logbook.WARNING


class _Fields(dict[str, typing.Any]):
    """Fields of a template; a missing one shows as its name in braces."""

    def __missing__(self, key: str) -> str:
        return f'{{{key}}}'


_state = _State()
_logger = logbook.Logger('geraniumweir')


def set_level(level: logevents.Level) -> None:
    """Say which events are written.

    :param level: the lowest of them.
    """
    _state.lowest = LEVELS[level]


def enabled(event: logevents.Event) -> bool:
    """Tell whether an event would be written.

    :param event: saves making costly fields for nothing.
    """
    return LEVELS[event.level] >= _state.lowest


def emit(event: logevents.Event, **fields: typing.Any) -> None:
    """Log an event.

    :param fields: what the event's template names; others follow it.
    """
    if not enabled(event):
        return
    message = event.template.format_map(_Fields(fields))
    extra = {'event': event, 'fields': fields}
    _logger.log(LEVELS[event.level], '{0}', message, extra=extra)
