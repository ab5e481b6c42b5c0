"""A slope: figures of one cost at some sizes, and how they are printed."""

import dataclasses
import json
import sys
import time
import tracemalloc
import typing

_COMMAND = 'python -m geraniumweir.fakes.slopes.'

Made = typing.TypeVar('_Made')
Points = typing.Iterable[tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One cost by size.

    :ivar name: ``part.cost``; unique.
    :ivar unit: of the figures.
    :ivar by: what the sizes count.
    :ivar command: measures it.
    :ivar points: size and figure.
    """

    name: str
    unit: str
    by: str
    command: str
    points: tuple[tuple[float, float], ...]


def slope(name: str, unit: str, by: str, points: Points) -> Slope:
    """Give a slope; the part of its name names the module.

    >>> slope('wire.cost', 's', 'calls', [(1, 2)]).command
    'python -m geraniumweir.fakes.slopes.wire'
    """
    part = name.partition('.')[0]
    return Slope(name, unit, by, f'{_COMMAND}{part}', tuple(points))


def write(slopes: typing.Iterable[Slope]) -> None:
    """Print slopes as JSON."""
    dump = [dataclasses.asdict(one) for one in slopes]
    sys.stdout.write(f'{json.dumps(dump)}\n')


def columns(
    part: str,
    by: str,
    units: typing.Mapping[str, str],
    rows: typing.Mapping[float, typing.Mapping[str, float]],
) -> list[Slope]:
    """Give a slope for each column of a table.

    :param units: by column.
    :param rows: figures by column, by size.
    """
    return [
        slope(
            f'{part}.{name}',
            unit,
            by,
            ((size, row[name]) for size, row in rows.items()),
        )
        for name, unit in units.items()
    ]


def processor(make: typing.Callable[[], Made]) -> tuple[float, Made]:
    """Give the processor time of a call, in seconds, and what it gave."""
    start = time.process_time()
    made = make()
    return time.process_time() - start, made


def memory(make: typing.Callable[[], Made]) -> tuple[int, Made]:
    """Give the bytes that are kept by what a call gives."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        return tracemalloc.get_traced_memory()[0] - before, made
    finally:
        tracemalloc.stop()
