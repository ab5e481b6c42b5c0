"""Logs of numbered events, as text or as JSON lines.

:func:`log` is the only way to log: it takes an event of a catalogue, never a
free sentence, so every line has a number that docs/EVENTS.md explains. The
work of writing is logbook's.

References
==========
.. [1] Logbook, https://logbook.readthedocs.io
"""

import dataclasses
import enum
import json
import sys
import typing

import logbook
from geraniumweir.common import logevents


class Format(enum.Enum):
    """How a line looks."""

    text = 'text'
    json = 'json'


_RANKS: typing.Final = {
    logevents.Level.debug: logbook.DEBUG,
    logevents.Level.info: logbook.INFO,
    logevents.Level.notice: logbook.NOTICE,
    logevents.Level.warning: logbook.WARNING,
    logevents.Level.error: logbook.ERROR,
}


@dataclasses.dataclass(slots=True)
class _State:
    """What :func:`setup` sets; before it only warnings and worse show.

    :ivar rank: logbook's number of the lowest level that is written.
    """

    rank: int = logbook.WARNING
    host: str = ''


_ESCAPES: typing.Final = {ord('\r'): r'\r', ord('\n'): r'\n'}
_state = _State()
_logger = logbook.Logger('geraniumweir')


class _Fields(dict[str, typing.Any]):
    """Fields of a template; a missing one shows as its name in braces."""

    def __missing__(self, key: str) -> str:
        return f'{{{key}}}'


def setup(
    level: logevents.Level = logevents.Level.info,
    form: Format = Format.text,
    stream: typing.TextIO | None = None,
    host: str = '',
) -> logbook.StreamHandler:
    """Direct the process's log.

    :param level: the lowest that is written.
    :param form: of each line.
    :param stream: where lines go, by default standard error.
    :param host: id of the entry host, written in each JSON line.
    :returns: the handler; ``pop_application`` on it undoes the setup.
    """
    _state.rank = _RANKS[level]
    _state.host = host
    handler = logbook.StreamHandler(stream or sys.stderr, level=_RANKS[level])
    handler.formatter = _FORMATTERS[form]
    handler.push_application()
    return handler


def enabled(event: logevents.Event) -> bool:
    """Tell whether an event would be written.

    :param event: saves making costly fields for nothing.
    """
    return _RANKS[event.level] >= _state.rank


def log(event: logevents.Event, **fields: typing.Any) -> None:
    """Log an event.

    :param event: from a ``logevents`` module.
    :param fields: for the event's template; others are written after it.
    """
    if not enabled(event):
        return
    message = event.template.format_map(_Fields(fields))
    extra = {'event': event, 'fields': fields}
    _logger.log(_RANKS[event.level], '{0}', message, extra=extra)


def _as_text(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    event: logevents.Event = record.extra['event']
    fields: dict[str, typing.Any] = record.extra['fields']
    rest = ''.join(
        f' {name}={_one_line(fields[name])}'
        for name in fields
        if f'{{{name}}}' not in event.template
    )
    message = _one_line(record.message)
    return f'{_time(record)} {event.level.value} {event.number} {message}{rest}'


def _as_json(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    event: logevents.Event = record.extra['event']
    line = {
        'time': _time(record),
        'level': event.level.value,
        'event': event.number,
        'host': _state.host,
        'message': record.message,
        'fields': record.extra['fields'],
    }
    return json.dumps(line, default=str)


def _one_line(text: typing.Any) -> str:
    # What a caller or a peer sent must not start a line of its own.
    return str(text).translate(_ESCAPES)


def _time(record: logbook.LogRecord) -> str:
    return f'{record.time.isoformat(timespec="milliseconds")}Z'


_FORMATTERS: typing.Final = {Format.text: _as_text, Format.json: _as_json}
