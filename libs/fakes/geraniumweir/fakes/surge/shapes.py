"""What can be played, and what came of it."""

import dataclasses
import functools
import math
import pathlib
import tomllib
import typing

from geraniumweir.common import ids

_FOLDER = pathlib.Path(__file__).parent
# Callers leave a stream that doesn't begin within so many targets, in seconds
# at least.
_PATIENCE_TARGETS = 4
_LEAST_PATIENCE = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A class of requests.

    :ivar rate: requests a second at the usual load.
    :ivar target: seconds to the first token.
    :ivar time_limit: seconds that a caller has in all.
    :ivar late_worth: of an answer whose first token came late.
    :ivar prompt_spread: standard deviation of the logarithm of prompt lengths.
    :ivar output_spread: the same of output lengths.
    :ivar longest: longest length, as a multiple of the median.
    :ivar hint_spread: standard deviation of the logarithm of the error of what
        callers say of an output's length; it is right at the median only.
    """

    name: ids.RuleName
    rank: int
    rate: float
    prompt_tokens: int
    output_tokens: int
    target: float
    time_limit: float
    worth: float
    late_worth: float
    prompt_spread: float = 0.75
    output_spread: float = 0.45
    longest: float = 4.0
    hint_spread: float = 0.3

    @property
    def patience(self) -> float:
        """Give the seconds after which callers leave."""
        return max(_LEAST_PATIENCE, self.target * _PATIENCE_TARGETS)


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A time in which more comes; times in seconds."""

    start: float
    end: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Demand that rises and falls.

    :ivar swing: largest difference from the mean, as a fraction of it.
    :ivar period: in seconds.
    """

    swing: float = 0
    period: float = 15

    def factor_at(self, at: float) -> float:
        """Return the demand at a time as a multiple of the mean.

        >>> round(Wave(0.5, 8).factor_at(2), 2)
        1.5
        """
        return 1 + self.swing * math.sin(math.tau * at / self.period)


@dataclasses.dataclass(frozen=True, slots=True)
class SlowSpells:
    """Times in which an engine takes longer for each step.

    :ivar share: fraction of the time.
    :ivar factor: of the time that a step takes.
    :ivar seconds: length of a spell.
    """

    share: float = 0
    factor: float = 2.5
    seconds: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A loss of the coordinator.

    :ivar start: in seconds.
    :ivar gap: seconds until there is a new one.
    :ivar spread: within so many seconds the entry hosts turn to it.
    """

    start: float
    gap: float = 0.9
    spread: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What is played.

    :ivar load: as a part of the usual one.
    :ivar clump: number of callers that arrive together.
    :ivar kinds: name of the file with the classes of requests.
    """

    seconds: float = 16
    engines: int = 39
    slots: int = 9
    entry_hosts: int = 195
    load: float = 1
    bursts: tuple[Burst, ...] = ()
    freeze: Freeze | None = None
    seed: int = 1
    wave: Wave = Wave()
    clump: int = 1
    slow_spells: SlowSpells = SlowSpells()
    kinds: str = 'kinds'

    def load_at(self, at: float) -> float:
        """Give the load at a time in seconds.

        >>> Shape(bursts=(Burst(1, 2, 1.5),)).load_at(1.5)
        1.5
        """
        factors = [
            burst.factor
            for burst in self.bursts
            if burst.start <= at < burst.end
        ]
        factor = max(factors, default=1) * self.wave.factor_at(at)
        return self.load * factor


@dataclasses.dataclass(slots=True)
class Account:
    """What the callers of one class got."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0

    def earned(self, kind: Kind) -> float:
        """Give what the answers were worth."""
        return self.on_time * kind.worth + self.late * kind.late_worth


@functools.cache
def kinds(name: str = 'kinds') -> tuple[Kind, ...]:
    """Read the classes of requests, the most important first.

    :param name: of their file.
    """
    found = tomllib.loads((_FOLDER / f'{name}.toml').read_text())['kind']
    return tuple(Kind(**table) for table in found)


def whole_worth(
    accounts: typing.Mapping[ids.RuleName, Account], name: str = 'kinds'
) -> float:
    """Give what was earned of what all requests were worth.

    :param name: of the file with the classes of requests.
    """
    owed = float(0)
    earned = float(0)
    for kind in kinds(name):
        found = accounts[kind.name]
        owed += found.asked * kind.worth
        earned += found.earned(kind)
    return earned / owed
