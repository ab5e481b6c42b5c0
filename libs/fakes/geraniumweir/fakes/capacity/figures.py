"""Measured slopes, read between and behind the sizes measured."""

import bisect
import json
import pathlib
import typing

Point = tuple[float, float]


class Figures:
    """The slopes of one run.

    :ivar content: the whole file.
    """

    def __init__(self, content: typing.Mapping[str, typing.Any]) -> None:
        """Take what :mod:`geraniumweir.fakes.slopes.main` wrote."""
        self.content = content
        self.slopes: dict[str, typing.Any] = content['slopes']

    def at(self, name: str, size: float) -> float:
        """Give a figure at a size.

        :raises KeyError: when the slope wasn't measured.
        """
        points = self.slopes[name]['points']
        return line_through([(one[0], one[1]) for one in points], size)

    def largest(self, name: str) -> float:
        """Give the figure at the largest size measured."""
        return float(self.slopes[name]['points'][-1][1])

    def smallest(self, name: str) -> float:
        """Give the figure at the smallest size measured."""
        return float(self.slopes[name]['points'][0][1])


def load(path: pathlib.Path) -> Figures:
    """Read the file of a run."""
    return Figures(json.loads(path.read_text()))


def line_through(points: typing.Sequence[Point], size: float) -> float:
    """Read a figure off the line through measured points.

    Outside of them the line through the nearest two goes on.

    :param points: two or more, by growing size.

    >>> line_through([(1, 10), (3, 30), (4, 50)], 2)
    20.0
    >>> line_through([(1, 10), (3, 30), (4, 50)], 6)
    90.0
    """
    sizes = [at for at, _ in points]
    right = min(max(bisect.bisect_left(sizes, size), 1), len(points) - 1)
    (low, under), (high, over) = points[right - 1 : right + 1]
    return float(under + (over - under) * (size - low) / (high - low))
