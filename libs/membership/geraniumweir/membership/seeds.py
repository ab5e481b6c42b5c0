"""Joining by seeds: addresses of some hosts, in any failure domain.

All are greeted at the start. One that isn't among the live hosts is tried
again now and then, so that hosts that forgot each other in a long partition
still find together; often while none is live, in the own failure domain or
outside it, as when all hosts start at a time and none hears the first words.
"""

import asyncio
import dataclasses

from geraniumweir.common import ids
from geraniumweir.membership import errors, rosters, shared_state
from geraniumweir.wire import errors as wire_errors
from reactivex import subject

RETRY_SECONDS = 0.5
# Of the ticks, one in so many is used by a host that isn't alone.
_SELDOM = 20
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
        known: shared_state.SharedState,
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
        near = self._known.members.live()
        far = self._known.outside.all_live()
        alone = len(near) == 1 or not far
        if count % _SELDOM and not alone:
            return
        known = {host.address for host in (*near, *far)}
        missing = [seed for seed in self._addresses if seed not in known]
        if missing and (self._joining is None or self._joining.done()):
            turn = count if alone else count // _SELDOM
            seed = missing[turn % len(missing)]
            quiet = bool(count % _SELDOM)
            greeting = self._greet(seed, quiet=quiet)
            self._joining = asyncio.create_task(greeting)

    def stop(self) -> None:
        """Give up an attempt under way."""
        if self._joining is not None:
            self._joining.cancel()

    async def _greet(self, seed: ids.Address, *, quiet: bool = False) -> None:
        if seed == self._known.me.address:
            return
        try:
            await self._lists.greet(seed, TIMEOUT)
        except (wire_errors.PeerError, errors.CardError) as exc:
            if quiet:
                return
            self.failures.on_next(SeedSilent(seed, str(exc)))
