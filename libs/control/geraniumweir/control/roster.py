"""Backend servers in the words of the pool leaders.

See Also
========
geraniumweir.membership.servers
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.control import enrolments
from geraniumweir.membership import servers
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import notices, rendezvous

_ANY_HOST = ids.HostId('')
_ANY_DOMAIN = ids.FailureDomain('')
# A host that has more than this part of a slot of a server uses one: all
# together at most twice as many as there are.
_LEAST_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """The part of a server's slots that this host may use.

    :ivar whole: slots.
    :ivar draw: of a slot more, drawn between 0 and 1: the least goes first.
    :ivar drawn: that slot is this host's too.
    """

    whole: int
    draw: float
    drawn: bool

    @property
    def slots(self) -> int:
        """Give how many these are."""
        return self.whole + self.drawn


class Roster:
    """The servers that may get new work, by pool."""

    def __init__(
        self,
        table: enrolments.Enrolments,
        index: typing.Callable[[], finding.Index | None],
        host_id: ids.HostId = _ANY_HOST,
        domain: ids.FailureDomain = _ANY_DOMAIN,
        said: notices.Notices | None = None,
    ) -> None:
        """Look at what a host knows.

        :param index: gives the document in force.
        :param host_id: of this host, where hosts share slots.
        :param domain: its failure domain.
        :param said: what servers said in their answers.
        """
        self._table = table
        self._said = said
        self._host_id = host_id
        self._domain = domain
        self._index = index
        self._made: dict[
            ids.ServerId,
            tuple[enrolments.Enrolment, int, servers.Announcement],
        ] = {}

    def is_leaving(self, start: notices.ServerIncarnation) -> bool:
        """Tell whether a start of a server is known to leave or to be gone."""
        if self._said is not None and self._said.is_leaving(start):
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
        """List a pool's servers.

        :param share: part of their slots that may be used.
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
            for found, slots in self._parts(ready, share)
        ]

    def _parts(
        self,
        ready: typing.Sequence[enrolments.Enrolment],
        share: float,
    ) -> list[tuple[enrolments.Enrolment, int]]:
        """Give the servers that this host may use alone, with slots.

        Of a few hosts each uses some slots of every server. Of hundreds each
        has much less than a slot: it draws the servers of which it uses one,
        where it reaches them most surely, in its own failure domain, so that
        together they use as many as there are. One slot of each server for
        each host would be twenty times that.
        """
        if share * _slots(ready) > _LEAST_PART * len(ready):
            return [
                (one, max(math.floor(one.slots * share), 1)) for one in ready
            ]
        near = [one for one in ready if one.failure_domain == self._domain]
        near = near or list(ready)
        scale = _slots(ready) / max(_slots(near), 1)
        drawn = {
            found.server_id: self._part(found, share * scale) for found in near
        }
        found = [
            (one, drawn[one.server_id].slots)
            for one in near
            if drawn[one.server_id].slots
        ]
        if found:
            return found
        return [(min(near, key=lambda one: drawn[one.server_id].draw), 1)]

    def _part(self, found: enrolments.Enrolment, share: float) -> _Part:
        slots = found.slots * share
        whole = math.floor(slots)
        draw = rendezvous.rand(self._host_id, found.server_id)
        return _Part(whole, draw, draw < slots - whole)

    def _announcement(
        self,
        found: enrolments.Enrolment,
        pool: tables.Pool,
        slots: int,
    ) -> servers.Announcement:
        """Make an announcement, the same object while nothing changed."""
        made = self._made.get(found.server_id)
        slots = max(slots, 1)
        if made is not None and made[0] is found and made[1] == slots:
            return made[2]
        engine = pool.engine
        announcement = servers.Announcement(
            server_id=found.server_id,
            incarnation=ids.Incarnation(found.born),
            address=found.address,
            kind='engine' if engine else 'service',
            pool=pool.name,
            failure_domain=found.failure_domain,
            models=found.models,
            slots=slots,
            kv_tokens=engine.kv_tokens if engine else 0,
            version=found.version,
            cold=found.cold,
        )
        if made is not None and made[2] == announcement:
            announcement = made[2]
        self._made[found.server_id] = (found, slots, announcement)
        return announcement


def _slots(found: typing.Iterable[enrolments.Enrolment]) -> int:
    return sum(one.slots for one in found)
