"""Logs of numbered events, as text or as JSON lines.

:func:`log` is the only way to log: it takes an event of a catalogue, never a
free sentence, so every line has a number that docs/EVENTS.md explains. The
work of writing is logbook's.

References
==========
.. [1] Logbook, https://logbook.readthedocs.io
"""

import enum
import json
import sys
import typing

import logbook
from geraniumweir.common import eventlog, logevents


class Format(enum.Enum):
    """How a line looks."""

    text = 'text'
    json = 'json'


_ESCAPES: typing.Final = {ord('\r'): r'\r', ord('\n'): r'\n'}


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
    eventlog.set_level(level)
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=eventlog.LEVELS[level]
    )
    handler.formatter = _Formatter(form, host)
    handler.push_application()
    return handler


def log(event: logevents.Event, **fields: typing.Any) -> None:
    """Log an event.

    :param event: from a ``logevents`` module.
    :param fields: for the event's template; others are written after it.
    """
    eventlog.emit(event, **fields)


class _Formatter:
    """Writes records of one host; what logbook calls for each line."""

    def __init__(self, form: Format, host: str) -> None:
        self._form = form
        self._host = host

    def __call__(
        self,
        record: logbook.LogRecord,
        _handler: logbook.Handler,
    ) -> str:
        match self._form:
            case Format.json:
                return _as_json(record, self._host)
            case Format.text:
                return _as_text(record)


def _as_text(record: logbook.LogRecord) -> str:
    event: logevents.Event = record.extra['event']
    fields: dict[str, typing.Any] = record.extra['fields']
    rest = ''.join(
        f' {name}={_one_line(fields[name])}'
        for name in fields
        if f'{{{name}}}' not in event.template
    )
    message = _one_line(record.message)
    return f'{_time(record)} {event.level.value} {event.number} {message}{rest}'


def _as_json(record: logbook.LogRecord, host: str) -> str:
    event: logevents.Event = record.extra['event']
    line = {
        'time': _time(record),
        'level': event.level.value,
        'event': event.number,
        'host': host,
        'message': record.message,
        'fields': record.extra['fields'],
    }
    return json.dumps(line, default=str)


def _one_line(text: typing.Any) -> str:
    # What a caller or a peer sent must not start a line of its own.
    return str(text).translate(_ESCAPES)


def _time(record: logbook.LogRecord) -> str:
    return f'{record.time.isoformat(timespec="milliseconds")}Z'
