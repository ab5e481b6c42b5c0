"""Joining through seeds: addresses of some hosts, in any failure domain.

All seeds are greeted at the start. A seed that isn't live is retried from
time to time, so that hosts that removed each other during a long partition
join again. It is retried at every tick while no other host of the own domain
or no host of another domain is live, as when all hosts start together and the
first greetings are lost.
"""

import asyncio
import dataclasses

from geraniumweir.common import ids
from geraniumweir.membership import errors, rosters, shared_state
from geraniumweir.wire import errors as wire_errors
from reactivex import subject

RETRY_SECONDS = 0.5
# A host that isn't isolated retries a seed once in so many ticks.
_CONNECTED_TICKS = 20
GREETING_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedFailed:
    """Event: joining through a seed failed."""

    address: ids.Address
    reason: str


class Seeds:
    """Joins the cluster through the seeds.

    :ivar failures: stream of failed attempts.
    """

    def __init__(
        self,
        shared: shared_state.SharedState,
        roster_exchange: rosters.RosterExchange,
        addresses: tuple[ids.Address, ...],
    ) -> None:
        """Initialize without contacting a seed."""
        self._shared = shared
        self._roster_exchange = roster_exchange
        self._addresses = addresses
        self._join_task: asyncio.Task[None] | None = None
        self.failures: subject.Subject[SeedFailed] = subject.Subject()

    async def greet_all(self) -> None:
        """Greet all seeds concurrently."""
        await asyncio.gather(*map(self._greet, self._addresses))

    def tick(self, count: int) -> None:
        """Retry one of the seeds that aren't live.

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
        """Cancel a running attempt."""
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
