"""Finds a control host that is sure to have the newest document.

Control hosts are asked one after another, the next one as soon as one fails
or isn't sure, and after a moment where one is silent; whoever is sure first
is found. So hosts that are lost cost a moment each, not a time-out.
"""

import asyncio
import dataclasses
import enum
import typing

from geraniumweir.common import ids

# The next control host is asked after so long without an answer, in seconds:
# some fifty round trips between failure domains. With seven control hosts of
# which one answers, it is asked within 0.6 s.
_STAGGER_SECONDS = 0.1
# Where some answered and none is sure, the silent ones are waited for so much
# longer, in seconds.
_SILENT_WAIT_SECONDS = 0.2


class Verdict(enum.Enum):
    """What came of asking a control host."""

    sure = 'sure'
    unsure = 'unsure'
    silent = 'silent'


Probe = typing.Callable[
    [ids.HostId],
    typing.Coroutine[typing.Any, typing.Any, Verdict],
]


@dataclasses.dataclass(slots=True)
class SearchResult:
    """What a search found.

    :ivar sure: the first host that is sure, or empty.
    :ivar unsure: hosts that answered and aren't, the first ones first.
    """

    sure: ids.HostId = ids.HostId('')
    unsure: list[ids.HostId] = dataclasses.field(default_factory=list)

    def best(self, current_id: ids.HostId) -> ids.HostId:
        """Give the host to watch, or empty where none answered.

        :param current_id: is kept where none is sure and it answered.
        """
        if self.sure:
            return self.sure
        if current_id in self.unsure:
            return current_id
        return next(iter(self.unsure), ids.HostId(''))


class HostSearch:
    """One search.

    :ivar found: what it has found so far.
    """

    def __init__(self, probe: Probe) -> None:
        """Ask nobody yet.

        :param probe: asks one host.
        """
        self.found = SearchResult()
        self._probe = probe
        self._pending: dict[asyncio.Task[Verdict], ids.HostId] = {}

    async def run(
        self, candidates: typing.Iterable[ids.HostId]
    ) -> SearchResult:
        """Ask until one is sure or all have answered.

        :param candidates: whom to ask, the first one first.
        """
        try:
            await self._probe_all(candidates)
        finally:
            for task in self._pending:
                task.cancel()
        return self.found

    async def _probe_all(self, candidates: typing.Iterable[ids.HostId]) -> None:
        for host_id in candidates:
            task = asyncio.create_task(self._probe(host_id))
            self._pending[task] = host_id
            await self._wait(_STAGGER_SECONDS)
            if self.found.sure:
                return
        while self._pending and not self.found.sure:
            seconds = _SILENT_WAIT_SECONDS if self.found.unsure else None
            if not await self._wait(seconds):
                return

    async def _wait(self, seconds: float | None) -> bool:
        """Take the next answers; tell whether any came in time."""
        done, _ = await asyncio.wait(
            self._pending,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            host_id = self._pending.pop(task)
            match task.result():
                case Verdict.sure:
                    self.found.sure = self.found.sure or host_id
                case Verdict.unsure:
                    self.found.unsure.append(host_id)
        return bool(done)
