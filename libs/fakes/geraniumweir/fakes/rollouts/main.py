"""Plays many rollouts and prints a table: kinds of versions by troubles."""

import argparse
import random
import sys
import types
import typing

from geraniumweir.fakes.rollouts import playing, thresholds, versions
from geraniumweir.rollout import detection, orders

_JUDGES = types.MappingProxyType(
    {
        'cumulative-sum': detection.CusumDetector,
        'threshold': thresholds.Threshold,
    }
)
_SECONDS = 12.0


def plays(
    kind: versions.Kind,
    trouble: versions.Trouble,
    seeds: typing.Iterable[int],
    judge: typing.Callable[[], detection.Detector] = detection.CusumDetector,
) -> list[playing.Result]:
    """Play a kind of version beside a trouble, once for each seed."""
    return [
        playing.run(
            playing.Plan(
                versions.draw(kind, _SECONDS, random.Random(seed)),
                trouble,
                seed,
                seconds=_SECONDS,
                judge=judge,
            ),
        )
        for seed in seeds
    ]


def _row(
    kind: versions.Kind,
    trouble: versions.Trouble,
    found: typing.Sequence[playing.Result],
) -> str:
    wanted = orders.State.rolled_back
    if kind is versions.Kind.good:
        wanted = orders.State.completed
    right = sum(one.state is wanted for one in found)
    over = sum(one.exposure > _allowed(one) for one in found)
    exposure = max(one.exposure / _allowed(one) for one in found)
    ended = [one.ended for one in found if one.ended is not None]
    lost = sum(one.lost for one in found)
    return (
        f'{kind.value:10} {trouble.value:10} right {right:3} of {len(found):3}'
        f'  over {over:3}  exposure {exposure:5.2f}'
        f'  bad {max(one.bad for one in found):4}'
        f'  after {sum(one.after for one in found):3}'
        f'  ended {max(ended, default=0):5.1f} s  lost {lost:3}'
        f'  refused {sum(one.refused for one in found):4}'
        f'  moved {sum(one.moved for one in found):3}'
        f'  begun {sum(one.mixed for one in found):3}'
        f'  late {sum(end > _SECONDS for end in ended):3}'
    )


def _allowed(found: playing.Result) -> float:
    return playing.Plan(versions.Version(versions.Kind.good)).bounds.allowed(
        found.requests,
    )


def main(argv: typing.Sequence[str]) -> None:
    """Play what the arguments say."""
    parser = argparse.ArgumentParser(prog='rollouts', description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--first', type=int, default=1, metavar='SEED')
    parser.add_argument('--judge', choices=_JUDGES, default='cumulative-sum')
    opts = parser.parse_args(argv)
    seeds = range(opts.first, opts.first + opts.seeds)
    for trouble in versions.Trouble:
        for kind in versions.Kind:
            found = plays(kind, trouble, seeds, _JUDGES[opts.judge])
            sys.stdout.write(f'{_row(kind, trouble, found)}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
