"""The scenarios, read from scenarios.toml.

Each is one pool with six engines before six entry hosts, and lasts about a
minute of virtual time, after which calls in flight may end.
"""

import dataclasses
import functools
import pathlib
import tomllib
import typing

from geraniumweir.fakes.bench import hardware, traffic

_FILE = pathlib.Path(__file__).with_name('scenarios.toml')
_BOTH_MIXES = 'borsafranca+noodhulp'
_SIX_ALIKE = ('g2', 'g2', 'g2', 'g2', 'g2', 'g2')


@dataclasses.dataclass(frozen=True, slots=True)
class PaceFault:
    """An engine that slows down or, at pace 0, stalls, without a sign."""

    server: int
    start: float
    end: float
    pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonFault:
    """A request that crashes its engine, sent again after each failure.

    :ivar resends: how often at most.
    """

    start: float
    resends: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderFault:
    """The pool leader's process dies."""

    start: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutFault:
    """Servers that can't be reached for a time."""

    servers: typing.Sequence[int]
    start: float
    end: float


Fault = PaceFault | PoisonFault | LeaderFault | CutFault

_FAULTS: dict[str, typing.Callable[..., Fault]] = {
    'pace': PaceFault,
    'poison': PoisonFault,
    'leader': LeaderFault,
    'cut': CutFault,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario.

    :ivar load: offered least work as a multiple of the engines' capacity.
    :ivar seconds: how long callers come.
    :ivar report_lag: seconds from a measurement to its arrival.
    :ivar event_loss: share of the cache reports that never arrive.
    :ivar retry_share: share of the callers that come back after
        ``Retry-After``, while their deadline allows it.
    """

    name: str
    load: float
    seconds: float = 60
    mix: str = _BOTH_MIXES
    engines: tuple[str, ...] = _SIX_ALIKE
    surges: tuple[traffic.Surge, ...] = ()
    faults: tuple[Fault, ...] = ()
    report_lag: float = 0.5
    event_loss: float = 0.1
    retry_share: float = 0.6

    def hardware(self) -> list[hardware.Hardware]:
        """List what each engine is."""
        by_name = {kind.name: kind for kind in hardware.GENERATIONS}
        return [by_name[name] for name in self.engines]

    def intents(self, seed: int) -> list[traffic.Intent]:
        """Draw what the callers want, without the poison requests."""
        mix = traffic.load_mix(self.mix)
        capacity = sum(kind.speed for kind in self.hardware())
        rate = self.load * capacity / traffic.mean_work(self.mix)
        return traffic.generate(mix, rate, self.seconds, self.surges, seed)


@functools.cache
def load_all() -> dict[str, Scenario]:
    """Read all scenarios, by name.

    >>> load_all()['overload-3x'].load
    3.0
    """
    tables = tomllib.loads(_FILE.read_text())
    return {name: _read(name, table) for name, table in tables.items()}


def _read(name: str, table: dict[str, typing.Any]) -> Scenario:
    surges = [traffic.Surge(**surge) for surge in table.pop('surges', ())]
    faults = [_read_fault(fault) for fault in table.pop('faults', ())]
    engines = table.pop('engines', _SIX_ALIKE)
    return Scenario(
        name,
        surges=tuple(surges),
        faults=tuple(faults),
        engines=tuple(engines),
        **table,
    )


def _read_fault(table: dict[str, typing.Any]) -> Fault:
    return _FAULTS[table.pop('kind')](**table)
