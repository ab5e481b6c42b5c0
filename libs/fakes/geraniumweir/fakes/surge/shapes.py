"""What can be played, and what came of it."""

import dataclasses
import functools
import pathlib
import tomllib
import typing

from geraniumweir.common import ids

_KINDS = pathlib.Path(__file__).with_name('kinds.toml')
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
    """

    seconds: float = 16
    engines: int = 39
    slots: int = 9
    entry_hosts: int = 195
    load: float = 1
    bursts: tuple[Burst, ...] = ()
    freeze: Freeze | None = None
    seed: int = 1

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
        return self.load * max(factors, default=1)


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
def kinds() -> tuple[Kind, ...]:
    """Read the classes of requests, the most important first."""
    found = tomllib.loads(_KINDS.read_text())['kind']
    return tuple(Kind(**table) for table in found)


def whole_worth(accounts: typing.Mapping[ids.RuleName, Account]) -> float:
    """Give what was earned of what all requests were worth."""
    owed = float(0)
    earned = float(0)
    for kind in kinds():
        found = accounts[kind.name]
        owed += found.asked * kind.worth
        earned += found.earned(kind)
    return earned / owed
