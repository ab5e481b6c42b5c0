"""Fills in the tables of docs/CAPACITY.md, between markers.

``make capacity-page`` runs it; ``make slopes`` does after measuring.
"""

import pathlib
import re
import typing

import tabulate
from geraniumweir.fakes.capacity import (
    control,
    datapath,
    days,
    figures,
    letter,
    parts,
)

_MARKED = re.compile(
    r'(<!-- table (\w+) -->\n).*?(<!-- end -->)',
    re.DOTALL,
)
_MILLION = 1_000_000
_DIGITS = 4
_MS = 1000
_HEADERS = (
    'duty',
    'messages/s sent',
    'B/s sent',
    'ms/s of processor',
    'MB',
    'carried by',
)


def fill(page: str, slopes: figures.Figures) -> str:
    """Give the page with its tables made anew.

    :param page: with markers ``<!-- table NAME -->`` and ``<!-- end -->``.
    :raises KeyError: when a marker names no table.
    """
    made = tables(slopes)
    return _MARKED.sub(lambda found: _between(found, made), page)


def _between(found: re.Match[str], made: typing.Mapping[str, str]) -> str:
    begin, name, end = found.groups()
    return f'{begin}\n{made[name]}\n\n{end}'


def tables(slopes: figures.Figures) -> dict[str, str]:
    """Make all tables, by name."""
    control_roles = {
        'entry_host': control.entry_host,
        'delegate': control.delegate,
        'recorder': control.recorder,
        'log_leader': control.log_leader,
    }
    made = {
        name: _role(of(slopes), limited=True)
        for name, of in control_roles.items()
    }
    made['entry_data'] = _role(datapath.entry_host(slopes), limited=False)
    made['pool_leader'] = _role(datapath.pool_leader(slopes), limited=False)
    made['claims'] = _role(datapath.claims(slopes), limited=False)
    made['days'] = _table(
        ('event', 'comes to', 'carried by'), days.rows(slopes)
    )
    made['missed'] = _missed(slopes, control_roles)
    made['received'] = _received(slopes)
    made['slopes'] = _slopes(slopes)
    made['run'] = _run(slopes)
    return made


def _role(duties: list[parts.Part], *, limited: bool) -> str:
    rows = [
        (
            part.duty,
            *_numbers(part),
            f'`{part.module}`',
        )
        for part in duties
    ]
    whole = parts.total(duties)
    rows.append(('**sum**', *_numbers(whole), ''))
    if limited:
        missed = ', '.join(whole.missed())
        verdict = f'missed: **{missed}**' if missed else 'met'
        rows.append(('limit', *_limits(), verdict))
    return _table(_HEADERS, rows)


def _numbers(cost: parts.Part | parts.Total) -> tuple[str, str, str, str]:
    return (
        _number(cost.messages, 1),
        _number(cost.octets, 0),
        _number(cost.processor * _MS, 2),
        _number(cost.memory / _MILLION, 2),
    )


def _number(figure: float, digits: int) -> str:
    return f'{figure:,.{digits}f}' if figure else ''


def _limits() -> tuple[str, str, str, str]:
    limit = parts.Total(
        0,
        letter.BYTES,
        letter.PROCESSOR,
        letter.MEMORY,
    )
    return _numbers(limit)


def _missed(
    slopes: figures.Figures,
    roles: typing.Mapping[str, typing.Callable[..., list[parts.Part]]],
) -> str:
    rows = []
    for name, of in roles.items():
        whole = parts.total(of(slopes))
        missed = ', '.join(whole.missed()) or 'none'
        rows.append((name.replace('_', ' '), missed))
    return _table(('role', 'limits missed'), rows)


def _received(slopes: figures.Figures) -> str:
    size = letter.HOSTS_IN_DOMAIN
    four = slopes.at('delegates.four.busiest_received', size)
    one = slopes.at('delegates.one.busiest_received', size)
    others = (four - one) / 3 * (letter.DOMAINS - 1)
    rows = [
        ('entry host', f'{one:,.0f}'),
        ('delegate', f'{one + max(others, 0):,.0f}'),
    ]
    return _table(('role', 'B/s received by membership, busiest'), rows)


def _slopes(slopes: figures.Figures) -> str:
    rows = [
        (
            f'`{name}`',
            one['unit'],
            one['by'],
            _points(one['points']),
            '`{0}`'.format(one['command'].rpartition('.')[2]),
        )
        for name, one in sorted(slopes.slopes.items())
    ]
    return _table(('slope', 'unit', 'by', 'size: figure', 'module'), rows)


def _points(points: list[list[float]]) -> str:
    return ', '.join(
        f'{size:g}: {figure:.{_DIGITS}g}' for size, figure in points
    )


def _run(slopes: figures.Figures) -> str:
    content = slopes.content
    return (
        f'Run of {content["made"]}, {content["seconds"]} s, '
        f'Python {content["python"]}, a machine of '
        f'{content["processors"]} processors.'
    )


def _table(
    headers: typing.Sequence[str],
    rows: typing.Sequence[typing.Sequence[str]],
) -> str:
    return tabulate.tabulate(
        rows,
        headers,
        tablefmt='github',
        disable_numparse=True,
    )


def main() -> None:
    """Rewrite the page of the working directory."""
    docs = pathlib.Path('docs')
    path = docs / 'CAPACITY.md'
    slopes = figures.load(docs / 'measured' / 'slopes.json')
    path.write_text(fill(path.read_text(), slopes))


if __name__ == '__main__':
    main()
