"""The configuration document as typed values.

What a rule does is one of two data classes, :class:`Route` or
:class:`Refuse`; code that acts on it uses ``match``.
"""

import dataclasses
import typing

from geraniumweir.common import ids

NO_VERSION = ids.Version(0)
DEFAULT_REFUSAL_STATUS = 403


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """Who sends requests.

    :ivar key_sha256: hex digest of the bearer key, or None where the header
        ``X-Customer`` is enough.
    :ivar share: weight inside a tier.
    """

    name: ids.CustomerName
    key_sha256: str | None = None
    share: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A set of backend servers that can stand in for each other.

    :ivar kind: ``engine`` or ``service``.
    """

    name: ids.PoolName
    kind: str = 'engine'


@dataclasses.dataclass(frozen=True, slots=True)
class When:
    """What a rule asks of a request; an empty field asks nothing.

    :ivar path: a glob over the request's path.
    :ivar header: lower-case header names with the values they must have.
    :ivar min_tokens: fewest prompt tokens.
    :ivar max_tokens: most prompt tokens.
    """

    customer: tuple[ids.CustomerName, ...] = ()
    path: str | None = None
    model: str | None = None
    header: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)
    min_tokens: int | None = None
    max_tokens: int | None = None
    idempotent: bool | None = None
    failure_domain: tuple[ids.FailureDomain, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Send the request to a pool.

    :ivar deadline_ms: from arrival, in milliseconds, or None for the
        daemon's default.
    :ivar rate_per_s: calls a second that the rule lets through.
    :ivar max_running: calls at a time on backend servers.
    :ivar max_waiting: calls at a time in the queue.
    :ivar idempotent: False marks calls that run at most once.
    """

    pool: ids.PoolName
    tier: ids.Tier = ids.Tier.normal
    deadline_ms: int | None = None
    rate_per_s: float | None = None
    max_running: int | None = None
    max_waiting: int | None = None
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request with a reason."""

    reason: str
    status: int = DEFAULT_REFUSAL_STATUS


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """When this, then that."""

    name: ids.RuleName
    when: When
    then: Route | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOverride:
    """What an operator says of one backend server.

    :ivar drain: no new work, work in flight ends in peace.
    :ivar forbid: no work at all.
    """

    server_id: ids.ServerId
    drain: bool = False
    forbid: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A whole configuration."""

    customers: tuple[Customer, ...] = ()
    pools: tuple[Pool, ...] = ()
    rules: tuple[Rule, ...] = ()
    servers: tuple[ServerOverride, ...] = ()

    def pool(self, name: ids.PoolName) -> Pool | None:
        """Find a pool by name."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def customer(self, name: ids.CustomerName) -> Customer | None:
        """Find a customer by name."""
        found = (cust for cust in self.customers if cust.name == name)
        return next(found, None)

    def override(self, server_id: ids.ServerId) -> ServerOverride:
        """Find what is said of a server; the default says nothing."""
        for server in self.servers:
            if server.server_id == server_id:
                return server
        return ServerOverride(server_id)


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A document with the version it has in the log.

    :ivar text: the document as the operator sent it.
    """

    version: ids.Version
    document: Document
    text: str = ''


EMPTY = InForce(NO_VERSION, Document())
