"""What an entry host was granted lately, for whoever coordinates next.

A coordinator counts quotas in its own memory. Whoever follows it would have
to take the time before as used at the full rate, and refuse customers that use
half of theirs. Each entry host knows what it was granted itself, and tells it.
"""

import dataclasses
import typing

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import requests, retrycounts, views, windows

NOT_SERVED: typing.Final = frozenset(
    (
        requests.Outcome.given_up,
        requests.Outcome.not_sent,
        requests.Outcome.turned_away,
        requests.Outcome.wrong_server,
    )
)
_Answer = requests.Grant | requests.Denial


@dataclasses.dataclass(frozen=True, slots=True)
class RecentUsage:
    """What an entry host was granted.

    :ivar known_seconds: it knows all within so many seconds, nothing before.
    :ivar customers: amounts by customer and by how many bins ago.
    :ivar retries: what it asked for and sent again, by pool.
    """

    known_seconds: float
    customers: typing.Mapping[ids.CustomerName, typing.Mapping[int, float]]
    retries: retrycounts.Counts = retrycounts.NONE


class UsageRecorder:
    """Asks a scheduler and counts what is granted; see its protocol."""

    def __init__(
        self,
        scheduler: views.Scheduler,
        clock: timers.TimerService,
        seconds: float,
        started: float,
        retries: retrycounts.RetryCounter,
    ) -> None:
        """Know of nothing before the start.

        :param seconds: length of the windows over which quotas hold.
        :param started: when this process started, in seconds: nothing was
            granted to it before.
        :param retries: counts them beside.
        """
        self._scheduler = scheduler
        self._clock = clock
        self._seconds = seconds
        self._started = started
        self._retries = retries
        self._windows = windows.by_customer(seconds)
        self._in_use: dict[
            ids.RequestId, tuple[requests.SlotRequest, float]
        ] = {}

    def usage_for(self, host_id: ids.HostId) -> RecentUsage:
        """Tell a host what was granted within the window that ends now."""
        now = self._clock.now()
        newest = windows.bin_of(now)
        self._remove_unused(now)
        return RecentUsage(
            min(now - self._started, self._seconds),
            {
                customer: {
                    newest - number: amount
                    for number, amount in window.bins(now)
                    if amount > 0
                }
                for customer, window in self._windows.items()
            },
            self._retries.counts_for(host_id, now),
        )

    async def request_slot(self, slot_request: requests.SlotRequest) -> _Answer:
        """Wait for a grant."""
        answer = await self._scheduler.request_slot(slot_request)
        now = self._clock.now()
        self._retries.note(slot_request, answer, now)
        if isinstance(answer, requests.Grant) and slot_request.quota_cost:
            self._windows[slot_request.customer].add(
                slot_request.quota_cost, now
            )
            self._in_use[slot_request.request_id] = (slot_request, now)
        return answer

    def withdraw(self, request_id: ids.RequestId) -> None:
        """End the waiting of a request whose caller went away."""
        self._scheduler.withdraw(request_id)

    def progress(self, progress: requests.Progress) -> None:
        """Tell how granted work goes on."""
        self._scheduler.progress(progress)

    def release(self, release: requests.Release) -> None:
        """Give a grant back; one that wasn't served cost nothing."""
        self._retries.release(release)
        found = self._in_use.pop(release.request_id, None)
        if found is not None and release.outcome in NOT_SERVED:
            slot_request, at = found
            self._windows[slot_request.customer].refund(
                slot_request.quota_cost, at
            )
        self._scheduler.release(release)

    def _remove_unused(self, now: float) -> None:
        unused = [
            customer
            for customer, window in self._windows.items()
            if not window.used(now)
        ]
        for customer in unused:
            del self._windows[customer]
