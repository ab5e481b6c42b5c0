"""Reads the JSON of a bench: runs of policies in scenarios.

Runs of one scenario and policy with different seeds are averaged.
"""

import dataclasses
import json
import statistics
import typing

from geraniumweir.ctl import errors

_Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """One tier of a run.

    :ivar goodput: share of what was offered that was done in time.
    :ivar longest_wait: to the first token, in seconds.
    """

    goodput: float
    longest_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One policy in one scenario.

    :ivar thrown_away: share of prefill that gave no useful answer.
    :ivar repeated: share of prefill done more than once.
    """

    scenario: str
    policy: str
    goodput: float
    thrown_away: float
    repeated: float
    tiers: typing.Mapping[str, Tier]


def read(text: str) -> list[Run]:
    """Read a bench's file.

    :param text: JSON with ``runs``.
    :returns: one run for each scenario and policy, in the file's order.
    :raises errors.FailedError: when it is no bench's file.
    """
    try:
        runs = [_run(row) for row in json.loads(text)['runs']]
    except (ValueError, TypeError, LookupError) as exc:
        raise errors.FailedError(f'not the JSON of a bench: {exc!r}') from exc
    if not runs:
        raise errors.FailedError('the bench holds no run')
    groups: dict[tuple[str, str], list[Run]] = {}
    for run in runs:
        groups.setdefault((run.scenario, run.policy), []).append(run)
    return [_average(group) for group in groups.values()]


def _run(row: _Json) -> Run:
    tiers = {
        name: Tier(float(tier['goodput']), float(tier['longest_wait']))
        for name, tier in dict(row['tiers']).items()
    }
    waste = row['waste']
    return Run(
        scenario=str(row['scenario']),
        policy=str(row['policy']),
        goodput=float(row['goodput']),
        thrown_away=float(waste['thrown_away']),
        repeated=float(waste['repeated']),
        tiers=tiers,
    )


def _average(group: typing.Sequence[Run]) -> Run:
    first = group[0]
    tiers = {
        name: Tier(
            statistics.fmean(run.tiers[name].goodput for run in group),
            statistics.fmean(run.tiers[name].longest_wait for run in group),
        )
        for name in first.tiers
    }
    return Run(
        first.scenario,
        first.policy,
        statistics.fmean(run.goodput for run in group),
        statistics.fmean(run.thrown_away for run in group),
        statistics.fmean(run.repeated for run in group),
        tiers,
    )
