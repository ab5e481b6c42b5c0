"""Histories of appends and reads, and a check that they are linearizable.

Each command requests a place in a list and is answered with that place, so
the order of all commands is given and needn't be searched for [1]_.

References
==========
.. [1] M. Herlihy, J. Wing, "Linearizability: A Correctness Condition for
   Concurrent Objects", TOPLAS 12(3), 1990.
"""

import asyncio
import dataclasses
import math
import typing

from geraniumweir.consensus import client, errors, recorder
from geraniumweir.consensus.tests import cluster as clusters


@dataclasses.dataclass(slots=True)
class Append:
    """One command: when it was proposed and answered, and its place."""

    command: bytes
    began: float
    ended: float = math.inf
    place: int | None = None
    refused: bool = False


@dataclasses.dataclass(slots=True)
class Read:
    """One read: when it ran and the number of commands it found."""

    began: float
    ended: float
    count: int


class History:
    """Appends and reads of all callers."""

    def __init__(self) -> None:
        self.appends: list[Append] = []
        self.reads: list[Read] = []

    async def append(
        self,
        caller: client.LogClient | recorder.Recorder,
        timeout: float,
    ) -> Append:
        """Propose a command for the next place and record the outcome."""
        now = asyncio.get_running_loop().time
        entry = Append(b'c%d' % len(self.appends), now())
        self.appends.append(entry)
        try:
            answer = await caller.propose(entry.command, timeout)
        except errors.UncertainError:
            return entry
        except errors.ConsensusError:
            entry.refused = True
            return entry
        entry.place = clusters.place(answer)
        entry.ended = now()
        return entry

    async def read(self, node: clusters.Node) -> None:
        """Read the state after a read barrier, and record it if that passed."""
        now = asyncio.get_running_loop().time
        began = now()
        try:
            await node.recorder.read_barrier(1)
        except errors.ConsensusError:
            return
        count = len(node.machine.commands)
        self.reads.append(Read(began, now(), count))

    def check(self, final: typing.Sequence[bytes]) -> None:
        """Compare the history with the final list of all recorders."""
        assert len(set(final)) == len(final)
        for entry in self.appends:
            if entry.place is not None:
                assert final[entry.place] == entry.command, 'lost'
            if entry.refused:
                assert entry.command not in final, 'committed though rejected'
        self._check_order(final)
        self._check_reads(final)

    def _check_order(self, final: typing.Sequence[bytes]) -> None:
        places = {command: place for place, command in enumerate(final)}
        taken = [one for one in self.appends if one.command in places]
        for later in taken:
            for earlier in taken:
                if earlier.ended < later.began:
                    assert places[earlier.command] < places[later.command], (
                        'order reversed'
                    )

    def _check_reads(self, final: typing.Sequence[bytes]) -> None:
        began = {one.command: one.began for one in self.appends}
        for read in self.reads:
            for one in self.appends:
                if one.ended < read.began:
                    assert (one.place or 0) < read.count, 'stale read'
            for command in final[: read.count]:
                assert began[command] <= read.ended, 'read of the future'
