"""Seeded workloads of both users, for the demo.

Lengths differ a hundredfold: a lookup of some tokens sits beside the review
of a dossier of thousands. Long prompts share their fronts, as dossiers of one
foundation and stock sheets of one warehouse do.
"""

import dataclasses
import functools
import random
import tomllib
import typing
from importlib import resources

from geraniumweir.fakes import data, generation

_BYTES_PER_TOKEN = 4
_FIFTHS = 5
_CHAT = '/v1/chat/completions'
_WORDS = ('tarp', 'water', 'kit', 'blanket', 'pallet', 'grant', 'essay', 'form')


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of call.

    :ivar weight: how often it comes, against the others.
    :ivar prompt: fewest and most prompt tokens.
    :ivar answer: fewest and most answer tokens.
    :ivar shared: tokens at the front that all calls of the kind share.
    :ivar deadline_ms: from arrival.
    :ivar method: of a call to a plain service.
    :ivar path: of a call to a plain service, else empty.
    :ivar once: whether it must run at most once.
    :ivar x_kind: of the header ``X-Kind``, which some rules go by.
    :ivar completion: whether it goes to ``/v1/completions``.
    """

    name: str
    customer: str
    weight: int
    prompt: tuple[int, int] = (0, 0)
    answer: tuple[int, int] = (0, 0)
    shared: int = 0
    deadline_ms: int = 8000
    model: str = 'advisor'
    method: str = 'POST'
    path: str = ''
    once: bool = False
    x_kind: str = ''
    completion: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Offered:
    """One call of a workload.

    :ivar at: seconds from the start.
    :ivar stream: whether its answer is streamed.
    """

    number: int
    at: float
    kind: Kind
    prompt: str
    max_tokens: int
    stream: bool


@functools.cache
def kinds(workload: str = 'workloads') -> tuple[Kind, ...]:
    """Read the kinds of call.

    :param workload: ``workloads`` mixes both users', the others are named
        like the deployments.
    """
    tables = tomllib.loads(_data(f'{workload}.toml'))['kind']
    return tuple(Kind(**table) for table in tables)


@functools.cache
def speeds() -> dict[str, generation.Speed]:
    """Read the speeds of the engines, by name."""
    tables = tomllib.loads(_data('workloads.toml'))['speed']
    return {name: generation.Speed(**table) for name, table in tables.items()}


def rules() -> str:
    """Give the demo's rules as TOML."""
    return _data('rules.toml')


def _data(name: str) -> str:
    return resources.files(data).joinpath(name).read_text()


def offer(
    seed: int,
    count: int,
    seconds: float,
    mix: tuple[Kind, ...] | None = None,
) -> list[Offered]:
    """Make a workload.

    :param count: of calls.
    :param seconds: over which they arrive, as a Poisson process.
    :param mix: kinds of call, by default those of both users.

    >>> offer(1, 50, 2.0) == offer(1, 50, 2.0)
    True
    """
    rng = random.Random(seed)
    mix = mix or kinds()
    weights = [kind.weight for kind in mix]
    arrivals = sorted(rng.uniform(0, seconds) for _ in range(count))
    return [
        _one(rng, number, at, rng.choices(mix, weights)[0])
        for number, at in enumerate(arrivals)
    ]


def _one(rng: random.Random, number: int, at: float, kind: Kind) -> Offered:
    tokens = rng.randint(*kind.prompt)
    return Offered(
        number=number,
        at=at,
        kind=kind,
        prompt=_prompt(rng, kind, number, tokens),
        max_tokens=rng.randint(*kind.answer),
        stream=rng.randrange(_FIFTHS) > 0,
    )


def _prompt(rng: random.Random, kind: Kind, number: int, tokens: int) -> str:
    front = _text(random.Random(kind.name), kind.shared)
    return f'{front}#{number} {_text(rng, max(tokens - kind.shared, 0))}'


def _text(rng: random.Random, tokens: int) -> str:
    size = tokens * _BYTES_PER_TOKEN
    words: list[str] = []
    length = 0
    while length < size:
        word = rng.choice(_WORDS)
        words.append(word)
        length += len(word) + 1
    return ' '.join(words)[:size]


def path(call: Offered) -> str:
    """Give the path that a call goes to."""
    if call.kind.path:
        return call.kind.path
    return '/v1/completions' if call.kind.completion else _CHAT


def body(call: Offered) -> dict[str, typing.Any]:
    """Make the JSON of a call to an engine."""
    common = {
        'model': call.kind.model,
        'stream': call.stream,
        'max_tokens': call.max_tokens,
    }
    if call.kind.completion:
        return common | {'prompt': call.prompt}
    return common | {'messages': [{'role': 'user', 'content': call.prompt}]}
