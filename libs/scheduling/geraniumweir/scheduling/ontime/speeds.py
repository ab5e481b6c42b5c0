"""Estimates of the speed of each backend server.

A first token takes a fixed time and a time for each prompt token read before
it; both differ between servers (4.4 times between generations of hardware).
They are fitted by least squares over decaying sums [1]_, starting from the
estimate for the whole pool, so that a new server counts as an average one until
its own first tokens come.

References
==========
.. [1] L. Ljung, T. Söderström, "Theory and Practice of Recursive
   Identification", 1983: least squares with a forgetting factor.
"""

import dataclasses

# Each further sample reduces the weight of older ones by this factor; about 30
# samples count, a second or two at the usual load of a server.
_DECAY = 0.97
# Initial guess until the first responses: an engine that takes 60 ms for its
# first token and reads 50 prompt tokens in a millisecond.
_FIXED_GUESS = 0.06
_TOKEN_GUESS = 2e-5
_DECODE_GUESS = 0.005
# Weight of the guess in samples; the second one is at a long prompt.
_GUESS_WEIGHT = 1.0
_GUESS_TOKENS = 4000.0
# A fitted line may start below zero; a first token takes at least a
# millisecond.
_MIN_FIXED_SECONDS = 0.001


@dataclasses.dataclass(slots=True)
class Line:
    """A line fitted to decaying samples.

    >>> line = Line()
    >>> for tokens in (100, 1000, 5000) * 50:
    ...     line.add(tokens, 0.1 + tokens * 0.0001)
    >>> round(line.predict(2000), 2)
    0.3
    """

    weight: float = 0
    sum_x: float = 0
    sum_y: float = 0
    sum_xx: float = 0
    sum_xy: float = 0
    _fit: tuple[float, float] | None = None

    def __post_init__(self) -> None:
        """Initialize with samples of the guess."""
        self._put(0, _FIXED_GUESS, _GUESS_WEIGHT)
        at_long = _FIXED_GUESS + _GUESS_TOKENS * _TOKEN_GUESS
        self._put(_GUESS_TOKENS, at_long, _GUESS_WEIGHT)

    def add(self, tokens: float, seconds: float) -> None:
        """Add a sample."""
        self.weight *= _DECAY
        self.sum_x *= _DECAY
        self.sum_y *= _DECAY
        self.sum_xx *= _DECAY
        self.sum_xy *= _DECAY
        self._put(tokens, seconds, 1)

    def predict(self, tokens: float) -> float:
        """Predict the seconds for a number of tokens."""
        fixed, slope = self.fit()
        return fixed + slope * tokens

    def fit(self) -> tuple[float, float]:
        """Return the seconds for no tokens, and those for each token.

        The result is cached: calls are much more frequent than samples.
        """
        if self._fit is None:
            slope = self._slope()
            fixed = (self.sum_y - slope * self.sum_x) / self.weight
            self._fit = max(fixed, _MIN_FIXED_SECONDS), slope
        return self._fit

    def slope(self) -> float:
        """Return the seconds per token."""
        return self.fit()[1]

    def _slope(self) -> float:
        spread = self.weight * self.sum_xx - self.sum_x**2
        if spread <= 0:
            return 0
        slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / spread
        return max(slope, 0)

    def _put(self, tokens: float, seconds: float, weight: float) -> None:
        self._fit = None
        self.weight += weight
        self.sum_x += weight * tokens
        self.sum_y += weight * seconds
        self.sum_xx += weight * tokens**2
        self.sum_xy += weight * tokens * seconds


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """A decaying mean.

    :ivar mean: None before the first sample.
    """

    mean: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self.mean is None:
            self.mean = sample
        else:
            self.mean += (sample - self.mean) * (1 - _DECAY)

    def get(self, default: float) -> float:
        """Return the mean, or a default before the first sample."""
        return default if self.mean is None else self.mean


@dataclasses.dataclass(slots=True)
class Speed:
    """Estimates of one server, or of a whole pool.

    :ivar first_token_line: seconds to a first token by the prompt tokens read
        before it.
    :ivar decode: seconds for each output token.
    :ivar mean_gap: mean pause between a stream's events, in seconds.
    :ivar longest_gap: longest recent pause, in seconds; it occurs while long
        prompts are read between the tokens of running streams.
    :ivar samples: number of first tokens.
    """

    first_token_line: Line = dataclasses.field(default_factory=Line)
    decode: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    mean_gap: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    longest_gap: float = 0
    samples: int = 0

    def add_gaps(self, mean_seconds: float, longest: float) -> None:
        """Add the pauses of a complete stream, in seconds."""
        self.mean_gap.add(mean_seconds)
        self.longest_gap = max(longest, self.longest_gap * _DECAY)


# A server's own estimates are used from this number of first tokens on.
_MIN_SAMPLES = 3


class SpeedEstimator:
    """Speeds of a pool's servers.

    The pool's estimate is used for servers with few samples.
    """

    def __init__(self) -> None:
        """Initialize with the guess."""
        self.pool = Speed()

    def first_token_seconds(self, server: Speed, tokens: float) -> float:
        """Predict the seconds to a first token.

        :param tokens: prompt tokens read before it, with those of requests
            ahead.
        """
        return self.line(server).predict(tokens)

    def line(self, server: Speed) -> Line:
        """Return the line that predicts a server's first tokens."""
        speed = server if server.samples >= _MIN_SAMPLES else self.pool
        return speed.first_token_line

    def decode(self, server: Speed) -> float:
        """Predict the seconds for an output token."""
        pool_mean = self.pool.decode.get(_DECODE_GUESS)
        return server.decode.get(pool_mean)

    def add_first_token(
        self,
        server: Speed,
        tokens: float,
        seconds: float,
    ) -> None:
        """Add a first token.

        :param tokens: prompt tokens read before it.
        :param seconds: from the grant to the first token.
        """
        for speed in (server, self.pool):
            speed.first_token_line.add(tokens, seconds)
            speed.samples += 1

    def add_response(
        self,
        server: Speed,
        tokens: float,
        decode_seconds: float,
    ) -> None:
        """Add a complete response.

        :param tokens: output tokens, 0 for none.
        :param decode_seconds: time after the first token.
        """
        if tokens <= 0:
            return
        for speed in (server, self.pool):
            speed.decode.add(decode_seconds / tokens)
