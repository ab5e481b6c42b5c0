"""Learns how fast each backend server is.

A first token takes a fixed time and a time for each prompt token that is read
before it; both differ from server to server (4.4 times between generations
of hardware). They are fitted by least squares over decaying sums, starting
from what all servers of the pool show, so that a new server counts as a usual
one until its own first tokens come.

References
==========
.. [1] L. Ljung, T. Söderström, "Theory and Practice of Recursive
   Identification", 1983: least squares with a forgetting factor.
"""

import dataclasses

# Each further sample makes the older ones count for so much less; about 30
# samples are remembered, a second or two at the usual load of a server.
_DECAY = 0.97
# A first guess, until the first answers: an engine that takes 60 ms for its
# first token and reads 50 prompt tokens in a millisecond.
_FIXED_GUESS = 0.06
_TOKEN_GUESS = 2e-5
_DECODE_GUESS = 0.005
# Weight of the guess in samples; the second one is at a long prompt.
_GUESS_WEIGHT = 1.0
_GUESS_TOKENS = 4000.0
# A fitted line may start below nothing; a first token takes a millisecond.
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
        """Start from the guess."""
        self._put(0, _FIXED_GUESS, _GUESS_WEIGHT)
        at_long = _FIXED_GUESS + _GUESS_TOKENS * _TOKEN_GUESS
        self._put(_GUESS_TOKENS, at_long, _GUESS_WEIGHT)

    def add(self, tokens: float, seconds: float) -> None:
        """Take a sample."""
        self.weight *= _DECAY
        self.sum_x *= _DECAY
        self.sum_y *= _DECAY
        self.sum_xx *= _DECAY
        self.sum_xy *= _DECAY
        self._put(tokens, seconds, 1)

    def predict(self, tokens: float) -> float:
        """Give the seconds predicted for a number of tokens."""
        fixed, slope = self.fit()
        return fixed + slope * tokens

    def fit(self) -> tuple[float, float]:
        """Give the seconds for no tokens, and more for each token.

        It is asked for much more often than samples come.
        """
        if self._fit is None:
            slope = self._slope()
            fixed = (self.sum_y - slope * self.sum_x) / self.weight
            self._fit = max(fixed, _MIN_FIXED_SECONDS), slope
        return self._fit

    def slope(self) -> float:
        """Give the seconds for each token."""
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
        """Take a sample."""
        if self.mean is None:
            self.mean = sample
        else:
            self.mean += (sample - self.mean) * (1 - _DECAY)

    def get(self, default: float) -> float:
        """Give the mean, or a default before the first sample."""
        return default if self.mean is None else self.mean


@dataclasses.dataclass(slots=True)
class Speed:
    """What is learnt of one server, or of a whole pool.

    :ivar first_token_line: seconds to a first token by prompt tokens read before it.
    :ivar decode: seconds for each output token.
    :ivar mean_gap: mean pause between a stream's events, in seconds.
    :ivar longest_gap: the longest pause lately; it comes while long prompts are
        read between the tokens of the others.
    :ivar samples: first tokens seen.
    """

    first_token_line: Line = dataclasses.field(default_factory=Line)
    decode: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    mean_gap: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    longest_gap: float = 0
    samples: int = 0

    def add_gaps(self, mean_seconds: float, longest: float) -> None:
        """Take the pauses of a whole stream, in seconds."""
        self.mean_gap.add(mean_seconds)
        self.longest_gap = max(longest, self.longest_gap * _DECAY)


# A server's own figures count once it has shown this many first tokens.
_MIN_SAMPLES = 3


class SpeedEstimator:
    """The speeds of a pool's servers, with the pool to fall back on."""

    def __init__(self) -> None:
        """Know nothing."""
        self.pool = Speed()

    def first_token_seconds(self, server: Speed, tokens: float) -> float:
        """Predict the seconds to a first token.

        :param tokens: read before it, those of others ahead included.
        """
        return self.line(server).predict(tokens)

    def line(self, server: Speed) -> Line:
        """Give what predicts a server's first tokens."""
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
        """Take a first token."""
        for speed in (server, self.pool):
            speed.first_token_line.add(tokens, seconds)
            speed.samples += 1

    def add_response(
        self,
        server: Speed,
        tokens: float,
        decode_seconds: float,
    ) -> None:
        """Take a whole answer.

        :param tokens: that came after the first ones, 0 for none.
        """
        if tokens <= 0:
            return
        for speed in (server, self.pool):
            speed.decode.add(decode_seconds / tokens)
