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
_NEXT_SECONDS = 0.1
# Where some answered and none is sure, the silent ones are waited for so much
# longer, in seconds.
_LAST_SECONDS = 0.2


class Verdict(enum.Enum):
    """What came of asking a control host."""

    sure = 'sure'
    unsure = 'unsure'
    silent = 'silent'


Ask = typing.Callable[
    [ids.HostId],
    typing.Coroutine[typing.Any, typing.Any, Verdict],
]


@dataclasses.dataclass(slots=True)
class Found:
    """What a search found.

    :ivar sure: the first host that is sure, or empty.
    :ivar unsure: hosts that answered and aren't, the first ones first.
    """

    sure: ids.HostId = ids.HostId('')
    unsure: list[ids.HostId] = dataclasses.field(default_factory=list)

    def best(self, before: ids.HostId) -> ids.HostId:
        """Give the host to watch, or empty where none answered.

        :param before: is kept where none is sure and it answered.
        """
        if self.sure:
            return self.sure
        if before in self.unsure:
            return before
        return next(iter(self.unsure), ids.HostId(''))


class Search:
    """One search.

    :ivar found: what it has found so far.
    """

    def __init__(self, ask: Ask) -> None:
        """Ask nobody yet.

        :param ask: asks one host.
        """
        self.found = Found()
        self._ask = ask
        self._asked: dict[asyncio.Task[Verdict], ids.HostId] = {}

    async def run(self, ranked: typing.Iterable[ids.HostId]) -> Found:
        """Ask until one is sure or all have answered.

        :param ranked: whom to ask, the first one first.
        """
        try:
            await self._ask_all(ranked)
        finally:
            for task in self._asked:
                task.cancel()
        return self.found

    async def _ask_all(self, ranked: typing.Iterable[ids.HostId]) -> None:
        for host_id in ranked:
            task = asyncio.create_task(self._ask(host_id))
            self._asked[task] = host_id
            await self._wait(_NEXT_SECONDS)
            if self.found.sure:
                return
        while self._asked and not self.found.sure:
            seconds = _LAST_SECONDS if self.found.unsure else None
            if not await self._wait(seconds):
                return

    async def _wait(self, seconds: float | None) -> bool:
        """Take the next answers; tell whether any came in time."""
        done, _ = await asyncio.wait(
            self._asked,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            host_id = self._asked.pop(task)
            match task.result():
                case Verdict.sure:
                    self.found.sure = self.found.sure or host_id
                case Verdict.unsure:
                    self.found.unsure.append(host_id)
        return bool(done)
