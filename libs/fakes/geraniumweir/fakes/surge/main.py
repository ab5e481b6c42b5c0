"""Plays a shape from the command line and prints what callers got."""

import argparse
import sys
import typing

from geraniumweir.fakes.surge import playing, shapes

_PERCENT = 100


def _burst(text: str) -> shapes.Burst:
    """Read ``START:END:FACTOR``."""
    start, end, factor = map(float, text.split(':'))
    return shapes.Burst(start, end, factor)


def _shape(argv: typing.Sequence[str]) -> shapes.Shape:
    usual = shapes.Shape()
    parser = argparse.ArgumentParser(prog='surge', description=__doc__)
    parser.add_argument('--load', type=float, default=usual.load)
    parser.add_argument('--seconds', type=float, default=usual.seconds)
    parser.add_argument('--seed', type=int, default=usual.seed)
    parser.add_argument('--freeze', type=float, metavar='SECOND')
    parser.add_argument(
        '--burst',
        type=_burst,
        action='append',
        default=[],
        metavar='START:END:FACTOR',
    )
    opts = parser.parse_args(argv)
    return shapes.Shape(
        seconds=opts.seconds,
        load=opts.load,
        bursts=tuple(opts.burst),
        freeze=None if opts.freeze is None else shapes.Freeze(opts.freeze),
        seed=opts.seed,
    )


def main(argv: typing.Sequence[str]) -> None:
    """Play what the arguments say."""
    accounts = playing.run(_shape(argv))
    for kind in shapes.kinds():
        sys.stdout.write(f'{kind.name:9} {accounts[kind.name]}\n')
    percent = _PERCENT * shapes.whole_worth(accounts)
    sys.stdout.write(f'earned    {percent:.1f} of 100\n')


if __name__ == '__main__':
    main(sys.argv[1:])
