"""Proposals a second with group commit against one fsync for each.

Three recorders run in this process, each with a data folder of its own on a
real disk; messages go through the in-memory network without delay. The naive
version is the same code with one proposal at a time; a proposal then costs one
fsync on each recorder. Only the ratio of the two means anything.
"""

import argparse
import asyncio
import contextlib
import pathlib
import sys
import tempfile
import time

from geraniumweir.consensus import recorder
from geraniumweir.fakes import logcluster
from geraniumweir.store import disk, guard
from geraniumweir.wire import memory

_TIMEOUT = 30.0
_SECONDS = 3.0
_CALLERS = 256
_COMMAND = b'a claim of customer, key and fingerprint, about this long'


def main() -> None:
    """Print the two rates and their ratio."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--callers', type=int, default=_CALLERS)
    cfg = parser.parse_args()
    sys.stdout.write(asyncio.run(_measure(cfg.seconds, cfg.callers)))


async def _measure(seconds: float, callers: int) -> str:
    async with contextlib.AsyncExitStack() as stack:
        leading = await _start(stack)
        naive = await _rate(leading, 1, seconds)
        grouped = await _rate(leading, callers, seconds)
    rows = (
        f'one at a time      {naive:10.0f} proposals/s',
        f'{callers:4} callers       {grouped:10.0f} proposals/s',
        f'ratio              {grouped / naive:10.1f}',
        '',
    )
    return '\n'.join(rows)


async def _start(stack: contextlib.AsyncExitStack) -> recorder.Recorder:
    root = stack.enter_context(tempfile.TemporaryDirectory())
    network = memory.MemoryNetwork(delay=0)
    started = []
    for host_id in logcluster.HOSTS:
        medium = disk.RealDisk(pathlib.Path(root, host_id))
        stack.callback(medium.close)
        thread = guard.OneThread()
        stack.callback(thread.close)
        member = await logcluster.start_recorder(
            network,
            host_id,
            medium,
            thread,
        )
        stack.callback(member.kill)
        started.append(member)
    return await logcluster.find_leader(started)


async def _rate(
    leading: recorder.Recorder,
    callers: int,
    seconds: float,
) -> float:
    began = time.perf_counter()
    until = began + seconds
    counts = await asyncio.gather(
        *(_call(leading, until) for _ in range(callers)),
    )
    return sum(counts) / (time.perf_counter() - began)


async def _call(leading: recorder.Recorder, until: float) -> int:
    count = 0
    while time.perf_counter() < until:
        await leading.propose(_COMMAND, _TIMEOUT)
        count += 1
    return count


if __name__ == '__main__':
    main()
