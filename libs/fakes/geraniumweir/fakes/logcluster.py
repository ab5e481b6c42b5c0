"""Three recorders in one process, for the benches of the log."""

import asyncio
import contextlib
import random
import typing

from geraniumweir.common import ids
from geraniumweir.consensus import core, errors, recorder, settings
from geraniumweir.store import disk, folder, guard
from geraniumweir.wire import memory

HOSTS = tuple(ids.HostId(f'recorder-{number}') for number in range(3))
_BASE_PORT = 7000
_PAUSE = 0.01


class CountingMachine:
    """Counts commands and keeps nothing else."""

    def __init__(self) -> None:
        """Start at 0."""
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count a command."""
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        """Give the count."""
        return str(self.count).encode()

    def restore(self, state: bytes) -> None:
        """Take over a count."""
        self.count = int(state)


async def start_recorder(
    network: memory.MemoryNetwork,
    host_id: ids.HostId,
    medium: disk.Disk,
    run: guard.Runner,
    seed: int = 0,
) -> recorder.Recorder:
    """Start one of the three.

    :param medium: its data folder.
    :param run: how disk work is run.
    :param seed: of its election timeouts.
    """
    first = {
        name: ids.Address('127.0.0.1', _BASE_PORT + place)
        for place, name in enumerate(HOSTS)
    }
    env = core.Environment(
        settings.Settings(host_id),
        network.join(host_id, first[host_id]),
        CountingMachine(),
        random.Random(f'{host_id} {seed}'),  # noqa: S311
    )
    opened = await folder.open_folder(medium, run)
    started = recorder.Recorder(env, opened, first)
    started.start()
    return started


async def find_leader(
    started: typing.Iterable[recorder.Recorder],
) -> recorder.Recorder:
    """Wait until one of them leads."""
    while True:
        for one in started:
            with contextlib.suppress(errors.ConsensusError):
                await one.read_barrier()
                return one
        await asyncio.sleep(_PAUSE)
