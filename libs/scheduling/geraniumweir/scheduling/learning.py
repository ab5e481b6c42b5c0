"""Learns output lengths and the speeds of backend servers.

Output lengths are learnt by (rule, customer), with the rule and then the pool
to fall back on while there are few samples. Of each a decaying mean is kept
for predicted durations, and a high quantile by stochastic approximation
[1]_ for the KV room that a request is given.

Speeds are ratios of two decaying sums, seconds by tokens, which stays steady
where single requests differ a hundredfold. A fixed part of each prefill is
counted as :data:`FIXED_TOKENS` more prompt tokens, so that plain services,
which have no tokens, are learnt by the same sums.

References
==========
.. [1] H. Robbins, S. Monro, "A Stochastic Approximation Method", Annals of
   Mathematical Statistics 22(3), 1951.
"""

import collections
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests

FIXED_TOKENS = 100
_MOST_KEYS = 4096
_MIN_SAMPLES = 3
_SURE_SAMPLES = 5
_MEMORY = 32
_KEEP = 0.9
_KEEP_OF_KIND = 0.98
_NOISE = 1.6
_HIGH_QUANTILE = 0.9
_HIGH_STEP = 0.1
_FIRST_GUESS = 128.0
_PREFILL_GUESS = 0.0003
_DECODE_GUESS = 0.02

_Key = typing.TypeVar('_Key', bound=typing.Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """An expected output length in tokens.

    :ivar mean: what predicted durations use.
    :ivar high: what is kept free in the KV cache.
    :ivar sure: whether answers enough of the rule are behind it.
    """

    mean: float
    high: float
    sure: bool = True


@dataclasses.dataclass(slots=True)
class _Length:
    samples: int = 0
    mean: float = 0
    high: float = 0

    def add(self, tokens: float) -> None:
        self.samples += 1
        weight = 1 / min(self.samples, _MEMORY)
        self.mean += (tokens - self.mean) * weight
        if self.samples == 1:
            self.high = tokens
        above = float(tokens > self.high)
        step = _HIGH_STEP * max(self.mean, 1)
        self.high += step * (above - (1 - _HIGH_QUANTILE))
        self.high = max(self.high, self.mean)


class OutputLengths:
    """Output lengths by rule and customer, in bounded memory.

    >>> lengths = OutputLengths()
    >>> lengths.learn(ids.RuleName('r'), ids.CustomerName('c'), 50)
    >>> lengths.expect(ids.RuleName('r'), ids.CustomerName('c'), 0).mean
    50.0
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._lengths: collections.OrderedDict[tuple[str, ...], _Length] = (
            collections.OrderedDict()
        )

    def learn(
        self,
        rule: ids.RuleName,
        customer: ids.CustomerName,
        tokens: int,
    ) -> None:
        """Take the length of a whole answer."""
        for key in ((rule, customer), (rule,), ()):
            length = self._lengths.setdefault(key, _Length())
            self._lengths.move_to_end(key)
            length.add(tokens)
        if len(self._lengths) > _MOST_KEYS:
            self._lengths.popitem(last=False)

    def expect(
        self,
        rule: ids.RuleName,
        customer: ids.CustomerName,
        max_tokens: int,
    ) -> Expected:
        """Predict an output length.

        :param max_tokens: most tokens the caller asked for, 0 if unsaid.
        """
        most = float(max_tokens) if max_tokens else float('inf')
        for key in ((rule, customer), (rule,), ()):
            length = self._lengths.get(key)
            if length is None or length.samples < _enough(key):
                continue
            sure = self._samples((rule,)) >= _SURE_SAMPLES
            mean = min(length.mean, most)
            return Expected(mean, min(length.high, most), sure)
        guess = min(_FIRST_GUESS, most)
        return Expected(guess, min(guess * 2, most), sure=False)

    def _samples(self, key: tuple[str, ...]) -> int:
        length = self._lengths.get(key)
        return length.samples if length else 0


def _enough(key: tuple[str, ...]) -> int:
    # Other rules' lengths say little: they must be many.
    if not key:
        return _MEMORY
    return _MIN_SAMPLES if len(key) == 1 else 1


@dataclasses.dataclass(slots=True)
class Ratio:
    """A decaying sum of amounts by a decaying sum of weights.

    >>> ratio = Ratio()
    >>> ratio.add(2.0, 4.0)
    >>> ratio.value()
    0.5
    """

    amount: float = 0
    weight: float = 0
    samples: int = 0
    keep: float = _KEEP

    def add(self, amount: float, weight: float) -> None:
        """Take a sample."""
        self.amount = self.amount * self.keep + amount
        self.weight = self.weight * self.keep + weight
        self.samples += 1

    def value(self) -> float | None:
        """Give the ratio, None without samples."""
        return self.amount / self.weight if self.weight else None


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Predicted seconds by token."""

    prefill: float
    decode: float

    def seconds(self, prompt_tokens: float, output_tokens: float) -> float:
        """Predict a duration on an idle server."""
        prefill = self.prefill * (prompt_tokens + FIXED_TOKENS)
        return prefill + self.decode * output_tokens


@dataclasses.dataclass(slots=True)
class Speed:
    """Speeds of a server or of a kind of servers, for one model.

    :ivar prefill: seconds by uncached prompt token.
    :ivar decode: seconds by output token.
    :ivar rates: what they predict, until the next sample.
    """

    prefill: Ratio = dataclasses.field(default_factory=Ratio)
    decode: Ratio = dataclasses.field(default_factory=Ratio)
    rates: Rates | None = None


class Speeds:
    """Speeds by server and by hardware, for each model."""

    def __init__(self) -> None:
        """Know nothing."""
        self._servers = _Bounded[tuple[ids.ServerId, str | None]]()
        self._kinds = _Bounded[tuple[str, str | None]]()

    def learn_prefill(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
        sample: tuple[float, float],
    ) -> None:
        """Take the seconds to a first token and the tokens before it."""
        for speed in self._speeds(server_id, hardware, model):
            speed.prefill.add(*sample)
            speed.rates = None

    def learn_decode(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
        sample: tuple[float, float],
    ) -> None:
        """Take the seconds after a first token and the tokens in them."""
        for speed in self._speeds(server_id, hardware, model):
            speed.decode.add(*sample)
            speed.rates = None

    def of_kind(self, hardware: str, model: str | None) -> Rates:
        """Predict for a kind of hardware."""
        kind = self._kinds.find((hardware, model))
        if kind is None:
            return _GUESS
        if kind.rates is None:
            kind.rates = Rates(
                _first(kind.prefill.value(), _PREFILL_GUESS),
                _first(kind.decode.value(), _DECODE_GUESS),
            )
        return kind.rates

    def of_server(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
    ) -> Rates:
        """Predict for a server, by its kind while it is little known."""
        server = self._servers.find((server_id, model))
        if server is None:
            return self.of_kind(hardware, model)
        if server.rates is not None:
            return server.rates
        kind = self.of_kind(hardware, model)
        rates = Rates(
            _near(_known(server.prefill, kind.prefill), kind.prefill),
            _near(_known(server.decode, kind.decode), kind.decode),
        )
        if _well_known(server):
            server.rates = rates
        return rates

    def _speeds(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
    ) -> tuple[Speed, Speed]:
        kind = self._kinds.at((hardware, model))
        kind.prefill.keep = _KEEP_OF_KIND
        kind.decode.keep = _KEEP_OF_KIND
        return self._servers.at((server_id, model)), kind


_GUESS = Rates(_PREFILL_GUESS, _DECODE_GUESS)


class _Bounded(typing.Generic[_Key]):
    """Speeds by key; the longest unused are forgotten."""

    def __init__(self) -> None:
        self._speeds: collections.OrderedDict[_Key, Speed] = (
            collections.OrderedDict()
        )

    def at(self, key: _Key) -> Speed:
        speed = self._speeds.setdefault(key, Speed())
        self._speeds.move_to_end(key)
        if len(self._speeds) > _MOST_KEYS:
            self._speeds.popitem(last=False)
        return speed

    def find(self, key: _Key) -> Speed | None:
        return self._speeds.get(key)


def _well_known(speed: Speed) -> bool:
    return min(speed.prefill.samples, speed.decode.samples) >= _MIN_SAMPLES


def _known(ratio: Ratio, otherwise: float) -> float:
    if ratio.samples < _MIN_SAMPLES:
        return otherwise
    return _first(ratio.value(), otherwise)


def _near(rate: float, usual: float) -> float:
    """Take a rate for the kind's unless it differs by more than noise."""
    if usual / _NOISE <= rate <= usual * _NOISE:
        return usual
    return rate


def _first(ratio: float | None, otherwise: float) -> float:
    return otherwise if ratio is None else ratio


def length_of(
    lengths: OutputLengths, slot_request: requests.SlotRequest
) -> Expected:
    """Predict the output length of an ask."""
    return lengths.expect(
        slot_request.rule, slot_request.customer, slot_request.max_tokens
    )
