"""Who comes, when, and with what; sizes differ a hundredfold."""

import dataclasses
import itertools
import random
import typing

from geraniumweir.fakes.surge import shapes


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """One that wants something.

    :ivar arrives: in seconds from the start of the play.
    :ivar likely_tokens: of the output, as the caller says.
    """

    name: str
    kind: shapes.Kind
    arrives: float
    prompt_tokens: int
    output_tokens: int
    likely_tokens: int


def draw(shape: shapes.Shape, rng: random.Random) -> list[Caller]:
    """Draw all callers of a play."""
    return [
        caller
        for kind in shapes.kinds(shape.kinds)
        for caller in _of_kind(shape, kind, rng)
    ]


def _of_kind(
    shape: shapes.Shape,
    kind: shapes.Kind,
    rng: random.Random,
) -> typing.Iterator[Caller]:
    at = float(0)
    for number in itertools.count():
        if number % shape.clump == 0:
            rate = kind.rate * shape.load_at(at) / shape.clump
            at += rng.expovariate(rate)
        if at > shape.seconds:
            return
        output = _size(kind.output_tokens, kind.output_spread, kind, rng)
        yield Caller(
            f'{kind.name}-{number}',
            kind,
            at,
            _size(kind.prompt_tokens, kind.prompt_spread, kind, rng),
            output,
            _size(output, kind.hint_spread, kind, rng),
        )


def _size(
    median: int, spread: float, kind: shapes.Kind, rng: random.Random
) -> int:
    """Draw a length from a log-normal distribution."""
    factor = min(rng.lognormvariate(0, spread), kind.longest)
    return max(int(median * factor), 1)
