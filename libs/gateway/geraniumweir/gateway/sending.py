"""Whether a grant may still be used when its request is about to be sent.

A grant may be older than what its server said: on its way from the
coordinator, or made by one that hasn't heard it yet.
"""

import enum

from geraniumweir.common import ids, timers
from geraniumweir.control import pool_servers
from geraniumweir.scheduling import notices, requests


class Cause(enum.Enum):
    """Why a grant is given back.

    :cvar leaving: its server leaves.
    :cvar pausing: its server wants nothing from this host for a while.
    """

    leaving = 'leaving'
    pausing = 'pausing'


class Check:
    """Looks at grants; see :class:`forwarding.Check`."""

    def __init__(
        self,
        host_id: ids.HostId,
        said: notices.Notices,
        servers: pool_servers.PoolServers,
        clock: timers.TimerService,
    ) -> None:
        """Go by what this host knows.

        :param host_id: this host's.
        """
        self._host_id = host_id
        self._said = said
        self._servers = servers
        self._clock = clock

    def stops(self, grant: requests.Grant) -> Cause | None:
        """Tell why a request may not be sent by a grant, if so.

        Whoever made the grant is told of a server that leaves.
        """
        if self._servers.is_leaving(grant.start):
            now = self._clock.now()
            self._said.apply(notices.leaving(grant.start, self._host_id, now))
            return Cause.leaving
        if grant.start in self._said.pauses(self._host_id):
            return Cause.pausing
        return None
