"""The servers of a pool, in the form that pool leaders use.

See Also ======== geraniumweir.membership.servers
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.control import enrolments
from geraniumweir.membership import servers
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import notices, rendezvous

_NO_HOST = ids.HostId('')
_NO_DOMAIN = ids.FailureDomain('')
# A host with more than this fraction of a slot of a server uses one slot: all
# hosts together use at most twice as many as there are.
_MIN_SLOT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _SlotShare:
    """The share of a server's slots that this host may use.

    :ivar whole_slots: number of whole slots.
    :ivar draw: pseudo-random number between 0 and 1 that decides about one more
        slot; the lowest comes first.
    :ivar has_extra_slot: whether this host may use that slot too.
    """

    whole_slots: int
    draw: float
    has_extra_slot: bool

    @property
    def slots(self) -> int:
        """The number of slots."""
        return self.whole_slots + self.has_extra_slot


class PoolServers:
    """The servers that may get new requests, by pool."""

    def __init__(
        self,
        table: enrolments.Enrolments,
        index: typing.Callable[[], finding.Index | None],
        host_id: ids.HostId = _NO_HOST,
        domain: ids.FailureDomain = _NO_DOMAIN,
        server_notices: notices.Notices | None = None,
    ) -> None:
        """Initialize from a host's enrolments.

        :param index: returns the document in force.
        :param host_id: this host, where hosts share slots.
        :param domain: its failure domain.
        :param server_notices: what servers said in their answers.
        """
        self._table = table
        self._server_notices = server_notices
        self._host_id = host_id
        self._domain = domain
        self._index = index
        self._announcements: dict[
            ids.ServerId,
            tuple[enrolments.Enrolment, int, servers.Announcement],
        ] = {}

    def is_leaving(self, start: notices.ServerIncarnation) -> bool:
        """Return whether an incarnation of a server is leaving or gone."""
        if self._server_notices is not None and self._server_notices.is_leaving(
            start
        ):
            return True
        found = self._table.get(start[0])
        if found is None or found.born != start[1]:
            return False
        return found.state is not enrolments.State.ready

    def of_pool(
        self,
        pool_name: ids.PoolName,
        share: float = 1,
    ) -> list[servers.Announcement]:
        """Return a pool's servers.

        :param share: share of their slots that may be used.
        """
        index = self._index()
        pool = index and index.pool(pool_name)
        if pool is None:
            return []
        ready = [
            found
            for found in self._table.known()
            if found.pool == pool_name and not self.is_leaving(found.start)
        ]
        if share >= 1 or not ready:
            return [
                self._announcement(found, pool, found.slots) for found in ready
            ]
        return [
            self._announcement(found, pool, slots)
            for found, slots in self._standalone_slots(ready, share)
        ]

    def _standalone_slots(
        self,
        ready: typing.Sequence[enrolments.Enrolment],
        share: float,
    ) -> list[tuple[enrolments.Enrolment, int]]:
        """Return the servers and slots that this host may use by itself.

        If there are few hosts, each uses some slots of every server. Of
        hundreds of hosts each has much less than a slot: it draws the servers
        of which it uses one, in its own failure domain, where servers are most
        likely reachable, so that all hosts together use as many slots as there
        are. One slot of each server for each host would be twenty times that.
        """
        if share * _slots(ready) > _MIN_SLOT_FRACTION * len(ready):
            return [
                (one, max(math.floor(one.slots * share), 1)) for one in ready
            ]
        near = [one for one in ready if one.failure_domain == self._domain]
        near = near or list(ready)
        scale = _slots(ready) / max(_slots(near), 1)
        drawn = {
            found.server_id: self._slot_share(found, share * scale)
            for found in near
        }
        found = [
            (one, drawn[one.server_id].slots)
            for one in near
            if drawn[one.server_id].slots
        ]
        if found:
            return found
        return [(min(near, key=lambda one: drawn[one.server_id].draw), 1)]

    def _slot_share(
        self, found: enrolments.Enrolment, share: float
    ) -> _SlotShare:
        slots = found.slots * share
        whole_slots = math.floor(slots)
        draw = rendezvous.rand(self._host_id, found.server_id)
        return _SlotShare(whole_slots, draw, draw < slots - whole_slots)

    def _announcement(
        self,
        found: enrolments.Enrolment,
        pool: tables.Pool,
        slots: int,
    ) -> servers.Announcement:
        """Return an announcement, the same object while nothing changed."""
        cached = self._announcements.get(found.server_id)
        slots = max(slots, 1)
        if cached is not None and cached[0] is found and cached[1] == slots:
            return cached[2]
        engine = pool.engine
        announcement = servers.Announcement(
            server_id=found.server_id,
            incarnation=ids.Incarnation(found.born),
            address=found.address,
            kind=servers.ENGINE if engine else servers.SERVICE,
            pool=pool.name,
            failure_domain=found.failure_domain,
            models=found.models,
            slots=slots,
            kv_tokens=engine.kv_tokens if engine else 0,
            version=found.version,
            cold=found.cold,
        )
        if cached is not None and cached[2] == announcement:
            announcement = cached[2]
        self._announcements[found.server_id] = (found, slots, announcement)
        return announcement


def _slots(found: typing.Iterable[enrolments.Enrolment]) -> int:
    return sum(one.slots for one in found)
