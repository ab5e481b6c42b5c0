"""Estimates of output lengths and of the speeds of backend servers.

Output lengths are estimated by (rule, customer). While there are few samples,
the estimate of the rule is used, then that of the pool. For each there is a
decaying mean, for predicted durations, and a high quantile by stochastic
approximation [1]_, for the KV cache room that a request is given.

Speeds are ratios of two decaying sums, seconds by tokens, which is steady
where single requests differ a hundredfold. A fixed part of each prefill is
counted as :data:`FIXED_TOKENS` more prompt tokens, so that plain services,
which have no tokens, are estimated by the same sums.

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
_MAX_KEYS = 4096
_MIN_SAMPLES = 3
_RELIABLE_SAMPLES = 5
_WINDOW_SAMPLES = 32
_DECAY = 0.9
_KIND_DECAY = 0.98
# A server's rate within this factor of its hardware's does not count as a
# different one.
_NOISE_FACTOR = 1.6
_HIGH_QUANTILE = 0.9
_HIGH_STEP = 0.1
# Estimates without enough samples.
_DEFAULT_OUTPUT_TOKENS = 128.0
_DEFAULT_PREFILL_SECONDS = 0.0003
_DEFAULT_DECODE_SECONDS = 0.02

_Key = typing.TypeVar('_Key', bound=typing.Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """An expected output length in tokens.

    :ivar mean: used for predicted durations.
    :ivar high: kept free in the KV cache.
    :ivar is_reliable: whether it rests on enough answers of the rule.
    """

    mean: float
    high: float
    is_reliable: bool = True


@dataclasses.dataclass(slots=True)
class _LengthEstimate:
    samples: int = 0
    mean: float = 0
    high: float = 0

    def add(self, tokens: float) -> None:
        self.samples += 1
        weight = 1 / min(self.samples, _WINDOW_SAMPLES)
        self.mean += (tokens - self.mean) * weight
        if self.samples == 1:
            self.high = tokens
        above = float(tokens > self.high)
        step = _HIGH_STEP * max(self.mean, 1)
        self.high += step * (above - (1 - _HIGH_QUANTILE))
        self.high = max(self.high, self.mean)


class OutputLengthEstimates:
    """Estimates of output lengths by rule and customer, in bounded memory.

    >>> lengths = OutputLengthEstimates()
    >>> lengths.add_sample(ids.RuleName('r'), ids.CustomerName('c'), 50)
    >>> lengths.estimate(ids.RuleName('r'), ids.CustomerName('c'), 0).mean
    50.0
    """

    def __init__(self) -> None:
        """Initialize without samples."""
        self._lengths: collections.OrderedDict[
            tuple[str, ...], _LengthEstimate
        ] = collections.OrderedDict()

    def add_sample(
        self,
        rule: ids.RuleName,
        customer: ids.CustomerName,
        tokens: int,
    ) -> None:
        """Record the length of a complete answer."""
        for key in ((rule, customer), (rule,), ()):
            length = self._lengths.setdefault(key, _LengthEstimate())
            self._lengths.move_to_end(key)
            length.add(tokens)
        if len(self._lengths) > _MAX_KEYS:
            self._lengths.popitem(last=False)

    def estimate(
        self,
        rule: ids.RuleName,
        customer: ids.CustomerName,
        max_tokens: int,
    ) -> Expected:
        """Estimate an output length.

        :param max_tokens: most tokens the caller asked for, 0 if not given.
        """
        most = float(max_tokens) if max_tokens else float('inf')
        for key in ((rule, customer), (rule,), ()):
            length = self._lengths.get(key)
            if length is None or length.samples < _min_samples(key):
                continue
            is_reliable = self._samples((rule,)) >= _RELIABLE_SAMPLES
            mean = min(length.mean, most)
            return Expected(mean, min(length.high, most), is_reliable)
        guess = min(_DEFAULT_OUTPUT_TOKENS, most)
        return Expected(guess, min(guess * 2, most), is_reliable=False)

    def _samples(self, key: tuple[str, ...]) -> int:
        length = self._lengths.get(key)
        return length.samples if length else 0


def _min_samples(key: tuple[str, ...]) -> int:
    # Lengths of other rules say little about this one, so many are needed.
    if not key:
        return _WINDOW_SAMPLES
    return _MIN_SAMPLES if len(key) == 1 else 1


@dataclasses.dataclass(slots=True)
class Ratio:
    """Ratio of a decaying sum of amounts to a decaying sum of weights.

    >>> ratio = Ratio()
    >>> ratio.add(2.0, 4.0)
    >>> ratio.value()
    0.5
    """

    amount: float = 0
    weight: float = 0
    samples: int = 0
    decay: float = _DECAY

    def add(self, amount: float, weight: float) -> None:
        """Record a sample."""
        self.amount = self.amount * self.decay + amount
        self.weight = self.weight * self.decay + weight
        self.samples += 1

    def value(self) -> float | None:
        """Return the ratio, or None without samples."""
        return self.amount / self.weight if self.weight else None


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Estimated seconds per token."""

    prefill: float
    decode: float

    def seconds(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the predicted seconds on an idle server."""
        prefill = self.prefill * (prompt_tokens + FIXED_TOKENS)
        return prefill + self.decode * output_tokens


@dataclasses.dataclass(slots=True)
class _SpeedSums:
    """Speed samples of a server or of a kind of hardware, for one model.

    :ivar prefill: seconds per uncached prompt token.
    :ivar decode: seconds per output token.
    :ivar rates: estimates from these samples, cached until the next sample.
    """

    prefill: Ratio = dataclasses.field(default_factory=Ratio)
    decode: Ratio = dataclasses.field(default_factory=Ratio)
    rates: Rates | None = None


class SpeedEstimates:
    """Speed estimates by server and by hardware, for each model."""

    def __init__(self) -> None:
        """Initialize without samples."""
        self._servers = _BoundedSpeeds[tuple[ids.ServerId, str | None]]()
        self._kinds = _BoundedSpeeds[tuple[str, str | None]]()

    def add_prefill_sample(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
        sample: tuple[float, float],
    ) -> None:
        """Record the seconds to a first token and the tokens of its prefill."""
        for speed in self._sums_of(server_id, hardware, model):
            speed.prefill.add(*sample)
            speed.rates = None

    def add_decode_sample(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
        sample: tuple[float, float],
    ) -> None:
        """Record the seconds after a first token and the tokens in them."""
        for speed in self._sums_of(server_id, hardware, model):
            speed.decode.add(*sample)
            speed.rates = None

    def of_kind(self, hardware: str, model: str | None) -> Rates:
        """Return the estimated speed of a kind of hardware."""
        kind = self._kinds.find((hardware, model))
        if kind is None:
            return _DEFAULT_RATES
        if kind.rates is None:
            kind.rates = Rates(
                _value_or(kind.prefill.value(), _DEFAULT_PREFILL_SECONDS),
                _value_or(kind.decode.value(), _DEFAULT_DECODE_SECONDS),
            )
        return kind.rates

    def of_server(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
    ) -> Rates:
        """Return the estimated speed of a server.

        That of its hardware is used while the server has few samples.
        """
        server = self._servers.find((server_id, model))
        if server is None:
            return self.of_kind(hardware, model)
        if server.rates is not None:
            return server.rates
        kind = self.of_kind(hardware, model)
        rates = Rates(
            _snap_to_kind(
                _own_rate(server.prefill, kind.prefill), kind.prefill
            ),
            _snap_to_kind(_own_rate(server.decode, kind.decode), kind.decode),
        )
        if _has_enough_samples(server):
            server.rates = rates
        return rates

    def _sums_of(
        self,
        server_id: ids.ServerId,
        hardware: str,
        model: str | None,
    ) -> tuple[_SpeedSums, _SpeedSums]:
        kind = self._kinds.at((hardware, model))
        kind.prefill.decay = _KIND_DECAY
        kind.decode.decay = _KIND_DECAY
        return self._servers.at((server_id, model)), kind


_DEFAULT_RATES = Rates(_DEFAULT_PREFILL_SECONDS, _DEFAULT_DECODE_SECONDS)


class _BoundedSpeeds(typing.Generic[_Key]):
    """Speed samples by key; the least recently used are evicted."""

    def __init__(self) -> None:
        self._speeds: collections.OrderedDict[_Key, _SpeedSums] = (
            collections.OrderedDict()
        )

    def at(self, key: _Key) -> _SpeedSums:
        speed = self._speeds.setdefault(key, _SpeedSums())
        self._speeds.move_to_end(key)
        if len(self._speeds) > _MAX_KEYS:
            self._speeds.popitem(last=False)
        return speed

    def find(self, key: _Key) -> _SpeedSums | None:
        return self._speeds.get(key)


def _has_enough_samples(speed: _SpeedSums) -> bool:
    return min(speed.prefill.samples, speed.decode.samples) >= _MIN_SAMPLES


def _own_rate(ratio: Ratio, otherwise: float) -> float:
    if ratio.samples < _MIN_SAMPLES:
        return otherwise
    return _value_or(ratio.value(), otherwise)


def _snap_to_kind(rate: float, usual: float) -> float:
    """Return the kind's rate unless a rate differs by more than noise."""
    if usual / _NOISE_FACTOR <= rate <= usual * _NOISE_FACTOR:
        return usual
    return rate


def _value_or(ratio: float | None, otherwise: float) -> float:
    return otherwise if ratio is None else ratio


def expected_length(
    lengths: OutputLengthEstimates, slot_request: requests.SlotRequest
) -> Expected:
    """Return the estimated output length of a slot request."""
    return lengths.estimate(
        slot_request.rule, slot_request.customer, slot_request.max_tokens
    )
