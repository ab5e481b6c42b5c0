"""Tells from logs why requests weren't served, or were served late.

Each attempt of a caller counts by itself. An answer is late by the queue
where more than half of its target went there, by a repeat where a server
before failed, else by the server; one whose first part came on time is late
by a pause that was longer than its route allows.
"""

import argparse
import collections
import dataclasses
import typing

from geraniumweir.ctl import logcommands, output

# Numbers of the events that end a request; docs/EVENTS.md lists them.
_ENDED = 160
_REFUSED = 161
_BROKEN = 163
_GONE = 164
_FIRST_FAILURE = 500
_FIRST_ERROR = 400
ON_TIME = 'on time'
# Part of the target that the queue may take before it is to blame.
_QUEUE_PART = 0.5
_PERCENT = 100

_Fields = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(slots=True)
class _Count:
    """Requests of one route that ended alike.

    :ivar first: second in which the first of them did, in UTC.
    """

    count: int
    first: str
    last: str

    def add(self, second: str) -> None:
        """Count one more."""
        self.count += 1
        self.first = min(self.first, second)
        self.last = max(self.last, second)


async def why_late(opts: argparse.Namespace) -> None:
    """Count what became of requests by route and cause."""
    counts: dict[tuple[str, str], _Count] = {}
    routes: collections.Counter[str] = collections.Counter()
    for line in logcommands.read(opts.file):
        cause = cause_of(line)
        if cause is None:
            continue
        route = str(line.fields.get('route', ''))
        routes[route] += 1
        second = line.second
        found = counts.setdefault((route, cause), _Count(0, second, second))
        found.add(second)
    rows = [
        _row(key, found, routes[key[0]])
        for key, found in sorted(counts.items())
    ]
    output.rows(opts.output, 'causes', rows)


def cause_of(line: logcommands.Line) -> str | None:
    """Give what became of a request; None where a line ends none."""
    told = line.fields
    match line.event:
        case event if event == _REFUSED:
            return f'refused: {told.get("reason")}'
        case event if event == _BROKEN:
            return f'broken off: {told.get("reason")}'
        case event if event == _GONE:
            waited = told.get('granted_ms') is None
            return 'caller gone: waited' if waited else 'caller gone: served'
        case event if event == _ENDED:
            return _cause_of_end(told)
    return None


def _cause_of_end(told: _Fields) -> str:
    status = told.get('status') or 0
    if status >= _FIRST_FAILURE:
        return f'failed: {status}'
    if status >= _FIRST_ERROR:
        return f'answered: {status}'
    target = told.get('target_ms') or float('inf')
    if (told.get('first_ms') or 0) > target:
        return _cause_of_lateness(told, target)
    gap = told.get('gap_ms') or float('inf')
    if (told.get('longest_pause_ms') or 0) > gap:
        return 'late: pause'
    return ON_TIME


def _cause_of_lateness(told: _Fields, target: float) -> str:
    if len(told.get('servers') or ()) > 1:
        return 'late: repeat'
    if (told.get('granted_ms') or 0) > target * _QUEUE_PART:
        return 'late: queue'
    return 'late: server'


def _row(
    key: tuple[str, str],
    found: _Count,
    of_route: int,
) -> dict[str, typing.Any]:
    return {
        'route': key[0],
        'cause': key[1],
        'count': found.count,
        'percent': round(_PERCENT * found.count / of_route, 1),
        'first': found.first,
        'last': found.last,
    }
