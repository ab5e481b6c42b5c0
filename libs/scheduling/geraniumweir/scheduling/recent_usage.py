"""Recent usage of an entry host, reported to a new coordinator.

A coordinator counts quotas in memory. Without reports its successor would have
to assume the full rate for the time before, and would refuse customers that
use half of their quota. So each entry host records what it was granted and
reports it.
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
    """Amounts that an entry host was granted within a window.

    :ivar known_seconds: length of the time before the report that it covers
        completely; it contains nothing before.
    :ivar customers: amounts by customer and by the age of their bin.
    :ivar retries: counts of requests and retries by pool.
    """

    known_seconds: float
    customers: typing.Mapping[ids.CustomerName, typing.Mapping[int, float]]
    retries: retrycounts.Counts = retrycounts.NONE


class UsageRecorder:
    """Scheduler that forwards to another one and counts its grants."""

    def __init__(
        self,
        scheduler: views.Scheduler,
        clock: timers.TimerService,
        seconds: float,
        started: float,
        retries: retrycounts.RetryCounter,
    ) -> None:
        """Initialize without usage.

        :param seconds: length of the windows over which quotas hold.
        :param started: start of this process, in seconds: nothing was
            granted to it before.
        :param retries: counter of requests and retries.
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
        """Return the usage within the window that ends now, for a host."""
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
        """Wait for a grant and count it."""
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
        """Withdraw a waiting request whose caller disconnected."""
        self._scheduler.withdraw(request_id)

    def progress(self, progress: requests.Progress) -> None:
        """Record the progress of granted work."""
        self._scheduler.progress(progress)

    def release(self, release: requests.Release) -> None:
        """Release a grant; refund one that was not served."""
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
