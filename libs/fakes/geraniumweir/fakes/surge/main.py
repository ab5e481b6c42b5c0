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


def _wave(text: str) -> shapes.Wave:
    """Read ``SWING:PERIOD``."""
    swing, period = map(float, text.split(':'))
    return shapes.Wave(swing, period)


def _slow_spells(text: str) -> shapes.SlowSpells:
    """Read ``SHARE:FACTOR:SECONDS``."""
    share, factor, seconds = map(float, text.split(':'))
    return shapes.SlowSpells(share, factor, seconds)


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
    parser.add_argument(
        '--wave', type=_wave, default=usual.wave, metavar='SWING:PERIOD'
    )
    parser.add_argument('--clump', type=int, default=usual.clump)
    parser.add_argument(
        '--slow-spells',
        type=_slow_spells,
        default=usual.slow_spells,
        metavar='SHARE:FACTOR:SECONDS',
    )
    parser.add_argument('--kinds', default=usual.kinds)
    opts = parser.parse_args(argv)
    return shapes.Shape(
        seconds=opts.seconds,
        load=opts.load,
        bursts=tuple(opts.burst),
        freeze=None if opts.freeze is None else shapes.Freeze(opts.freeze),
        seed=opts.seed,
        wave=opts.wave,
        clump=opts.clump,
        slow_spells=opts.slow_spells,
        kinds=opts.kinds,
    )


def main(argv: typing.Sequence[str]) -> None:
    """Play what the arguments say."""
    shape = _shape(argv)
    accounts = playing.run(shape)
    for kind in shapes.kinds(shape.kinds):
        sys.stdout.write(f'{kind.name:9} {accounts[kind.name]}\n')
    percent = _PERCENT * shapes.whole_worth(accounts, shape.kinds)
    sys.stdout.write(f'earned    {percent:.1f} of 100\n')


if __name__ == '__main__':
    main(sys.argv[1:])
