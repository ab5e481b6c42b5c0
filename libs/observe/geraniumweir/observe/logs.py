"""Logs of numbered events, as text or as JSON lines.

:func:`log` is the only way to log: it takes an event of a catalogue, never a
free sentence, so every line has a number that docs/EVENTS.md explains. The
work of writing is logbook's.

References
==========
.. [1] Logbook, https://logbook.readthedocs.io
"""

import atexit
import collections
import enum
import functools
import json
import sys
import time
import typing

import logbook
from geraniumweir.common import eventlog, logevents
from geraniumweir.observe import linewriter
from geraniumweir.observe import logevents as observed


class Format(enum.Enum):
    """How a line looks."""

    text = 'text'
    json = 'json'


# Lines of one event that are written in a second. A host that routes serves
# some hundred requests a second at most, so a line on a failed or refused one
# is left out only in a flood of them.
_MOST_OF_EVENT = 500


class Bound:
    """Bounds the lines of each event by second."""

    def __init__(self, most: int = _MOST_OF_EVENT) -> None:
        """Let so many through, by event and second."""
        self._most = most
        self._second = 0
        self._counts: collections.Counter[int] = collections.Counter()
        self._left_out: collections.Counter[int] = collections.Counter()

    def lets(self, number: int, now: float) -> bool:
        """Tell whether a line of an event may be written.

        :param number: of the event.
        :param now: in seconds.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        self._counts[number] += 1
        if self._counts[number] <= self._most:
            return True
        self._left_out[number] += 1
        return False

    def left_out(self) -> dict[int, int]:
        """Give how many lines were left out since the last look, by event."""
        found = dict(self._left_out)
        self._left_out.clear()
        return found


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


def setup_bounded(
    level: logevents.Level,
    stream: typing.TextIO,
    host: str,
) -> logbook.StreamHandler:
    """Direct the process's log to a stream that may block, as JSON lines.

    :param level: the lowest that is written.
    :param host: id of the host, written in each line.
    """
    bound = Bound()
    writer = linewriter.LineWriter(stream, _summary_line)
    atexit.register(writer.close)
    handler = setup(
        level, Format.json, typing.cast(typing.TextIO, writer), host
    )
    handler.filter = functools.partial(_within, bound)
    return handler


def _within(
    bound: Bound,
    record: logbook.LogRecord,
    _handler: logbook.Handler,
) -> bool:
    event: logevents.Event = record.extra['event']
    allowed = bound.lets(event.number, time.monotonic())
    if allowed and event is not observed.LEFT_OUT:
        for number, count in bound.left_out().items():
            eventlog.emit(observed.LEFT_OUT, number=number, count=count)
    return allowed


def _summary_line(count: int) -> str:
    line = {
        'level': observed.UNWRITTEN.level.value,
        'event': observed.UNWRITTEN.number,
        'message': observed.UNWRITTEN.template.format(count=count),
        'fields': {'count': count},
    }
    return '{0}\n'.format(json.dumps(line))


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
