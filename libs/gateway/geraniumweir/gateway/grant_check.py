"""Whether a grant may still be used when its request is about to be sent.

A grant may be older than what its server said: on its way from the
coordinator, or made by one that hasn't heard it yet.
"""

import enum

from geraniumweir.common import ids, timers
from geraniumweir.control import roster
from geraniumweir.scheduling import notices, requests


class UnusableReason(enum.Enum):
    """Why a grant is given back.

    :cvar leaving: its server leaves.
    :cvar pausing: its server wants nothing from this host for a while.
    """

    leaving = 'leaving'
    pausing = 'pausing'


class GrantCheck:
    """Looks at grants; see :class:`forwarding.GrantCheck`."""

    def __init__(
        self,
        host_id: ids.HostId,
        server_notices: notices.Notices,
        servers: roster.Roster,
        clock: timers.TimerService,
    ) -> None:
        """Go by what this host knows.

        :param host_id: this host's.
        """
        self._host_id = host_id
        self._server_notices = server_notices
        self._servers = servers
        self._clock = clock

    def unusable_reason(self, grant: requests.Grant) -> UnusableReason | None:
        """Tell why a request may not be sent by a grant, if so.

        Whoever made the grant is told of a server that leaves.
        """
        if self._servers.is_leaving(grant.start):
            now = self._clock.now()
            self._server_notices.hear(
                notices.leaving(grant.start, self._host_id, now)
            )
            return UnusableReason.leaving
        if grant.start in self._server_notices.pauses(self._host_id):
            return UnusableReason.pausing
        return None
