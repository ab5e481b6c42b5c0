"""Reads logs of several processes and tells one request's story.

Lines that aren't JSON objects of the log are passed over, and so is what
stands before the object in a line: collectors put times and hosts there.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import sys
import typing

from geraniumweir.ctl import errors, output

_STANDARD_INPUT = '-'
# The number of the event of a refusal; docs/EVENTS.md lists them.
_REFUSED = 161
# Characters of a time up to its whole seconds.
_SECONDS = 19


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :ivar time: as written, in UTC.
    """

    time: str
    host: str
    event: int
    message: str
    fields: typing.Mapping[str, typing.Any]

    @property
    def second(self) -> str:
        """Give the time up to its whole seconds."""
        return self.time[:_SECONDS]

    def is_about(self, request: str) -> bool:
        """Tell whether a line is about a request, by either of its ids."""
        told = str(self.fields.get('request', ''))
        return told.partition('.')[0] == request


async def explain_request(opts: argparse.Namespace) -> None:
    """Print one request's story in order of time."""
    found = [line for line in read(opts.file) if line.is_about(opts.id)]
    if not found:
        raise errors.FailedError(f'no line is about request {opts.id}')
    found.sort(key=lambda line: line.time)
    output.rows(opts.output, 'lines', [_row(line) for line in found])


async def why_refused(opts: argparse.Namespace) -> None:
    """Count refusals by second, host and reason."""
    counts = collections.Counter(
        (
            line.second,
            line.host,
            str(line.fields.get('status', '')),
            str(line.fields.get('reason', '')),
        )
        for line in read(opts.file)
        if line.event == _REFUSED
    )
    names = ('second', 'host', 'status', 'reason')
    output.rows(
        opts.output,
        'refusals',
        [
            {**dict(zip(names, key)), 'count': count}
            for key, count in sorted(counts.items())
        ],
    )


def read(files: typing.Sequence[str]) -> typing.Iterator[Line]:
    """Read log lines from files, or standard input for ``-``."""
    for name in files:
        if name == _STANDARD_INPUT:
            yield from _lines(sys.stdin)
            continue
        with pathlib.Path(name).open(encoding='utf-8') as opened:
            yield from _lines(opened)


def _lines(texts: typing.Iterable[str]) -> typing.Iterator[Line]:
    for text in texts:
        line = parse(text)
        if line is not None:
            yield line


def parse(text: str) -> Line | None:
    """Read one line; None where it is no line of the log.

    >>> parse('no object here') is None
    True
    """
    start = text.find('{"time"')
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
        return Line(
            found['time'],
            found['host'],
            found['event'],
            found['message'],
            found['fields'],
        )
    except (ValueError, LookupError):
        return None


def _row(line: Line) -> dict[str, typing.Any]:
    known = {
        name: told
        for name, told in line.fields.items()
        if told not in (None, '', []) and name != 'request'
    }
    details = ' '.join(f'{name}={told}' for name, told in known.items())
    return {
        'time': line.time,
        'host': line.host,
        'event': line.event,
        'message': line.message,
        'details': details,
    }
