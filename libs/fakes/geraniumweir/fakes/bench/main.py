"""``make bench``: every scenario under every policy.

Prints a table, and with ``--json FILE`` also writes the figures. Ends with
status 1 where a figure of the pool leader is past its bound; the time that
the bench takes is printed and is no part of the verdict.
"""

import argparse
import dataclasses
import json
import pathlib
import sys
import time
import typing

from geraniumweir.fakes.bench import bounds, driver, figures, scenarios

SEED = 1
_SCHEMA = 1


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run the bench.

    :returns: the exit status.
    """
    options = _parser().parse_args(arguments)
    start = time.perf_counter()
    rows = [
        measure(scenarios.load_all()[name], policy, options.seed)
        for name in options.scenario or scenarios.load_all()
        for policy in options.policy or driver.POLICIES
    ]
    seconds = time.perf_counter() - start
    if options.json:
        options.json.write_text(as_json(rows))
    if options.write_bounds:
        mine = [row for row in rows if row.policy == driver.LEADER]
        bounds.FILE.write_text(bounds.as_toml(mine))
    breaches = _breaches(rows) if options.seed == SEED else []
    lines = [figures.as_table(rows), *map(str, breaches)]
    lines.append(f'{len(rows)} runs in {seconds:.0f} s, seed {options.seed}')
    for line in lines:
        sys.stdout.write(f'{line}\n')
    return 1 if breaches else 0


def measure(
    scenario: scenarios.Scenario,
    policy: str,
    seed: int,
) -> figures.Figures:
    """Run one scenario under one policy and work out its figures."""
    return figures.work_out(driver.run(scenario, policy, seed), seed)


def as_json(rows: typing.Iterable[figures.Figures]) -> str:
    """Write figures as JSON, described in docs/design/bench.md."""
    document = {
        'schema': _SCHEMA,
        'runs': [dataclasses.asdict(row) for row in rows],
    }
    return json.dumps(document, indent=1)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    names = tuple(scenarios.load_all())
    parser.add_argument('--scenario', action='append', choices=names)
    parser.add_argument('--policy', action='append', choices=driver.POLICIES)
    parser.add_argument('--seed', type=int, default=SEED)
    parser.add_argument('--json', type=pathlib.Path, metavar='FILE')
    parser.add_argument(
        '--write-bounds',
        action='store_true',
        help='take the figures of this run as the new bounds',
    )
    return parser


def _breaches(rows: typing.Iterable[figures.Figures]) -> list[bounds.Breach]:
    limits = bounds.load()
    return [
        breach
        for row in rows
        if row.policy == driver.LEADER
        for breach in bounds.check(row, limits.get(row.scenario, {}))
    ]


if __name__ == '__main__':
    sys.exit(main())
