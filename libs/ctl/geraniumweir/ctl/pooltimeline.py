"""Tells from logs how each pool did, second by second.

A coordinator writes a line for each busy pool and second: what waits, what
runs at each server and of how many it may run. Beside the refusals of the
entry hosts it shows two things that should not be: two coordinators of a pool
in one second, and refusals for want of a slot while slots were free.
"""

import argparse
import collections
import dataclasses
import typing

from geraniumweir.ctl import logcommands, output

# Numbers of events; docs/EVENTS.md lists them.
_POOL_BUSY = 246
_REFUSED = 161
# Reasons of refusals for want of a free slot.
_FOR_SLOTS = frozenset(('shed', 'too_late', 'queue_full', 'no_server'))

_TWO_COORDINATORS = 'two coordinators'
_FREE_SLOTS = 'free slots beside refusals'


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """The slots of a pool.

    :ivar running: requests that its coordinator counts.
    :ivar open: that may run, at servers that don't rest.
    :ivar free: of these, not in use.
    """

    running: int = 0
    open: int = 0
    free: int = 0


@dataclasses.dataclass(slots=True)
class _Second:
    """One second of one pool."""

    lines: list[logcommands.Line] = dataclasses.field(default_factory=list)
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )


async def pool_timeline(opts: argparse.Namespace) -> None:
    """Print a row for each busy pool and second."""
    seconds: dict[tuple[str, str], _Second] = {}
    for line in logcommands.read(opts.file):
        if line.event not in {_POOL_BUSY, _REFUSED}:
            continue
        key = line.second, str(line.fields.get('pool', ''))
        found = seconds.setdefault(key, _Second())
        if line.event == _POOL_BUSY:
            found.lines.append(line)
        else:
            found.refused[str(line.fields.get('reason', ''))] += 1
    rows = [_row(*key, found) for key, found in sorted(seconds.items())]
    output.rows(opts.output, 'seconds', rows)


def slots_of(servers: typing.Mapping[str, str]) -> Slots:
    """Add up the slots of a pool's servers.

    :param servers: as the coordinator's line tells them.

    >>> slots_of({'a': '3/9 unborn 1 late 0', 'b': '11/9 unborn 0 late 0'})
    Slots(running=14, open=18, free=6)
    """
    slots = Slots()
    for told in servers.values():
        running, _, rest = told.partition('/')
        most = int(rest.partition(' ')[0])
        slots = Slots(
            slots.running + int(running),
            slots.open + most,
            slots.free + max(most - int(running), 0),
        )
    return slots


def _row(second: str, pool: str, found: _Second) -> dict[str, typing.Any]:
    last = found.lines[-1] if found.lines else None
    told = last.fields if last else {}
    slots = slots_of(told.get('servers', {}))
    refused = ' '.join(
        f'{reason}={count}' for reason, count in sorted(found.refused.items())
    )
    return {
        'second': second,
        'pool': pool,
        'coordinator': ' '.join(sorted({line.host for line in found.lines})),
        'waiting': told.get('waiting', ''),
        'running': slots.running if last else '',
        'open': slots.open if last else '',
        'free': slots.free if last else '',
        'interval_ms': told.get('interval_ms', ''),
        'load': told.get('load', ''),
        'refused': refused,
        'look_at': ', '.join(_marks(found, slots)),
    }


def _marks(found: _Second, slots: Slots) -> list[str]:
    """Give what should not be."""
    marks = []
    if len({line.host for line in found.lines}) > 1:
        marks.append(_TWO_COORDINATORS)
    if slots.free and any(found.refused[reason] for reason in _FOR_SLOTS):
        marks.append(_FREE_SLOTS)
    return marks
