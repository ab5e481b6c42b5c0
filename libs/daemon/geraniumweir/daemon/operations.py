"""Operations that a host offers to operators, independent of HTTP.

:class:`Operations` is the protocol that the operators' HTTP application
(:mod:`geraniumweir.daemon.operators`) uses; a host implements it. Rows are
typed values whose fields are written out as JSON under their own names.
"""

import dataclasses
import enum
import typing

from geraniumweir.common import errors, ids
from geraniumweir.configuration import document
from geraniumweir.observe import tracefile


class MalformedError(errors.GeraniumweirError):
    """The operator's request is malformed."""

    code = 'GW-1401'


class UnknownError(errors.GeraniumweirError):
    """The version, backend server, request or recorder does not exist."""

    code = 'GW-1402'


class NoMajorityError(errors.GeraniumweirError):
    """No majority of the recorders answered in time."""

    code = 'GW-1403'

    def __init__(self, message: str, ran: ids.Ran) -> None:
        """Initialize with whether the change may still have been accepted.

        :param ran: ``no`` only where no recorder can have stored it.
        """
        super().__init__(message)
        self.ran = ran


class UnavailableError(errors.GeraniumweirError):
    """This host doesn't offer the operation; nothing was done."""

    code = 'GW-1404'


class NotNowError(errors.GeraniumweirError):
    """The state doesn't allow the operation now.

    An example is a change of the recorders while another one is pending.
    """

    code = 'GW-1405'


class TooLargeError(errors.GeraniumweirError):
    """The change exceeds the size that the log accepts."""

    code = 'GW-1408'


class HostState(enum.Enum):
    """State of an entry host, as the answering host sees it."""

    live = 'live'
    draining = 'draining'
    suspected = 'suspected'
    dead = 'dead'


class OrderKind(enum.Enum):
    """Kind of an order to a backend server."""

    load_model = 'load_model'
    unload_model = 'unload_model'
    load_adapter = 'load_adapter'
    unload_adapter = 'unload_adapter'
    set_role = 'set_role'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the configuration.

    :ivar base: the version that the change is based on.
    :ivar change_id: a repeat with the same id gets the first answer.
    :ivar document: the complete new document, TOML.
    """

    base: ids.Version
    change_id: ids.ChangeId
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that a majority has synced.

    :ivar warnings: what is valid but probably a mistake.
    :ivar repeated: whether the change had been accepted before.
    """

    version: ids.Version
    warnings: tuple[str, ...] = ()
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRow:
    """An accepted change.

    :ivar at: time of acceptance, seconds since 1970.
    """

    version: ids.Version
    change_id: ids.ChangeId
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostRow:
    """An entry host.

    :ivar sure: whether its version was checked against a majority.
    :ivar leads: the pools it leads.
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    region: ids.Region
    state: HostState
    version: ids.Version
    sure: bool
    recorder: bool
    leads: tuple[ids.PoolName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRow:
    """A backend server.

    :ivar state: ready, leaving, drained or forbidden.
    :ivar running: open grants, or None where another host leads its pool.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    address: str
    state: str
    slots: int
    running: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRow:
    """A pool in one failure domain.

    :ivar leader: the host that leads the pool, or None where unknown.
    :ivar waiting: requests in its queue, or None where unknown.
    :ivar running: open grants, or None where unknown.
    :ivar lowest_tier: the lowest tier being served, or None.
    """

    pool: ids.PoolName
    kind: str
    failure_domain: ids.FailureDomain
    leader: ids.HostId | None
    servers: int
    waiting: int | None = None
    running: int | None = None
    lowest_tier: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of the answering host.

    :ivar sure: whether its version was checked against a majority.
    :ivar log_leader: the recorder that leads the log, or None where unknown.
    :ivar majority: whether a majority of the recorders answers; None on a
        standalone host.
    :ivar log_index: index of the newest entry applied.
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    region: ids.Region
    program: str
    version: ids.Version
    sure: bool
    draining: bool
    log_leader: ids.HostId | None
    majority: bool | None
    log_index: int
    uptime_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecorderRow:
    """A recorder; one that is no voter is a learner."""

    host_id: ids.HostId
    address: str
    voter: bool
    leader: bool
    match_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to a backend server.

    :ivar subject: the model, adapter or role.
    :ivar order_id: a repeat with the same id is sent once.
    """

    server_id: ids.ServerId
    kind: OrderKind
    subject: str
    version: str = ''
    order_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """An order that the backend server accepted.

    :ivar fencing: the fencing number it was sent with.
    """

    server_id: ids.ServerId
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotResult:
    """A snapshot written to disk."""

    log_index: int
    size_bytes: int


class Operations(typing.Protocol):
    """Protocol of the operations that a host offers to operators.

    A change raises :class:`configuration.errors.DocumentError` or
    :class:`configuration.errors.ConflictError`; every operation may raise the
    errors of this module.
    """

    async def config(self, version: ids.Version | None) -> document.InForce:
        """Return a version, by default the one in force on this host."""

    async def change(self, change: Change) -> Accepted:
        """Put a change in force; returns once a majority has it synced."""

    async def history(self) -> typing.Sequence[HistoryRow]:
        """Return accepted changes, the oldest first."""

    async def hosts(self) -> typing.Sequence[HostRow]:
        """Return the entry hosts in this host's membership."""

    async def servers(self) -> typing.Sequence[ServerRow]:
        """Return the backend servers of this host's failure domain."""

    async def pools(self) -> typing.Sequence[PoolRow]:
        """Return the pools, also those known in other failure domains."""

    async def status(self) -> Status:
        """Return the state of this host."""

    async def order(self, order: Order) -> OrderResult:
        """Send an order to a backend server, with a fencing number."""

    async def recorders(self) -> typing.Sequence[RecorderRow]:
        """Return the recorders."""

    async def add_recorder(
        self,
        host_id: ids.HostId,
        address: ids.Address,
    ) -> None:
        """Add a recorder, as a learner until it has caught up."""

    async def remove_recorder(self, host_id: ids.HostId) -> None:
        """Remove a recorder."""

    async def snapshot(self) -> SnapshotResult:
        """Write a snapshot of this recorder's state, compacting its log."""

    async def trace(self, wanted: str) -> typing.Sequence[tracefile.SpanRecord]:
        """Return the spans of a request or trace id on this host."""

    def metrics(self) -> str:
        """Return the metrics as Prometheus text."""
