"""Whether a stream that is known by its content may be another one.

That needs three things at once: a customer that sends a content twice, servers
of several versions, and entry hosts that may have begun a stream unknown here.
"""

import asyncio
import math
import typing

from geraniumweir.common import ids, timers
from geraniumweir.control import enrolments, grant_coverage
from geraniumweir.scheduling import repeating_customers, stream_origins

# Two pings of an entry host while there are hundreds.
_COVER_SECONDS = 0.5
_POLL_SECONDS = 0.02

UNKNOWN_HOSTS: typing.Final = ids.HostId('unknown')

KnownServers = typing.Callable[[], typing.Iterable[enrolments.Enrolment]]


class StreamDoubts:
    """Decides whether the version of a stream known by content is certain.

    :ivar repeating: customers that may send a content twice.
    """

    def __init__(
        self,
        coverage: grant_coverage.GrantCoverage,
        count_hosts: typing.Callable[[], int],
        known_servers: KnownServers,
        clock: timers.TimerService,
    ) -> None:
        """Initialize without repeating customers.

        :param count_hosts: returns the number of entry hosts, also of those
            that only an earlier coordinator knew.
        :param known_servers: returns all servers, also those that are gone for
            less time than streams last.
        """
        self.repeating = repeating_customers.RepeatingCustomers()
        self._coverage = coverage
        self._count_hosts = count_hosts
        self._known_servers = known_servers
        self._clock = clock
        self._looked_at = -math.inf
        self._covered_until = -math.inf
        self._is_missing_some = False

    def is_ambiguous(
        self,
        customer: ids.CustomerKey,
        origin: stream_origins.StreamOrigin,
    ) -> bool:
        """Return whether a stream of another version may have its content."""
        if not self.repeating.includes(customer, self._clock.now()):
            return False
        return any(
            one.pool == origin.pool and one.version != origin.version
            for one in self._known_servers()
        )

    async def uncovered(self) -> list[ids.HostId]:
        """Wait until all that was granted before this call is known here.

        :returns: the entry hosts that may have been granted something else;
            :data:`UNKNOWN_HOSTS` for those that never pinged this host.
        """
        since = self._clock.now()
        while True:
            now = self._clock.now()
            self._look(now)
            if self._covered_until >= since:
                return []
            if self._is_missing_some or now - since >= _COVER_SECONDS:
                return self._coverage.uncovered(since, now) or [UNKNOWN_HOSTS]
            await asyncio.sleep(_POLL_SECONDS)

    def _look(self, now: float) -> None:
        """Look at all entry hosts, once in an interval for all callers."""
        if now - self._looked_at < _POLL_SECONDS:
            return
        self._looked_at = now
        knows_all = self._coverage.count(now) >= self._count_hosts()
        self._is_missing_some = not knows_all or bool(
            self._coverage.missing(now)
        )
        self._covered_until = (
            self._coverage.covered_until(now) if knows_all else -math.inf
        )
