"""What operators may ask of a host, apart from how they ask it.

:class:`Operations` is the narrow face that the operators' HTTP application
(:mod:`geraniumweir.daemon.operators`) stands on; the composition of a host
implements it. Rows are typed values that go to JSON as they are.
"""

import dataclasses
import enum
import typing

from geraniumweir.common import errors, ids
from geraniumweir.configuration import document
from geraniumweir.observe import tracefile


class MalformedError(errors.GeraniumweirError):
    """What the operator sent can't be read."""

    code = 'GW-1401'


class UnknownError(errors.GeraniumweirError):
    """There is no such version, backend server, request or recorder."""

    code = 'GW-1402'


class NoMajorityError(errors.GeraniumweirError):
    """No majority of the recorders answered in time."""

    code = 'GW-1403'

    def __init__(self, message: str, ran: ids.Ran) -> None:
        """Keep whether the change can have been accepted all the same.

        :param ran: ``no`` only where no recorder can have taken it.
        """
        super().__init__(message)
        self.ran = ran


class UnavailableError(errors.GeraniumweirError):
    """This host can't do it; nothing was done."""

    code = 'GW-1404'


class NotNowError(errors.GeraniumweirError):
    """The state doesn't allow it, such as two changes of recorders at once."""

    code = 'GW-1405'


class HostState(enum.Enum):
    """How an entry host stands, as the answering host sees it."""

    live = 'live'
    draining = 'draining'
    suspected = 'suspected'
    dead = 'dead'


class OrderKind(enum.Enum):
    """What a backend server can be ordered to do."""

    load_model = 'load_model'
    unload_model = 'unload_model'
    load_adapter = 'load_adapter'
    unload_adapter = 'unload_adapter'
    set_role = 'set_role'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the configuration.

    :ivar base: the version it was made from.
    :ivar change_id: a repeat with the same id gets the first answer.
    :ivar document: the whole new document, TOML.
    """

    base: ids.Version
    change_id: ids.ChangeId
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that a majority has synced.

    :ivar warnings: of what is allowed but looks wrong.
    :ivar repeated: the change had been accepted before.
    """

    version: ids.Version
    warnings: tuple[str, ...] = ()
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRow:
    """An accepted change.

    :ivar at: wall clock of the acceptance, seconds since 1970.
    """

    version: ids.Version
    change_id: ids.ChangeId
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostRow:
    """An entry host.

    :ivar sure: its version was checked against a majority.
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

    :ivar leader: the host that keeps its queue, or None where unknown.
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
    """How the answering host stands.

    :ivar sure: its version was checked against a majority.
    :ivar log_leader: the recorder that leads, or None where unknown.
    :ivar majority: None on a host that stands alone.
    :ivar log_index: newest entry applied.
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
    """A recorder; a learner doesn't vote yet."""

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
    """An order that the backend server took.

    :ivar fencing: the number it went out with.
    """

    server_id: ids.ServerId
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotResult:
    """A snapshot that is on disk."""

    log_index: int
    size_bytes: int


class Operations(typing.Protocol):
    """What a host's composition offers to operators.

    Errors: :class:`configuration.errors.DocumentError` and
    :class:`configuration.errors.ConflictError` of a change, and those of this
    module of everything.
    """

    async def config(self, version: ids.Version | None) -> document.InForce:
        """Give a version, by default the one in force on this host."""

    async def change(self, change: Change) -> Accepted:
        """Put a change in force; returns once a majority has it synced."""

    async def history(self) -> typing.Sequence[HistoryRow]:
        """List accepted changes, the oldest first."""

    async def hosts(self) -> typing.Sequence[HostRow]:
        """List the entry hosts that this host knows."""

    async def servers(self) -> typing.Sequence[ServerRow]:
        """List the backend servers of this host's failure domain."""

    async def pools(self) -> typing.Sequence[PoolRow]:
        """List the pools that this host knows of, also in other domains."""

    async def status(self) -> Status:
        """Tell how this host stands."""

    async def order(self, order: Order) -> OrderResult:
        """Send an order to a backend server, with a fencing number."""

    async def recorders(self) -> typing.Sequence[RecorderRow]:
        """List the recorders."""

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
        """Give the spans of a request or trace id recorded on this host."""

    def metrics(self) -> str:
        """Write the metrics as Prometheus text."""
