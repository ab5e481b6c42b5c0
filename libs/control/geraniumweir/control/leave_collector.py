"""What control hosts that aren't watched tell of servers that leave.

One that is cut off from the others may have acknowledged a leave that they
don't know of.
"""

import reactivex
from geraniumweir.common import ids
from geraniumweir.control import enrolments
from geraniumweir.scheduling import notices
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject


class LeaveCollector:
    """Takes leaves from control hosts that are only looked at."""

    def __init__(self, servers: enrolments.Enrolments) -> None:
        """Know nothing of any.

        :param servers: takes what they tell.
        """
        self._servers = servers
        self._positions: dict[ids.HostId, tuple[str, int]] = {}
        self._leaves: subject.Subject[notices.ServerIncarnation] = (
            subject.Subject()
        )

    @property
    def leaves(self) -> reactivex.Observable[notices.ServerIncarnation]:
        """Gives servers that were thought ready."""
        return self._leaves

    def position(self, host_id: ids.HostId) -> tuple[str, int]:
        """Give the run and the revision of a host that was seen last."""
        return self._positions.get(host_id, ('', 0))

    def apply(
        self, sender: ids.HostId, update: ttypes.News, now: float
    ) -> bool:
        """Take what a host told.

        :returns: whether it was news.
        """
        self._positions[sender] = (update.epoch, update.revision)
        changed = False
        for found in enrolments.parse_readable(update.servers, sender):
            before = self._servers.get(found.server_id)
            if not self._servers.merge(found, now, sender):
                continue
            changed = True
            if before is not None and before.state is enrolments.State.ready:
                self._leaves.on_next(found.start)
        return changed
