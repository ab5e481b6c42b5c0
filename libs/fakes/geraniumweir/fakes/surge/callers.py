"""Who comes, when, and with what; sizes differ a hundredfold."""

import dataclasses
import itertools
import random
import typing

from geraniumweir.fakes.surge import shapes

# Sizes are drawn from log-normal distributions, about the medians: by the
# spread of the logarithm, and cut at so many medians.
_PROMPT_SPREAD = 0.75
_OUTPUT_SPREAD = 0.45
_LONGEST = 4.0
# What callers say of an output's length is right at the median only.
_HINT_SPREAD = 0.3


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
        for kind in shapes.kinds()
        for caller in _of_kind(shape, kind, rng)
    ]


def _of_kind(
    shape: shapes.Shape,
    kind: shapes.Kind,
    rng: random.Random,
) -> typing.Iterator[Caller]:
    at = float(0)
    for number in itertools.count():
        at += rng.expovariate(kind.rate * shape.load_at(at))
        if at > shape.seconds:
            return
        output = _size(kind.output_tokens, _OUTPUT_SPREAD, rng)
        yield Caller(
            f'{kind.name}-{number}',
            kind,
            at,
            _size(kind.prompt_tokens, _PROMPT_SPREAD, rng),
            output,
            _size(output, _HINT_SPREAD, rng),
        )


def _size(median: int, spread: float, rng: random.Random) -> int:
    factor = min(rng.lognormvariate(0, spread), _LONGEST)
    return max(int(median * factor), 1)
