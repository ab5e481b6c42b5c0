"""Collects leaving servers from control hosts that are not watched.

A control host that is partitioned from the others may have acknowledged a leave
that they have not received.
"""

import reactivex
from geraniumweir.common import ids
from geraniumweir.control import enrolment_codec, enrolments
from geraniumweir.scheduling import notices
from geraniumweir.wire.gen.control import ttypes
from reactivex import subject


class LeaveCollector:
    """Applies the leaves of control hosts that are only probed."""

    def __init__(self, servers: enrolments.Enrolments) -> None:
        """Initialize without answers of any host.

        :param servers: the enrolments that are updated.
        """
        self._servers = servers
        self._positions: dict[ids.HostId, tuple[str, int]] = {}
        self._leaves: subject.Subject[notices.ServerIncarnation] = (
            subject.Subject()
        )

    @property
    def leaves(self) -> reactivex.Observable[notices.ServerIncarnation]:
        """Emits servers that were taken for ready and leave."""
        return self._leaves

    def position(self, host_id: ids.HostId) -> tuple[str, int]:
        """Return the epoch and the revision that a host last sent."""
        return self._positions.get(host_id, ('', 0))

    def apply(
        self, sender: ids.HostId, update: ttypes.News, now: float
    ) -> bool:
        """Apply the answer of a host.

        :returns: whether it changed anything.
        """
        self._positions[sender] = (update.epoch, update.revision)
        changed = False
        for found in enrolment_codec.parse_readable(update.servers, sender):
            before = self._servers.get(found.server_id)
            if not self._servers.merge(found, now, sender):
                continue
            changed = True
            if before is not None and before.state is enrolments.State.ready:
                self._leaves.on_next(found.start)
        return changed
