"""Seeded workloads of both users, for the demo.

Lengths differ a hundredfold: a lookup of some tokens sits beside the review
of a dossier of thousands. Long prompts share their fronts, as dossiers of one
foundation and stock sheets of one warehouse do.
"""

import dataclasses
import random
import typing

_BYTES_PER_TOKEN = 4
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


KINDS = (
    Kind('lookup', 'liceo-volta', 30, (20, 80), (4, 12)),
    Kind('eligibility', 'desk-torino', 12, (300, 900), (10, 40), 256),
    Kind('essay', 'desk-torino', 6, (800, 2500), (40, 90), 256),
    Kind('dossier', 'desk-milano', 4, (3000, 8000), (60, 160), 2048),
    Kind('pallet', 'hal-a', 14, (20, 60), (4, 12), 0, 8000, 'planner'),
    Kind(
        'load plan', 'hal-b', 4, (3000, 8000), (60, 160), 2048, 8000, 'planner'
    ),
    Kind('tag', 'hal-a', 12, path='/services/voorraad-api/tags'),
    Kind(
        'stock', 'field', 14, method='GET', path='/services/voorraad-api/stock'
    ),
    Kind(
        'van order',
        'hal-b',
        4,
        path='/services/voorraad-api/orders',
        once=True,
    ),
    Kind(
        'submission',
        'liceo-volta',
        4,
        path='/services/sportello-app/orders',
        once=True,
    ),
)


def offer(seed: int, count: int, seconds: float) -> list[Offered]:
    """Make a workload.

    :param count: of calls.
    :param seconds: over which they arrive, as a Poisson process.

    >>> offer(1, 50, 2.0) == offer(1, 50, 2.0)
    True
    """
    rng = random.Random(seed)
    weights = [kind.weight for kind in KINDS]
    arrivals = sorted(rng.uniform(0, seconds) for _ in range(count))
    return [
        _one(rng, number, at, rng.choices(KINDS, weights)[0])
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
        stream=rng.random() < 0.8,
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


def body(call: Offered) -> dict[str, typing.Any]:
    """Make the JSON of a call to an engine."""
    return {
        'model': call.kind.model,
        'messages': [{'role': 'user', 'content': call.prompt}],
        'stream': call.stream,
        'max_tokens': call.max_tokens,
    }
