"""Seeded traffic: what callers want, when, and how often they ask.

Arrivals are open-loop: a slow system doesn't slow its callers down. A caller
has one deadline, counted from its first call; calls that it repeats within it
carry the time that is left.
"""

import dataclasses
import functools
import math
import pathlib
import random
import tomllib
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import hardware, prefix_cache

_MIXES = pathlib.Path(__file__).with_name('mixes.toml')
_HASH_BITS = 62
_MAX_FACTORS = (1, 2, 4)
_SAMPLE = 3000

# The shortest and the longest.
Limits = typing.Sequence[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request of a mix.

    :ivar prompt: shortest and longest prompt behind the prefix, in tokens.
    :ivar prefix: shortest and longest shared prefix.
    :ivar prefixes: number of different shared prefixes; 0 for none.
    :ivar says_max: whether callers set ``max_tokens``.
    """

    name: ids.RuleName
    tier: ids.Tier
    weight: float
    deadline: float
    prompt: Limits
    output: Limits
    prefix: Limits = (0, 0)
    prefixes: int = 0
    says_max: bool = False
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Kinds of requests and the customers who send them."""

    kinds: tuple[Kind, ...]
    customers: tuple[ids.CustomerName, ...]
    sizes: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """What one caller wants.

    :ivar arrival: seconds from the start of the scenario.
    :ivar deadline: when the whole answer is due, on the same clock.
    :ivar blocks: hashes of the prompt's whole blocks.
    :ivar shared_tokens: leading prompt tokens that others have as well.
    :ivar poison: whether it crashes every engine that runs it.
    """

    number: int
    kind: Kind
    customer: ids.CustomerName
    arrival: float
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    blocks: tuple[ids.BlockHash, ...]
    shared_tokens: int
    fingerprint: ids.Fingerprint
    poison: bool = False

    @property
    def deadline(self) -> float:
        """Give the time when the whole answer is due."""
        return self.arrival + self.kind.deadline


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call of a caller: a request of its own id.

    :ivar arrival: when this call came, later than the intent's for a repeat.
    """

    request_id: ids.RequestId
    host: int
    intent: Intent
    arrival: float
    deadline: float

    @property
    def prompt_tokens(self) -> int:
        """Give the length of the prompt."""
        return self.intent.prompt_tokens

    @property
    def output_tokens(self) -> int:
        """Give the length of the answer, unknown to any policy."""
        return self.intent.output_tokens

    @property
    def blocks(self) -> tuple[ids.BlockHash, ...]:
        """Give the hashes of the prompt's whole blocks."""
        return self.intent.blocks

    @property
    def poison(self) -> bool:
        """Tell whether it crashes engines."""
        return self.intent.poison

    @property
    def tier(self) -> ids.Tier:
        """Give the tier of its rule."""
        return self.intent.kind.tier


@dataclasses.dataclass(frozen=True, slots=True)
class Surge:
    """A time in which more comes.

    :ivar factor: multiple of the ordinary rate.
    """

    start: float
    end: float
    factor: float


@functools.cache
def load_mix(name: str) -> Mix:
    """Read a mix.

    :param name: of a table of mixes.toml, or several joined by ``+``.

    >>> load_mix('noodhulp').kinds[0].name
    'pallet-question'
    >>> len(load_mix('borsafranca+noodhulp').customers)
    10
    """
    tables = tomllib.loads(_MIXES.read_text())
    parts = [tables[part] for part in name.split('+')]
    kinds = [_read_kind(kind) for part in parts for kind in part['kind']]
    sizes = {}
    for part in parts:
        sizes.update(part['customers'])
    return Mix(tuple(kinds), tuple(sizes), tuple(sizes.values()))


def _read_kind(table: dict[str, typing.Any]) -> Kind:
    table['tier'] = ids.Tier(table['tier'])
    return Kind(**table)


@functools.cache
def mean_work(mix_name: str) -> float:
    """Estimate the least work of a request, from a fixed sample.

    :param mix_name: as for :func:`load_mix`.
    :returns: seconds of an engine at 1x, shared prefixes left out.
    """
    draw = _Draw(load_mix(mix_name), random.Random(0))
    intents = [draw.intent(number, 0) for number in range(_SAMPLE)]
    return sum(intent_work(intent) for intent in intents) / _SAMPLE


def intent_work(intent: Intent) -> float:
    """Give the least work of one request, its shared prefix left out.

    :returns: seconds of an engine at 1x.
    """
    private = intent.prompt_tokens - intent.shared_tokens
    return hardware.least_work(private, intent.output_tokens)


def generate(
    mix: Mix,
    rate: float,
    seconds: float,
    surges: typing.Sequence[Surge],
    seed: int,
) -> list[Intent]:
    """Draw the intents of a scenario in order of arrival.

    :param rate: intents a second outside surges.
    :param seconds: length of the scenario.
    """
    rng = random.Random(seed)
    draw = _Draw(mix, rng)
    highest = max([1.0, *(surge.factor for surge in surges)])
    intents: list[Intent] = []
    now = rng.expovariate(rate * highest)
    while now < seconds:
        # Thinning: draw at the highest rate and keep the part that is due.
        if rng.random() * highest < _factor_at(surges, now):
            intents.append(draw.intent(len(intents), now))
        now += rng.expovariate(rate * highest)
    return intents


def _factor_at(surges: typing.Sequence[Surge], now: float) -> float:
    for surge in surges:
        if surge.start <= now < surge.end:
            return surge.factor
    return 1


class _Draw:
    """Draws single intents of a mix."""

    def __init__(self, mix: Mix, rng: random.Random) -> None:
        self._mix = mix
        self._rng = rng
        self._weights = [kind.weight for kind in mix.kinds]
        self._prefixes = {
            kind.name: self._draw_prefixes(kind) for kind in mix.kinds
        }

    def intent(self, number: int, now: float) -> Intent:
        kind = self._rng.choices(self._mix.kinds, self._weights)[0]
        customer = self._rng.choices(self._mix.customers, self._mix.sizes)[0]
        prefix = self._pick_prefix(kind)
        shared = len(prefix) * prefix_cache.BLOCK_TOKENS
        prompt = shared + self._spread(kind.prompt)
        output = self._spread(kind.output)
        own = prompt // prefix_cache.BLOCK_TOKENS - len(prefix)
        return Intent(
            number=number,
            kind=kind,
            customer=customer,
            arrival=now,
            prompt_tokens=prompt,
            output_tokens=output,
            max_tokens=self._maximum(kind, output),
            blocks=prefix + self._hashes(own),
            shared_tokens=shared,
            fingerprint=ids.Fingerprint(self._rng.getrandbits(_HASH_BITS)),
        )

    def _draw_prefixes(self, kind: Kind) -> list[tuple[ids.BlockHash, ...]]:
        lengths = [self._spread(kind.prefix) for _ in range(kind.prefixes)]
        return [
            self._hashes(tokens // prefix_cache.BLOCK_TOKENS)
            for tokens in lengths
        ]

    def _pick_prefix(self, kind: Kind) -> tuple[ids.BlockHash, ...]:
        prefixes = self._prefixes[kind.name]
        return self._rng.choice(prefixes) if prefixes else ()

    def _spread(self, limits: Limits) -> int:
        low, high = (math.log(limit) for limit in limits)
        return round(math.exp(self._rng.uniform(low, high)))

    def _maximum(self, kind: Kind, output: int) -> int:
        if not kind.says_max:
            return 0
        return output * self._rng.choice(_MAX_FACTORS)

    def _hashes(self, count: int) -> tuple[ids.BlockHash, ...]:
        return tuple(
            ids.BlockHash(self._rng.getrandbits(_HASH_BITS))
            for _ in range(count)
        )
