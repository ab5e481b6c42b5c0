"""The way from a library to the log, for those below the observe library.

The record carries the event and its fields, so that whoever formats it can
write them as text or as JSON.
"""

import typing

import logbook
from geraniumweir.common import logevents

_LEVELS: typing.Final = {
    logevents.Level.debug: logbook.DEBUG,
    logevents.Level.info: logbook.INFO,
    logevents.Level.notice: logbook.NOTICE,
    logevents.Level.warning: logbook.WARNING,
    logevents.Level.error: logbook.ERROR,
}
_logger = logbook.Logger('geraniumweir')


def emit(event: logevents.Event, **fields: typing.Any) -> None:
    """Log an event.

    :param fields: what the event's template names.
    """
    message = event.template.format(**fields)
    extra = {'event': event, 'fields': fields}
    _logger.log(_LEVELS[event.level], '{0}', message, extra=extra)
