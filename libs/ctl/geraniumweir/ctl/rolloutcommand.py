"""Tells from logs how rollouts went: each step with what decided it."""

import argparse
import typing

from geraniumweir.ctl import errors, logcommands, output

# Numbers of events; docs/EVENTS.md lists them.
_ORDERED = 777
_STEP = 778
_ENDED = 780
_EVENTS = frozenset((_ORDERED, _STEP, _ENDED))


async def rollouts(opts: argparse.Namespace) -> None:
    """Print a row for each order, step and end, by time."""
    found = [
        line for line in logcommands.read(opts.file) if line.event in _EVENTS
    ]
    if opts.pool:
        found = [one for one in found if one.fields.get('pool') == opts.pool]
    if not found:
        raise errors.FailedError('the logs tell of no rollout')
    found.sort(key=lambda line: line.time)
    output.rows(opts.output, 'steps', [_row(line) for line in found])


def _row(line: logcommands.Line) -> dict[str, typing.Any]:
    told = line.fields
    return {
        'time': line.time,
        'host': line.host,
        'pool': told.get('pool', ''),
        'to': told.get('to', ''),
        'step': _step(line),
        'exposure': _part(told),
        'answers': told.get('answers', ''),
        'suspicion': told.get('suspicion', ''),
        'reason': told.get('reason', ''),
    }


def _step(line: logcommands.Line) -> str:
    if line.event == _ORDERED:
        return f'ordered: {line.fields.get("result")}'
    if line.event == _STEP:
        return str(line.fields.get('step'))
    return f'is {line.fields.get("state")}'


def _part(told: typing.Mapping[str, typing.Any]) -> str:
    if 'exposure' not in told:
        return ''
    return f'{told["exposure"]} of {told.get("requests")}'
