"""Shows from logs when each host had a document version in force."""

import argparse
import datetime
import typing

from geraniumweir.ctl import errors, logcommands, output

# Numbers of events; docs/EVENTS.md lists them.
_PUBLISHED = 757
_IN_FORCE = 763
_UNCONFIRMED = 179
_CONFIRMED_AGAIN = 781
_STEPS = {
    _PUBLISHED: 'acknowledged',
    _IN_FORCE: 'in force',
    _UNCONFIRMED: 'in use unconfirmed',
    _CONFIRMED_AGAIN: 'confirmed again',
}
_MS = datetime.timedelta(milliseconds=1)


async def document_timeline(opts: argparse.Namespace) -> None:
    """Print a row for each event of a version, with its time after the first.

    A host that skipped the version is listed with the first newer one.

    :raises errors.FailedError: when no line is about the version.
    """
    lines = [one for one in logcommands.read(opts.file) if one.event in _STEPS]
    lines.sort(key=lambda line: line.time)
    found = [line for line in lines if _is_about(line, opts.version)]
    found += _skips(lines, opts.version)
    if not found:
        raise errors.FailedError(f'no line is about version {opts.version}')
    found.sort(key=lambda line: line.time)
    start = _time(found[0])
    rows = [_row(line, (_time(line) - start) // _MS) for line in found]
    output.rows(opts.output, 'events', rows)


def _is_about(line: logcommands.Line, version: int) -> bool:
    return line.fields.get('version') == version


def _skips(
    lines: typing.Iterable[logcommands.Line], version: int
) -> list[logcommands.Line]:
    """Return the lines of hosts that went from an older to a newer version."""
    return [
        line
        for line in lines
        if line.event == _IN_FORCE
        and line.fields.get('before', version) < version
        and line.fields.get('version', version) > version
    ]


def _time(line: logcommands.Line) -> datetime.datetime:
    return datetime.datetime.fromisoformat(line.time)


def _row(line: logcommands.Line, ms: int) -> dict[str, typing.Any]:
    told = line.fields
    return {
        'time': line.time,
        'ms': ms,
        'host': line.host,
        'step': _STEPS[line.event],
        'version': told.get('version', ''),
        'before': told.get('before', ''),
        'source': told.get('source', ''),
        'current': told.get('current', ''),
        'unconfirmed_s': told.get('unconfirmed_s', told.get('seconds', '')),
    }
