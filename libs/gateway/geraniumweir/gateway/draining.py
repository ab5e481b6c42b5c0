"""Limits the requests of a host that stops, so that it cuts none.

The balancer sends requests for seconds after the stop signal. A request is sent
to a server only while its route's requests usually complete before the end of
the grace time; later it is refused as not run, and its caller finds another
host. Requests that may run once are held to the longest recent time, others to
one that most keep. Whatever is still open at the end gets an answer.

Load: each request of a host once, and again at the stop signal.
"""

import asyncio
import contextlib
import math
import typing

from geraniumweir.gateway import work_times
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests

# Of the requests that may run again, this share completes in time; the rest is
# refused at the end and may be sent to another host.
_REPEATABLE_SHARE = 0.9
_ONCE_SHARE = 1

_Decision: typing.TypeAlias = requests.Grant | requests.Denial


class Drain:
    """Ends requests in time once the host has begun to stop.

    :ivar work_times: times of recent requests at servers.
    """

    def __init__(self) -> None:
        """Initialize for a host that does not stop."""
        self.work_times = work_times.WorkTimes()
        self._end = math.inf
        self._open: dict[asyncio.Timeout, tables.Route | None] = {}

    @property
    def begun(self) -> bool:
        """Whether the host has begun to stop."""
        return self._end < math.inf

    def begin(self, end: float) -> None:
        """Limit all requests from now on.

        :param end: when the last one must have an answer, in loop time.
        """
        self._end = end
        for timeout, route in self._open.items():
            self._apply(timeout, route)

    async def acquire(
        self,
        route: tables.Route,
        slot_request: requests.SlotRequest,
        ask: typing.Callable[[], typing.Awaitable[_Decision]],
    ) -> _Decision:
        """Return a grant if the request then completes before the drain ends.

        :param ask: waits for the grant or a denial.
        """
        try:
            if asyncio.get_running_loop().time() < self._latest_start(route):
                async with self.limit(None, route):
                    return await ask()
        except TimeoutError:
            if not self.begun:
                raise
        return requests.Denial(
            slot_request.request_id, requests.DenialReason.host_stopping
        )

    @contextlib.asynccontextmanager
    async def limit(
        self, when: float | None, route: tables.Route | None = None
    ) -> typing.AsyncIterator[None]:
        """Limit a block as :func:`asyncio.timeout_at` does, and by the drain.

        :param when: end of the block without a drain, in loop time.
        :param route: of the request that is sent to a server after the block,
            None if it need not be.
        :raises TimeoutError: when one of the limits was reached.
        """
        async with asyncio.timeout_at(when) as timeout:
            self._open[timeout] = route
            self._apply(timeout, route)
            try:
                yield
            finally:
                self._open.pop(timeout)

    def _apply(
        self, timeout: asyncio.Timeout, route: tables.Route | None
    ) -> None:
        end = self._latest_start(route)
        if self.begun and not timeout.expired():
            timeout.reschedule(min(end, timeout.when() or end))

    def _latest_start(self, route: tables.Route | None) -> float:
        """Return until when a request may be sent to a server."""
        if route is None or not self.begun:
            return self._end
        may_repeat = route.repeatable or route.resumable
        share = _REPEATABLE_SHARE if may_repeat else _ONCE_SHARE
        now = asyncio.get_running_loop().time()
        return self._end - self.work_times.quantile(
            route.name, share, route.timeout, now
        )
