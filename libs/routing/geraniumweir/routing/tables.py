"""What a routed document says: routes, pools, customers and limits.

A route is a rule: when a request's host and path match, then it goes to one
of the route's pools. Rules are ordered by the length of their prefix, the
longest first, so the first that matches decides.
"""

import dataclasses
import enum

from geraniumweir.common import errors, ids


class DocumentError(errors.GeraniumweirError, ValueError):
    """A document that can't be put in force."""

    code = 'GW-7201'


class Kind(enum.Enum):
    """What may be done with a request once more.

    :cvar idempotent: it may run any number of times.
    :cvar once: it may run once at most.
    :cvar stream: a stream of numbered events, once unless it is resumed.
    """

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A pool that a route sends a share of its requests to."""

    pool: ids.PoolName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One rule: a host and a path prefix, and where they lead.

    :ivar host: without a port, in lower case.
    :ivar prefix: begins and ends with a slash.
    :ivar timeout: longest time to keep a caller waiting, in seconds.
    :ivar target: time to the first answer for full worth, in seconds.
    :ivar rank: importance, 0 is the highest.
    :ivar attempts: most servers that may run one request.
    :ivar public: no key is asked for.
    :ivar resumable: a broken stream may go on at another server.
    :ivar gap: longest pause between events for full worth, in seconds.
    :ivar patience: a caller of a stream leaves after so many seconds without
        an event.
    """

    name: ids.RuleName
    host: str
    prefix: str
    kind: Kind
    timeout: float
    target: float
    rank: int
    targets: tuple[Target, ...]
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap: float = 0
    patience: float = float('inf')

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is Kind.idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What is known of the engines of a pool.

    :ivar slots: requests that one runs at a time.
    :ivar kv_tokens: tokens that its memory holds.
    :ivar event_tokens: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    event_tokens: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A service: servers that are alike to their callers.

    :ivar max_connections: that one server takes from all hosts together.
    :ivar engine: None for a plain service.
    """

    name: ids.PoolName
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What a customer may ask for, over all entry hosts together.

    :ivar per_second: in requests or tokens; 0 for no limit.
    :ivar burst: the same unit, beyond the rate.
    :ivar in_tokens: the unit is tokens.
    :ivar plain_cost: tokens counted for a request that names none.
    """

    per_second: float
    burst: float
    in_tokens: bool
    plain_cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """Who calls.

    :ivar keys: any of them names the customer.
    :ivar rank: goes before that of the route; None where unsaid.
    """

    name: ids.CustomerName
    keys: tuple[str, ...]
    rank: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send and how long they may take.

    :ivar header_bytes: of all headers together.
    :ivar body_bytes: of one body.
    :ivar header_seconds: for the headers to come.
    :ivar idle_seconds: that a connection may stay idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A whole routed document, with the version that it carries itself."""

    version: ids.Version
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = Limits()


def check(doc: Document) -> None:
    """Make sure that a document can be put in force.

    :raises DocumentError: tells the first fault.
    """
    pools = {pool.name for pool in doc.pools}
    locations: set[tuple[str, str]] = set()
    for route in doc.routes:
        _check_route(route, pools)
        location = (route.host, route.prefix)
        if location in locations:
            raise DocumentError(f'two routes lead from {location}')
        locations.add(location)
    _check_keys(doc.customers)


def _check_route(route: Route, pools: set[ids.PoolName]) -> None:
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        raise DocumentError(
            f'route {route.name!r}: the prefix {route.prefix!r} does not begin'
            ' and end with a slash',
        )
    if route.timeout <= 0:
        raise DocumentError(f'route {route.name!r} has no timeout')
    for target in route.targets:
        if target.pool not in pools:
            raise DocumentError(
                f'route {route.name!r} leads to the unknown {target.pool!r}',
            )
    weights = [part.weight for part in route.targets]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        raise DocumentError(f'route {route.name!r}: the weights add up to 0')


def _check_keys(customers: tuple[Customer, ...]) -> None:
    owners: dict[str, ids.CustomerName] = {}
    for customer in customers:
        for key in customer.keys:
            if owners.setdefault(key, customer.name) != customer.name:
                raise DocumentError(
                    f'customers {owners[key]!r} and {customer.name!r} share'
                    ' a key',
                )
