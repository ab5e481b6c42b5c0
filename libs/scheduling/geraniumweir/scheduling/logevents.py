"""Events of the scheduling library, numbers 201 to 299."""

import typing

import logbook
from geraniumweir.common import logevents

LEADS = logevents.Event(
    241,
    logevents.Level.info,
    'this host now leads pool {pool}',
)
SETTLED = logevents.Event(
    242,
    logevents.Level.info,
    'pool {pool} taken over with {grants} open grants; silent: {silent}',
)
LEADS_NO_MORE = logevents.Event(
    243,
    logevents.Level.info,
    'this host no longer leads pool {pool}',
)
OWNER_SILENT = logevents.Event(
    244,
    logevents.Level.warning,
    'nothing from entry host {owner}; its {count} requests are dropped',
)
STRAY_GRANT = logevents.Event(
    245,
    logevents.Level.notice,
    'grant of {request} from {leader} came too late and was given back',
)

_LEVELS = {
    logevents.Level.debug: logbook.DEBUG,
    logevents.Level.info: logbook.INFO,
    logevents.Level.notice: logbook.NOTICE,
    logevents.Level.warning: logbook.WARNING,
    logevents.Level.error: logbook.ERROR,
}
_log = logbook.Logger('geraniumweir.scheduling')


def emit(event: logevents.Event, **fields: typing.Any) -> None:
    """Log an event.

    :param fields: what the event's template names.
    """
    _log.log(
        _LEVELS[event.level],
        event.template.format(**fields),
        extra={'event': event.number, **fields},
    )
