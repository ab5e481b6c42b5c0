"""Backend servers, leased from their own announcements.

There is no list of backend servers: each announces itself once a second, and
gets no new work once its lease of three seconds has run out.
"""

import dataclasses
import enum

from geraniumweir.common import ids

LEASE_SECONDS = 3.0


class ServerState(enum.Enum):
    """What a server said of itself."""

    ready = 'ready'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server says of itself.

    :ivar incarnation: grows at each start of the server.
    :ivar kind: ``engine`` or ``service``.
    :ivar slots: requests it runs at a time.
    :ivar kv_tokens: tokens its KV cache holds.
    :ivar max_context: longest prompt and output together, in tokens.
    :ivar fences: whether it refuses orders with an old fencing number.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    address: ids.Address
    kind: str
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    hardware: str = ''
    slots: int = 1
    kv_tokens: int = 0
    max_context: int = 0
    fences: bool = False
    can_cancel: bool = False
    can_resume: bool = False
    state: ServerState = ServerState.ready


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """An announcement and how long it counts.

    :ivar until: on the timer service's clock, in seconds.
    """

    announcement: Announcement
    until: float


class Registry:
    """The backend servers that one entry host knows."""

    def __init__(self) -> None:
        """Start with no servers."""
        self._leases: dict[ids.ServerId, Lease] = {}

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Take an announcement.

        An announcement of an older incarnation is ignored.

        :param now: time in seconds.
        :returns: whether the server crashed: a known id with a new
            incarnation.
        """
        known = self._leases.get(announcement.server_id)
        crashed = False
        if known is not None:
            before = known.announcement.incarnation
            if announcement.incarnation < before:
                return False
            crashed = announcement.incarnation > before
        self._leases[announcement.server_id] = Lease(
            announcement,
            now + LEASE_SECONDS,
        )
        return crashed

    def get(self, server_id: ids.ServerId) -> Announcement | None:
        """Give what a server last said, whether its lease holds or not."""
        lease = self._leases.get(server_id)
        return lease.announcement if lease else None

    def live(self, now: float) -> list[Announcement]:
        """List the servers whose lease holds, by id."""
        return [
            lease.announcement
            for _, lease in sorted(self._leases.items())
            if lease.until > now
        ]
