"""Turns a bench's JSON into a page to look at."""

import argparse
import html
import pathlib
import sys
import typing

import tabulate
from geraniumweir.ctl import benchfile, output, plots

_PAGE = """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>geraniumweir: bench</title>
<style>
body {{ font-family: sans-serif; max-width: 62em; margin: 2em auto; }}
table {{ border-collapse: collapse; }}
td, th {{ padding: 0.2em 0.8em; text-align: right; }}
img {{ max-width: 100%; }}
</style>
<h1>geraniumweir: bench of {title}</h1>
<p>Goodput is the share of the offered requests that got a whole answer in
time. Wasted prefill is the share of prompt processing that was thrown away or
repeated. Runs that differ only by their seed are averaged.</p>
{table}
{plots}
</html>
"""
_NO_PLOTS = 'plots are left out: they need geraniumweir-ctl[report]'


async def report(opts: argparse.Namespace) -> None:
    """Turn a bench's JSON into a page with plots."""
    if opts.file == '-':
        text = sys.stdin.read()
    else:
        text = pathlib.Path(opts.file).read_text(encoding='utf-8')
    page = write(benchfile.read(text), pathlib.Path(opts.folder), opts.file)
    output.fields(opts.output, {'page': str(page)})


def write(
    runs: typing.Sequence[benchfile.Run],
    folder: pathlib.Path,
    title: str,
) -> pathlib.Path:
    """Write the page and its plots.

    :param folder: made where it is missing.
    :returns: the page's path.
    """
    folder.mkdir(parents=True, exist_ok=True)
    pictures = [
        f'<p><img src="{html.escape(name)}" alt="{html.escape(name)}"></p>'
        for name in _draw(runs, folder)
    ]
    rows = [_cells(run) for run in runs]
    table = tabulate.tabulate(
        rows, headers='keys', tablefmt='html', floatfmt='.3f'
    )
    page = folder / 'index.html'
    page.write_text(
        _PAGE.format(
            title=html.escape(title),
            table=table,
            plots='\n'.join(pictures) or f'<p>{_NO_PLOTS}</p>',
        ),
        encoding='utf-8',
    )
    return page


def _draw(
    runs: typing.Sequence[benchfile.Run],
    folder: pathlib.Path,
) -> list[str]:
    if not plots.can_draw():
        output.warn(f'warning: {_NO_PLOTS}')
        return []
    return plots.draw(runs, folder)


def _cells(run: benchfile.Run) -> dict[str, str | float]:
    cells: dict[str, str | float] = {
        'scenario': run.scenario,
        'policy': run.policy,
        'goodput': run.goodput,
    }
    for name, tier in sorted(run.tiers.items()):
        cells[f'tier {name}'] = tier.goodput
    cells['thrown away'] = run.thrown_away
    cells['repeated'] = run.repeated
    return cells
