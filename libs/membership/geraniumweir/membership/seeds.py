"""Joining by seeds: addresses of some hosts, in any failure domain.

All are greeted at the start. One that isn't among the live hosts is tried
again now and then, so that hosts that forgot each other in a long partition
still find together.
"""

import asyncio
import dataclasses

from geraniumweir.common import ids
from geraniumweir.membership import errors, knowledge, rosters
from geraniumweir.wire import errors as wire_errors
from reactivex import subject

RETRY_SECONDS = 10.0
TIMEOUT = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedSilent:
    """A seed could not be joined."""

    address: ids.Address
    reason: str


class Seeds:
    """Greets the seeds.

    :ivar failures: stream of those that didn't answer.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        lists: rosters.Rosters,
        addresses: tuple[ids.Address, ...],
    ) -> None:
        """Greet nobody yet."""
        self._known = known
        self._lists = lists
        self._addresses = addresses
        self._joining: asyncio.Task[None] | None = None
        self.failures: subject.Subject[SeedSilent] = subject.Subject()

    async def greet_all(self) -> None:
        """Greet all seeds at a time."""
        await asyncio.gather(*map(self._greet, self._addresses))

    def tick(self, count: int) -> None:
        """Try one of the seeds that aren't live.

        :param count: of ticks.
        """
        live = [
            *self._known.members.live(),
            *self._known.outside.all_live(),
        ]
        known = {host.address for host in live}
        missing = [seed for seed in self._addresses if seed not in known]
        if missing and (self._joining is None or self._joining.done()):
            seed = missing[count % len(missing)]
            self._joining = asyncio.create_task(self._greet(seed))

    def stop(self) -> None:
        """Give up an attempt under way."""
        if self._joining is not None:
            self._joining.cancel()

    async def _greet(self, seed: ids.Address) -> None:
        if seed == self._known.me.address:
            return
        try:
            await self._lists.greet(seed, TIMEOUT)
        except (wire_errors.PeerError, errors.CardError) as exc:
            self.failures.on_next(SeedSilent(seed, str(exc)))
