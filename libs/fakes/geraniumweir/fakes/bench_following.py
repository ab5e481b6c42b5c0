"""Measures how fast and at what cost changes come in force everywhere.

Run as ``python -m geraniumweir.fakes.bench_following``. All times are virtual
and all figures the same on every run. The time to accept a change (consensus
and syncs) isn't in them; the links take half a millisecond one way.
"""

import asyncio
import dataclasses
import random
import statistics
import sys

import tabulate
from geraniumweir.common import virtual
from geraniumweir.fakes import following_bed

_CHANGES = 60
_SETTLE = 20
_GAP = 2
_LONGEST = 60
_PERCENT = 100
_MS = 1000
_CUSTOMERS = 200
_LOSS = 0.02
_SIZES = ((6, 3, 3), (24, 4, 5), (96, 6, 5))


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One row.

    :ivar loss: share of messages lost.
    """

    hosts: int
    domains: int
    recorders: int
    loss: float = 0
    changes: int = _CHANGES


def text(version: int) -> str:
    """Write a document of 200 customers in which one share changes."""
    return '\n'.join(
        f'[[customer]]\nname = "customer-{number}"\nshare = {number + version}'
        for number in range(1, _CUSTOMERS)
    )


def measure(case: Case) -> dict[str, float]:
    """Run one case.

    :returns: the columns of its row, times in milliseconds.
    """
    return virtual.run(_run(case))


async def _run(case: Case) -> dict[str, float]:
    bed = following_bed.Bed(
        case.hosts,
        case.domains,
        case.recorders,
        seed=1,
        text=_one_share,
    )
    bed.network.loss = case.loss
    for host_id in bed.hosts:
        bed.start(host_id)
    bed.accept()
    await asyncio.sleep(_SETTLE)
    idle = await _traffic(bed, case.changes * _GAP)
    busy = await _traffic(bed, case.changes * _GAP, case.changes)
    await _all_in_force(bed)
    return _row(case, bed, idle, busy)


def _one_share(version: int) -> str:
    return text(0).replace('share = 100', f'share = {version}')


async def _traffic(
    bed: following_bed.Bed,
    seconds: float,
    changes: int = 0,
) -> tuple[int, int]:
    """Count messages and bytes of a while, with changes at random times."""
    before = _sent(bed)
    loop = asyncio.get_running_loop()
    rand = random.Random(1)  # noqa: S311
    for _ in range(changes):
        loop.call_later(rand.random() * seconds, bed.accept)
    await asyncio.sleep(seconds)
    after = _sent(bed)
    return after[0] - before[0], after[1] - before[1]


def _sent(bed: following_bed.Bed) -> tuple[int, int]:
    messages = sum(bed.network.sent.values())
    return messages, sum(bed.network.sent_bytes.values())


async def _all_in_force(bed: following_bed.Bed) -> None:
    async with asyncio.timeout(_LONGEST):
        while set(bed.versions()) != {len(bed.log)}:
            await asyncio.sleep(_GAP)


def _row(
    case: Case,
    bed: following_bed.Bed,
    idle: tuple[int, int],
    busy: tuple[int, int],
) -> dict[str, float]:
    delays = [
        (bed.in_force_everywhere(version) - accepted_at) * _MS
        for version, accepted_at in bed.accepted_at.items()
        if version > 1
    ]
    cuts = statistics.quantiles(delays, n=_PERCENT, method='inclusive')
    per_host = case.hosts * case.changes
    return {
        'hosts': case.hosts,
        'domains': case.domains,
        'loss': case.loss,
        'changes': len(delays),
        'median ms': statistics.median(delays),
        'p99 ms': cuts[-1],
        'worst ms': max(delays),
        'messages a host and change': (busy[0] - idle[0]) / per_host,
        'bytes a host and change': (busy[1] - idle[1]) / per_host,
        'idle messages a host and s': idle[0] / per_host / _GAP,
        'idle bytes a host and s': idle[1] / per_host / _GAP,
    }


def main() -> int:
    """Print the table."""
    cases = [Case(*size) for size in _SIZES]
    cases += [Case(*size, loss=_LOSS) for size in _SIZES]
    rows = [measure(case) for case in cases]
    table = tabulate.tabulate(rows, headers='keys', floatfmt='.3g')
    sys.stdout.write(f'{table}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
