"""Registry of backend servers, with leases renewed by announcements.

There is no configured list of backend servers: each announces itself once a
second, and gets no new work after its lease of three seconds expires. Leases
use the receiving host's clock; other hosts of the domain receive the time
left. Only the newest incarnation of a server counts, and one that is leaving
stays so in that incarnation, even when an earlier announcement arrives late.
Both are kept for a retention time after the lease expires.

References
==========
.. [1] C. Gray and D. Cheriton, "Leases: An efficient fault-tolerant mechanism
   for distributed file cache consistency", SOSP 1989.
"""

import dataclasses
import enum
import math
import typing

import reactivex
import xxhash
from geraniumweir.common import ids
from geraniumweir.membership import errors
from reactivex import subject

LEASE_SECONDS = 3.0
RETENTION_SECONDS = 600.0
MAX_SERVERS = 4096
_KEY_SHIFT = 23
# Kinds of servers.
ENGINE: typing.Final = 'engine'
SERVICE: typing.Final = 'service'


class ServerState(enum.Enum):
    """State that a server announces."""

    ready = 'ready'
    leaving = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of a backend server.

    :ivar incarnation: higher at each start of the server.
    :ivar kind: :data:`ENGINE` or :data:`SERVICE`.
    :ivar slots: requests it runs concurrently.
    :ivar kv_tokens: capacity of its KV cache, in tokens.
    :ivar max_context: longest prompt and output together, in tokens.
    :ivar fences: whether it rejects orders with an old fencing number.
    :ivar version: of its software, empty where it isn't announced.
    :ivar cold: whether it is still slow after its start.
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
    """The last announcement of a server with the end of its lease.

    :ivar expires_at: in seconds on the timer service's clock.
    :ivar key: hash of the announcement.
    """

    announcement: Announcement
    expires_at: float
    key: int

    @property
    def server_id(self) -> ids.ServerId:
        """Return the server's id."""
        return self.announcement.server_id


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAppeared:
    """Event: a server became live."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCrashed:
    """Event: a server has a newer incarnation; its requests are lost."""

    before: Announcement
    after: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChanged:
    """Event: a live server announced other data, such as its models."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLeaving:
    """Event: a server gets no new work; its running requests complete."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ServerExpired:
    """Event: the lease of a server expired."""

    announcement: Announcement


ServerEvent = (
    ServerAppeared
    | ServerCrashed
    | ServerChanged
    | ServerLeaving
    | ServerExpired
)


class Registry:
    """Registry of the backend servers of one failure domain on one host."""

    def __init__(
        self,
        domain: ids.FailureDomain | None = None,
        max_servers: int = MAX_SERVERS,
    ) -> None:
        """Initialize without servers.

        :param domain: of the host; servers of other domains are rejected.
        :param max_servers: highest number of servers in the registry.
        """
        self._domain = domain
        self._max_servers = max_servers
        self._leases: dict[ids.ServerId, Lease] = {}
        self._by_key: dict[int, ids.ServerId] = {}
        self._expired: set[ids.ServerId] = set()
        # Before this time no lease expires and none is due for removal.
        self._next_sweep_at = math.inf
        self._changes: subject.Subject[ServerEvent] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[ServerEvent]:
        """Return the stream of typed events."""
        return self._changes

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement received from the server itself.

        An announcement of an older incarnation is ignored.

        :param now: time in seconds.
        :returns: whether the server crashed: a known id with a new
            incarnation.
        :raises errors.OtherDomainError: when it is of another domain.
        :raises errors.RegistryFullError: when the registry is full.
        """
        return self.apply(announcement, LEASE_SECONDS, now)

    def apply(
        self,
        announcement: Announcement,
        left_seconds: float,
        now: float,
    ) -> bool:
        """Apply an announcement received directly or from another host.

        :param left_seconds: time left of the lease.
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
        """Renew the lease whose announcement has a key.

        :param key: hash of the announcement, received again by another host.
        :param left_seconds: time left of the lease.
        :returns: whether this registry has the announcement.
        """
        server_id = self._by_key.get(key)
        if server_id is None:
            return False
        self.apply(self._leases[server_id].announcement, left_seconds, now)
        return True

    def get(self, server_id: ids.ServerId) -> Announcement | None:
        """Return the last announcement of a server, also after its lease."""
        lease = self._leases.get(server_id)
        return lease.announcement if lease else None

    def live(self, now: float) -> list[Announcement]:
        """Return the servers with a valid lease, also leaving ones, by id."""
        return [
            lease.announcement
            for _, lease in sorted(self._leases.items())
            if lease.expires_at > now
        ]

    def lease(self, server_id: ids.ServerId) -> Lease | None:
        """Return the last lease of a server, also when it has expired."""
        return self._leases.get(server_id)

    def by_key(self, key: int) -> Lease | None:
        """Return the lease whose announcement has a key."""
        server_id = self._by_key.get(key)
        return None if server_id is None else self._leases[server_id]

    def sweep(self, now: float) -> None:
        """Emit expiry events; remove leases after the retention time."""
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
    """Return a hash of all fields of an announcement.

    :returns: 41 bits; two servers of a domain have the same one with a
        probability of about one in a thousand million.
    """
    return xxhash.xxh3_64_intdigest(repr(announcement).encode()) >> _KEY_SHIFT


def _keep_leaving(
    announcement: Announcement, known: Lease | None
) -> Announcement:
    """Return an announcement that keeps ``leaving`` in one incarnation."""
    if known is None:
        return announcement
    before = known.announcement
    if before.incarnation != announcement.incarnation:
        return announcement
    if before.state is ServerState.leaving:
        announcement = dataclasses.replace(announcement, state=before.state)
    # Readers detect a change by identity.
    if announcement == before:
        return before
    return announcement


def _expiry_order(lease: Lease) -> tuple[float, ids.ServerId]:
    return lease.expires_at, lease.server_id
