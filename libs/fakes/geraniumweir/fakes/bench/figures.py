"""Works out the figures of a run, and prints them.

All figures are counts and shares in virtual time: the same seed gives the
same figures on every run and machine. docs/design/bench.md describes each.
"""

import collections
import dataclasses
import typing

import tabulate
from geraniumweir.common import ids
from geraniumweir.fakes.bench import driver, oracle, tier_order

_DIGITS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class TierFigures:
    """One tier of one run.

    :ivar offered: requests that callers wanted.
    :ivar done: whole answers in time.
    :ivar bound: the most that could be done, see oracle.py.
    :ivar longest_wait: seconds to the first token or the end without one,
        of the customer who waited longest.
    :ivar worst_customer: lowest goodput of a customer, as a share of what
        it offered.
    """

    offered: int
    done: int
    bound: float
    goodput: float
    longest_wait: float
    worst_customer: float


@dataclasses.dataclass(frozen=True, slots=True)
class WasteFigures:
    """Prefill as shares of the prompt tokens that engines admitted."""

    thrown_away: float
    repeated: float
    recomputed: float

    @property
    def wasted(self) -> float:
        """Give what was thrown away or repeated."""
        return self.thrown_away + self.repeated


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """All deterministic figures of one run.

    :ivar goodput: done in time, as a share of offered.
    :ivar of_bound: done in time, as a share of the bound.
    :ivar higher_shed: sheds of a higher tier while a lower one was served.
    :ivar crashes: of engines.
    :ivar ends: number of calls by how they ended.
    """

    scenario: str
    policy: str
    seed: int
    goodput: float
    of_bound: float
    tiers: dict[str, TierFigures]
    waste: WasteFigures
    higher_shed: int
    dispatches_over_one: int
    crashes: int
    messages: int
    ends: dict[str, int]


def work_out(run: driver.Run, seed: int) -> Figures:
    """Work out the figures of a run.

    :param seed: the run's, for the record.
    """
    bounds = oracle.bound(run.scenario, run.intents)
    tiers = {
        str(int(tier)): _tier_figures(run, tier, bounds[tier])
        for tier in ids.Tier
    }
    done = sum(tier.done for tier in tiers.values())
    return Figures(
        scenario=run.scenario.name,
        policy=run.policy,
        seed=seed,
        goodput=_share(done, len(run.intents)),
        of_bound=_share(done, sum(bounds.values())),
        tiers=tiers,
        waste=_waste_figures(run),
        higher_shed=tier_order.count_violations(run.scenario, run.account),
        dispatches_over_one=run.account.dispatches_over_one(),
        crashes=run.crashes,
        messages=sum(run.account.messages.values()),
        ends=dict(sorted(run.account.ends.items())),
    )


def _tier_figures(
    run: driver.Run,
    tier: ids.Tier,
    bound: float,
) -> TierFigures:
    offered: collections.Counter[str] = collections.Counter()
    done: collections.Counter[str] = collections.Counter()
    for intent in run.intents:
        if intent.kind.tier is tier:
            offered[intent.customer] += 1
            done[intent.customer] += intent.number in run.account.useful
    waits = run.account.waits.items()
    shares = [_share(done[name], offered[name]) for name in offered]
    return TierFigures(
        offered=offered.total(),
        done=done.total(),
        bound=round(bound, 2),
        goodput=_share(done.total(), offered.total()),
        longest_wait=round(
            max((wait for key, wait in waits if key[0] is tier), default=0),
            3,
        ),
        worst_customer=min(shares, default=1),
    )


def _waste_figures(run: driver.Run) -> WasteFigures:
    prefill = run.account.prefill
    return WasteFigures(
        _share(prefill.thrown_away, prefill.dispatched),
        _share(prefill.repeated, prefill.dispatched),
        _share(prefill.recomputed, prefill.dispatched),
    )


def _share(part: float, whole: float) -> float:
    return round(part / whole, _DIGITS) if whole else 1


def as_table(rows: typing.Iterable[Figures]) -> str:
    """Lay figures out as a table, one line a run."""
    return tabulate.tabulate(
        [_cells(row) for row in rows],
        headers='keys',
        tablefmt='github',
        floatfmt='.3f',
    )


def _cells(row: Figures) -> dict[str, typing.Any]:
    cells: dict[str, typing.Any] = {
        'scenario': row.scenario,
        'policy': row.policy,
        'goodput': row.goodput,
        'of bound': row.of_bound,
    }
    for name, tier in row.tiers.items():
        cells[f't{name}'] = tier.goodput
    cells['thrown'] = row.waste.thrown_away
    cells['repeated'] = row.waste.repeated
    cells['higher shed'] = row.higher_shed
    cells['over one'] = row.dispatches_over_one
    cells['crashes'] = row.crashes
    cells['longest t0 wait'] = row.tiers['0'].longest_wait
    cells['messages'] = row.messages
    return cells
