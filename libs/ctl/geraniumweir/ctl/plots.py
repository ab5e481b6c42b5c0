"""Plots of a bench's runs, by matplotlib (the extra ``report``).

The library is loaded when something is drawn: it is optional, and slow.
"""

import importlib
import pathlib
import typing
from importlib import util

from geraniumweir.ctl import benchfile

_WIDTH = 9
_HEIGHT = 3.2
_GROUP_WIDTH = 0.8
_SLANT = 20
_Value = typing.Callable[[benchfile.Run], float]


def can_draw() -> bool:
    """Tell whether matplotlib is there."""
    return util.find_spec('matplotlib') is not None


def draw(
    runs: typing.Sequence[benchfile.Run],
    folder: pathlib.Path,
) -> list[str]:
    """Draw all plots as SVG.

    :param folder: where they are written.
    :returns: the files' names.
    """
    # The same runs give the same file: no random ids in the SVG.
    mpl = importlib.import_module('matplotlib')
    mpl.rcParams['svg.hashsalt'] = 'geraniumweir'
    names = []
    for tier in sorted({name for run in runs for name in run.tiers}):
        name = f'goodput-tier-{tier}.svg'
        title = f'goodput of tier {tier}, share of what was offered'
        _bars(runs, title, _goodput_of(tier), folder / name)
        names.append(name)
        name = f'wait-tier-{tier}.svg'
        title = f'longest wait for the first token in tier {tier}, seconds'
        _bars(runs, title, _wait_of(tier), folder / name)
        names.append(name)
    title = 'wasted prefill, share of all prefill'
    _bars(runs, title, _wasted, folder / 'wasted-prefill.svg')
    return [*names, 'wasted-prefill.svg']


def _goodput_of(tier: str) -> _Value:
    return lambda run: run.tiers[tier].goodput if tier in run.tiers else 0


def _wait_of(tier: str) -> _Value:
    return lambda run: run.tiers[tier].longest_wait if tier in run.tiers else 0


def _wasted(run: benchfile.Run) -> float:
    return run.thrown_away + run.repeated


def _bars(
    runs: typing.Sequence[benchfile.Run],
    title: str,
    measure: _Value,
    path: pathlib.Path,
) -> None:
    """Draw a group of bars for each scenario, a bar for each policy."""
    scenarios = _unique(run.scenario for run in runs)
    policies = _unique(run.policy for run in runs)
    width = _GROUP_WIDTH / len(policies)
    canvas = _canvas()
    axes = canvas.subplots()
    for number, policy in enumerate(policies):
        mine = {
            scenarios.index(run.scenario) + number * width: measure(run)
            for run in runs
            if run.policy == policy
        }
        axes.bar(
            list(mine), list(mine.values()), width, align='edge', label=policy
        )
    axes.set_xticks(
        [place + _GROUP_WIDTH / 2 for place in range(len(scenarios))],
        scenarios,
        rotation=_SLANT,
        ha='right',
    )
    axes.set_title(title)
    axes.legend()
    canvas.savefig(path, metadata={'Date': None})


def _canvas() -> typing.Any:
    figure = importlib.import_module('matplotlib.figure')
    return figure.Figure((_WIDTH, _HEIGHT), layout='constrained')


def _unique(names: typing.Iterable[str]) -> list[str]:
    return list(dict.fromkeys(names))
