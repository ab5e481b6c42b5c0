"""Backend servers, leased from their own announcements.

There is no list of backend servers: each announces itself once a second, and
gets no new work once its lease of three seconds has run out. The clock is
always the receiving host's; another host of the domain is told how much time
is left. Of a server only the newest incarnation counts, and one that is
leaving stays so in that incarnation, whatever arrives late. Both are
remembered for a while after the lease.

References
==========
.. [1] C. Gray and D. Cheriton, "Leases: An efficient fault-tolerant mechanism
   for distributed file cache consistency", SOSP 1989.
"""

import dataclasses
import enum
import math

import reactivex
import xxhash
from geraniumweir.common import ids
from geraniumweir.membership import errors
from reactivex import subject

LEASE_SECONDS = 3.0
RETENTION_SECONDS = 600.0
MAX_SERVERS = 4096
_KEY_SHIFT = 23


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
    :ivar version: of its software, empty where it doesn't say.
    :ivar cold: it is still slow after its start.
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
    version: ids.SoftwareVersion = ids.SoftwareVersion('')
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """An announcement and how long it counts.

    :ivar expires_at: on the timer service's clock, in seconds.
    :ivar key: of the announcement's content.
    """

    announcement: Announcement
    expires_at: float
    key: int

    @property
    def server_id(self) -> ids.ServerId:
        """Give the server's id."""
        return self.announcement.server_id


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAppeared:
    """A server is live that wasn't."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCrashed:
    """A known server has a newer incarnation: what ran there is lost."""

    before: Announcement
    after: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChanged:
    """A live server says something else of itself, such as its models."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A server gets no new work; what runs there ends in peace."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerExpired:
    """A server's lease ran out."""

    announcement: Announcement


ServerEvent = (
    ServerAppeared
    | ServerCrashed
    | ServerChanged
    | ServerLeaving
    | ServerExpired
)


class Registry:
    """The backend servers of one failure domain, as one host knows them."""

    def __init__(
        self,
        domain: ids.FailureDomain | None = None,
        max_servers: int = MAX_SERVERS,
    ) -> None:
        """Start with no servers.

        :param domain: of the host; servers of another one are refused.
        :param max_servers: most that are known at a time.
        """
        self._domain = domain
        self._max_servers = max_servers
        self._leases: dict[ids.ServerId, Lease] = {}
        self._by_key: dict[int, ids.ServerId] = {}
        self._expired: set[ids.ServerId] = set()
        # Before this time no lease runs out and none is forgotten.
        self._next_sweep_at = math.inf
        self._changes: subject.Subject[ServerEvent] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[ServerEvent]:
        """Give the stream of typed events."""
        return self._changes

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Take an announcement from the server itself.

        An announcement of an older incarnation is ignored.

        :param now: time in seconds.
        :returns: whether the server crashed: a known id with a new
            incarnation.
        :raises errors.OtherDomainError: when it belongs elsewhere.
        :raises errors.RegistryFullError: when there are too many.
        """
        return self.apply(announcement, LEASE_SECONDS, now)

    def apply(
        self,
        announcement: Announcement,
        left_seconds: float,
        now: float,
    ) -> bool:
        """Take an announcement that may have come by another host.

        :param left_seconds: of the lease, in seconds.
        :param now: time in seconds.
        :returns: as :meth:`announce`.
        :raises errors.AnnouncementError: as :meth:`announce`.
        """
        self._check_domain(announcement)
        self.sweep(now)
        known = self._leases.get(announcement.server_id)
        if known is None:
            self._make_room(announcement)
        elif announcement.incarnation < known.announcement.incarnation:
            return False
        effective = _keep_leaving(announcement, known)
        expires_at = now + min(left_seconds, LEASE_SECONDS)
        if known and effective.incarnation == known.announcement.incarnation:
            expires_at = max(expires_at, known.expires_at)
        if expires_at <= now:
            return False
        if known and effective is known.announcement:
            key = known.key
        else:
            key = key_of(effective)
        self._store(Lease(effective, expires_at, key))
        return self._emit_changes(known, effective)

    def renew(self, key: int, left_seconds: float, now: float) -> bool:
        """Lengthen the lease of a content that another host heard again.

        :param key: of the announcement's content.
        :param left_seconds: of the lease, in seconds.
        :returns: whether the content is known here.
        """
        server_id = self._by_key.get(key)
        if server_id is None:
            return False
        self.apply(self._leases[server_id].announcement, left_seconds, now)
        return True

    def get(self, server_id: ids.ServerId) -> Announcement | None:
        """Give what a server last said, whether its lease holds or not."""
        lease = self._leases.get(server_id)
        return lease.announcement if lease else None

    def live(self, now: float) -> list[Announcement]:
        """List the servers whose lease holds, leaving ones too, by id."""
        return [
            lease.announcement
            for _, lease in sorted(self._leases.items())
            if lease.expires_at > now
        ]

    def lease(self, server_id: ids.ServerId) -> Lease | None:
        """Give the last lease of a server, also when it ran out."""
        return self._leases.get(server_id)

    def by_key(self, key: int) -> Lease | None:
        """Give the lease of a content."""
        server_id = self._by_key.get(key)
        return None if server_id is None else self._leases[server_id]

    def sweep(self, now: float) -> None:
        """Tell of leases that ran out and forget what is long over."""
        if now < self._next_sweep_at:
            return
        self._expire(now)
        self._next_sweep_at = min(
            map(self._due_at, self._leases), default=math.inf
        )

    def _expire(self, now: float) -> None:
        for server_id, lease in list(self._leases.items()):
            if lease.expires_at > now:
                continue
            if server_id not in self._expired:
                self._expired.add(server_id)
                self._changes.on_next(ServerExpired(lease.announcement))
            if now - lease.expires_at >= RETENTION_SECONDS:
                self._remove(lease)

    def _due_at(self, server_id: ids.ServerId) -> float:
        expires_at = self._leases[server_id].expires_at
        if server_id in self._expired:
            return expires_at + RETENTION_SECONDS
        return expires_at

    def _check_domain(self, announcement: Announcement) -> None:
        domain = announcement.failure_domain
        if self._domain is not None and domain != self._domain:
            raise errors.OtherDomainError(
                f'server {announcement.server_id!r} is of the failure domain '
                f'{domain!r}, this host of {self._domain!r}; it must '
                'announce itself to a host of its own',
            )

    def _make_room(self, announcement: Announcement) -> None:
        if len(self._leases) < self._max_servers:
            return
        if not self._expired:
            raise errors.RegistryFullError(
                f'{len(self._leases)} servers are known, the most there may '
                f'be; {announcement.server_id!r} is refused',
            )
        expired = [self._leases[server_id] for server_id in self._expired]
        self._remove(min(expired, key=_expiry_order))

    def _store(self, lease: Lease) -> None:
        known = self._leases.get(lease.server_id)
        if known is not None:
            self._by_key.pop(known.key, None)
        self._next_sweep_at = min(self._next_sweep_at, lease.expires_at)
        self._leases[lease.server_id] = lease
        self._by_key[lease.key] = lease.server_id

    def _remove(self, lease: Lease) -> None:
        self._leases.pop(lease.server_id)
        self._by_key.pop(lease.key, None)
        self._expired.discard(lease.server_id)

    def _emit_changes(self, known: Lease | None, current: Announcement) -> bool:
        before = known.announcement if known else None
        returned = current.server_id in self._expired
        self._expired.discard(current.server_id)
        crashed = before and current.incarnation > before.incarnation
        if before and crashed:
            self._changes.on_next(ServerCrashed(before, current))
        if before is None or crashed or returned:
            self._changes.on_next(ServerAppeared(current))
        if before != current:
            self._emit_state_change(before, current)
        return bool(crashed)

    def _emit_state_change(
        self,
        before: Announcement | None,
        current: Announcement,
    ) -> None:
        same_incarnation = before and before.incarnation == current.incarnation
        was_leaving = same_incarnation and before.state is ServerState.leaving
        if current.state is ServerState.leaving and not was_leaving:
            self._changes.on_next(ServerLeaving(current))
        elif same_incarnation:
            self._changes.on_next(ServerChanged(current))


def key_of(announcement: Announcement) -> int:
    """Give a short number for all that a server says of itself.

    :returns: 41 bits; two of a domain's servers share one by a chance of
        about one in a thousand million.
    """
    return xxhash.xxh3_64_intdigest(repr(announcement).encode()) >> _KEY_SHIFT


def _keep_leaving(
    announcement: Announcement, known: Lease | None
) -> Announcement:
    """Let a server that is leaving stay so in its incarnation."""
    if known is None:
        return announcement
    before = known.announcement
    if before.incarnation != announcement.incarnation:
        return announcement
    if before.state is ServerState.leaving:
        announcement = dataclasses.replace(announcement, state=before.state)
    # Readers notice a change by identity.
    if announcement == before:
        return before
    return announcement


def _expiry_order(lease: Lease) -> tuple[float, ids.ServerId]:
    return lease.expires_at, lease.server_id
