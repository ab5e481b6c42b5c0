"""Search for a control host that has the newest document.

Control hosts are probed one after another, the next one as soon as one fails or
is not up to date, or after a short delay while one is silent; the first that is
up to date is chosen. So an unreachable host costs a short delay, not a whole
timeout.
"""

import asyncio
import dataclasses
import enum
import typing

from geraniumweir.common import ids

# The next control host is probed after this time without an answer: some fifty
# round trips between failure domains. If only one of seven control hosts
# answers, it is probed within 0.6 s.
_STAGGER_SECONDS = 0.1
# Where some answered and none is up to date, silent hosts are waited for this
# much longer.
_SILENT_WAIT_SECONDS = 0.2


class Verdict(enum.Enum):
    """The result of probing a control host."""

    sure = 'sure'
    unsure = 'unsure'
    silent = 'silent'


Probe = typing.Callable[
    [ids.HostId],
    typing.Coroutine[typing.Any, typing.Any, Verdict],
]


@dataclasses.dataclass(slots=True)
class SearchResult:
    """The result of a search.

    :ivar sure: the first host that is up to date, or empty.
    :ivar unsure: hosts that answered and are not, in order of answers.
    """

    sure: ids.HostId = ids.HostId('')
    unsure: list[ids.HostId] = dataclasses.field(default_factory=list)

    def best(self, current_id: ids.HostId) -> ids.HostId:
        """Return the host to watch, or empty where none answered.

        :param current_id: is kept if none is up to date and it answered.
        """
        if self.sure:
            return self.sure
        if current_id in self.unsure:
            return current_id
        return next(iter(self.unsure), ids.HostId(''))


class HostSearch:
    """One search.

    :ivar found: the result so far.
    """

    def __init__(self, probe: Probe) -> None:
        """Initialize without a probe.

        :param probe: probes one host.
        """
        self.found = SearchResult()
        self._probe = probe
        self._pending: dict[asyncio.Task[Verdict], ids.HostId] = {}

    async def run(
        self, candidates: typing.Iterable[ids.HostId]
    ) -> SearchResult:
        """Probe hosts until one is up to date or all have answered.

        :param candidates: the hosts, in the order of probing.
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
        """Process the next answers; return whether any came in time."""
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
