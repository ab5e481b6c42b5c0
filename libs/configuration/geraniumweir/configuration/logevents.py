"""Events of configuration and claims, numbers 701 to 799."""

import typing

import logbook
from geraniumweir.common import logevents

IN_FORCE = logevents.Event(
    701,
    logevents.Level.info,
    'version {version} is in force',
)
UNREADABLE = logevents.Event(
    702,
    logevents.Level.error,
    'version {version} can not be read, {kept} stays in force: {reason}',
)
NOT_KEPT = logevents.Event(
    703,
    logevents.Level.error,
    'version {version} could not be written to the data folder: {reason}',
)
SURE = logevents.Event(
    704,
    logevents.Level.info,
    'the log was heard of through {source}; version {version} is the newest',
)
CLAIMS_DELAYED = logevents.Event(
    705,
    logevents.Level.warning,
    '{count} claims could not be logged yet: {reason}',
)

_LEVELS = {
    logevents.Level.debug: logbook.DEBUG,
    logevents.Level.info: logbook.INFO,
    logevents.Level.notice: logbook.NOTICE,
    logevents.Level.warning: logbook.WARNING,
    logevents.Level.error: logbook.ERROR,
}
_log = logbook.Logger('geraniumweir.configuration')


def emit(event: logevents.Event, **fields: typing.Any) -> None:
    """Log an event.

    :param fields: what the event's template names.
    """
    _log.log(
        _LEVELS[event.level],
        event.template.format(**fields),
        extra={'event': event.number, **fields},
    )
