"""Routing documents: routes, pools, customers and limits.

A route applies to requests by host and path prefix and assigns them to one of
its pools. Of several matching routes the one with the longest prefix applies.
"""

import dataclasses
import enum
import typing

from geraniumweir.common import errors, ids

# Upper bound of a customer's weight, so that sums of weights stay finite. It is
# above any rate of a quota in tokens.
MAX_WEIGHT = 1e12


class DocumentError(errors.GeraniumweirError, ValueError):
    """An invalid routing document."""

    code = 'GW-7201'


class Kind(enum.Enum):
    """How often a request may run.

    :cvar idempotent: any number of times.
    :cvar once: at most once.
    :cvar stream: once unless it is resumed; a stream of numbered events.
    """

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A pool that gets a share of a route's requests."""

    pool: ids.PoolName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A host and a path prefix and the pools for their requests.

    :ivar host: host name without a port, in lower case.
    :ivar prefix: path prefix that begins and ends with a slash.
    :ivar timeout: longest time until the response is complete, in seconds.
    :ivar target: time to the first answer for full value, in seconds.
    :ivar rank: priority, 0 is the highest.
    :ivar attempts: highest number of servers that may run one request.
    :ivar public: whether requests need no API key.
    :ivar resumable: whether an incomplete stream may resume on another server.
    :ivar gap: longest gap between events for full value, in seconds.
    :ivar patience: seconds without an event after which a caller closes a
        stream.
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
        """Whether a request that may have run may run again."""
        return self.kind is Kind.idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Properties of the inference engines of a pool.

    :ivar slots: requests that one engine runs at a time.
    :ivar kv_tokens: capacity of its KV cache in tokens.
    :ivar event_tokens: tokens in one event of a stream.
    :ivar models: names of the models.
    """

    slots: int
    kv_tokens: int
    event_tokens: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A service of servers that are interchangeable for callers.

    :ivar max_connections: limit of one server for all hosts together.
    :ivar engine: None for a plain service.
    """

    name: ids.PoolName
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Quota of a customer for all entry hosts together.

    :ivar per_second: rate in requests or tokens, 0 for no limit.
    :ivar burst: allowance beyond the rate, in the same unit.
    :ivar in_tokens: whether the unit is tokens.
    :ivar plain_cost: tokens charged for a request that states none.
    """

    per_second: float
    burst: float
    in_tokens: bool
    plain_cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer.

    :ivar keys: API keys, each of which identifies the customer.
    :ivar rank: priority that overrides that of the route, None to keep it.
    :ivar weight: weight in fair shares of slots, 0 for only what others leave;
        None to derive it from the quota.
    """

    name: ids.CustomerName
    keys: tuple[str, ...]
    rank: int | None = None
    quota: Quota | None = None
    weight: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits for callers.

    :ivar header_bytes: size of all headers together.
    :ivar body_bytes: size of one body.
    :ivar header_seconds: time to send the headers.
    :ivar idle_seconds: time for which a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A complete routing document with its version."""

    version: ids.Version
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = Limits()

    def pool_names(self) -> set[ids.PoolName]:
        """Return the names of all pools."""
        return {pool.name for pool in self.pools}


def check(doc: Document) -> None:
    """Validate a document.

    :raises DocumentError: with the first fault.
    """
    pools = doc.pool_names()
    locations: set[tuple[str, str]] = set()
    for route in doc.routes:
        check_route(route, pools)
        location = (route.host, route.prefix)
        if location in locations:
            raise DocumentError(f'two routes lead from {location}')
        locations.add(location)
    _check_keys(doc.customers)
    _check_weights(doc.customers)


def check_route(route: Route, pools: typing.Collection[ids.PoolName]) -> None:
    """Validate a route by itself.

    :param pools: names of all pools.
    :raises DocumentError: with the first fault.
    """
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


def _check_weights(customers: tuple[Customer, ...]) -> None:
    for customer in customers:
        weight = customer.weight
        # The comparison is false for NaN too.
        if weight is not None and not 0 <= weight <= MAX_WEIGHT:
            raise DocumentError(
                f'customer {customer.name!r}: the weight {weight!r} is not'
                f' a number from 0 to {MAX_WEIGHT:g}',
            )
