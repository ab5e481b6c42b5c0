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
_CONNECTED_TICKS = 20
GREETING_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedFailed:
    """A seed could not be joined."""

    address: ids.Address
    reason: str


class Seeds:
    """Greets the seeds.

    :ivar failures: stream of those that didn't answer.
    """

    def __init__(
        self,
        shared: shared_state.SharedState,
        roster_exchange: rosters.RosterExchange,
        addresses: tuple[ids.Address, ...],
    ) -> None:
        """Greet nobody yet."""
        self._shared = shared
        self._roster_exchange = roster_exchange
        self._addresses = addresses
        self._join_task: asyncio.Task[None] | None = None
        self.failures: subject.Subject[SeedFailed] = subject.Subject()

    async def greet_all(self) -> None:
        """Greet all seeds at a time."""
        await asyncio.gather(*map(self._greet, self._addresses))

    def tick(self, count: int) -> None:
        """Try one of the seeds that aren't live.

        :param count: of ticks.
        """
        own_live = self._shared.members.live()
        others_live = self._shared.outside.all_live()
        isolated = len(own_live) == 1 or not others_live
        if count % _CONNECTED_TICKS and not isolated:
            return
        live_addresses = {host.address for host in (*own_live, *others_live)}
        missing = [
            seed for seed in self._addresses if seed not in live_addresses
        ]
        if missing and (self._join_task is None or self._join_task.done()):
            turn = count if isolated else count // _CONNECTED_TICKS
            seed = missing[turn % len(missing)]
            ignore_failure = bool(count % _CONNECTED_TICKS)
            greeting = self._greet(seed, ignore_failure=ignore_failure)
            self._join_task = asyncio.create_task(greeting)

    def stop(self) -> None:
        """Give up an attempt under way."""
        if self._join_task is not None:
            self._join_task.cancel()

    async def _greet(
        self, seed: ids.Address, *, ignore_failure: bool = False
    ) -> None:
        if seed == self._shared.me.address:
            return
        try:
            await self._roster_exchange.greet(seed, GREETING_TIMEOUT_SECONDS)
        except (wire_errors.PeerError, errors.CardError) as exc:
            if ignore_failure:
                return
            self.failures.on_next(SeedFailed(seed, str(exc)))
