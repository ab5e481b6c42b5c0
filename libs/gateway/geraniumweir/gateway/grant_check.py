"""Checks whether a grant can still be used when its request is to be sent.

A grant may be older than a notice of its server: it was in transit, or the
pool leader had not received the notice when it granted the slot.
"""

import enum

from geraniumweir.common import ids, timers
from geraniumweir.control import pool_servers
from geraniumweir.scheduling import notices, requests


class UnusableReason(enum.Enum):
    """Why a grant can't be used.

    :cvar leaving: its server is leaving.
    :cvar pausing: its server requested a pause from this host.
    :cvar other_version: its server doesn't have the version that began the
        stream.
    """

    leaving = 'leaving'
    pausing = 'pausing'
    other_version = 'other_version'


class GrantCheck:
    """Check by server notices; see :class:`context.GrantCheck`."""

    def __init__(
        self,
        host_id: ids.HostId,
        server_notices: notices.Notices,
        servers: pool_servers.PoolServers,
        clock: timers.TimerService,
    ) -> None:
        """Initialize with the state of this host.

        :param host_id: of this host.
        """
        self._host_id = host_id
        self._server_notices = server_notices
        self._servers = servers
        self._clock = clock

    def unusable_reason(self, grant: requests.Grant) -> UnusableReason | None:
        """Return why a grant can't be used, None if it can."""
        return self.unusable_start(grant.start)

    def unusable_start(
        self,
        start: notices.ServerIncarnation,
    ) -> UnusableReason | None:
        """Return why this host may not send to a server, None if it may.

        A server that is leaving is also recorded as a notice, so that the
        pool leader learns of it.
        """
        if self._servers.is_leaving(start):
            now = self._clock.now()
            self._server_notices.apply(
                notices.leaving(start, self._host_id, now)
            )
            return UnusableReason.leaving
        if start in self._server_notices.pauses(self._host_id):
            return UnusableReason.pausing
        return None
