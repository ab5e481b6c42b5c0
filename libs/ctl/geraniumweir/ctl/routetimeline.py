"""Shows from logs what became of the requests of each route, by second.

Entry hosts log how each attempt of a caller ends, and each repeat after a
failure. Coordinators log the slots of busy pools. Together they tell whether a
route is served less than others because its requests are refused, because its
repeats are, or because slots are missing.
"""

import argparse
import collections
import dataclasses
import typing

from geraniumweir.ctl import logcommands, losses, output, pooltimeline

# Numbers of events; docs/EVENTS.md lists them.
_POOL_BUSY = 246
_ATTEMPT_FAILED = 162
_RETRIED = 168
_NOT_RETRIED = 169
_FAILED_ATTEMPT = 'attempt failed'
_REPEATED = 'repeated'
_NOT_REPEATED = 'not repeated'
_NO_SLOTS = pooltimeline.Slots()


@dataclasses.dataclass(slots=True)
class _Second:
    """Requests of one route that ended in one second.

    :ivar ends: what became of them.
    :ivar repeats: failed attempts, and repeats that were sent or denied.
    :ivar tiers: tiers that they had.
    """

    ends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    repeats: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    tiers: set[str] = dataclasses.field(default_factory=set)


_Key = tuple[str, str, str]


async def route_timeline(opts: argparse.Namespace) -> None:
    """Print a row for each route and second in which requests of it ended."""
    seconds: collections.defaultdict[_Key, _Second] = collections.defaultdict(
        _Second
    )
    slots: dict[tuple[str, str], pooltimeline.Slots] = {}
    for line in logcommands.read(opts.file):
        if line.event == _POOL_BUSY:
            pool = str(line.fields.get('pool', ''))
            slots[line.second, pool] = pooltimeline.slots_of(
                line.fields.get('servers', {})
            )
        elif opts.route in {'', line.fields.get('route')}:
            _count(seconds, line)
    rows = [
        _row(key, found, slots.get(key[:2], _NO_SLOTS))
        for key, found in sorted(seconds.items())
    ]
    output.rows(opts.output, 'seconds', rows)


def _count(
    seconds: collections.defaultdict[_Key, _Second], line: logcommands.Line
) -> None:
    end = losses.cause_of(line)
    repeat = _repeat(line)
    if end is None and repeat is None:
        return
    told = line.fields
    key = line.second, str(told.get('pool', '')), str(told.get('route', ''))
    found = seconds[key]
    found.tiers.add(str(told.get('tier', '')))
    if end is not None:
        found.ends[end] += 1
    if repeat is not None:
        found.repeats[repeat] += 1


def _repeat(line: logcommands.Line) -> str | None:
    """Return what a line tells of an attempt that failed or of its repeat."""
    match line.event:
        case event if event == _ATTEMPT_FAILED:
            return _FAILED_ATTEMPT
        case event if event == _RETRIED:
            return _REPEATED
        case event if event == _NOT_RETRIED:
            return f'{_NOT_REPEATED}: {line.fields.get("reason")}'
    return None


def _row(
    key: _Key, found: _Second, slots: pooltimeline.Slots
) -> dict[str, typing.Any]:
    second, pool, route = key
    on_time = found.ends.pop(losses.ON_TIME, 0)
    return {
        'second': second,
        'pool': pool,
        'route': route,
        'tier': ' '.join(sorted(found.tiers)),
        'ended': on_time + found.ends.total(),
        'on_time': on_time,
        'others': _listed(found.ends),
        'repeats': _listed(found.repeats),
        'pool_running': slots.running,
        'pool_open': slots.open,
    }


def _listed(counts: collections.Counter[str]) -> str:
    return ', '.join(
        f'{name}={count}' for name, count in sorted(counts.items())
    )
