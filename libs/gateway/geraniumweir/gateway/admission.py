"""Admits callers' requests: finds route, customer, pool and slot request.

A request with an unknown key or route is refused permanently only while the
routing document of this host is up to date. A host that is partitioned from
the control hosts refuses it with a retry time instead.
"""

import dataclasses
import random

import xxhash
from geraniumweir.common import ids
from geraniumweir.gateway import codec, context, refusals
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import prefix, requests, stream_origins

_UNAUTHORIZED = 401
_NOT_FOUND = 404
# Length of the prompt blocks that a pool leader compares. Blocks of equal size
# weigh the parts of a prompt by their length. With 256 tokens the longest
# prompt of the users (54,600 tokens) has fewer than the 512 blocks that an
# index keeps; further blocks of a longer one are left out.
_BLOCK_TOKENS = 256
_LOWEST_TIER = int(max(ids.Tier))


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentState:
    """Routing document of this host.

    :ivar index: index of the document in force, None before the first.
    :ivar up_to_date: whether it is up to date.
    """

    index: finding.Index | None
    up_to_date: bool

    @property
    def limits(self) -> tables.Limits:
        """Limits for callers, the usual ones before the first document."""
        return (
            tables.Limits()
            if self.index is None
            else self.index.document.limits
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOrigin:
    """Host and request for which a slot is requested.

    :ivar request_id: unique among all requests of this host.
    :ivar arrived: when the request arrived, in seconds on the loop's clock.
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    request_id: ids.RequestId
    arrived: float


def admit(
    document_state: DocumentState,
    caller_request: codec.Request,
    body: bytes,
    origin: RequestOrigin,
    rng: random.Random,
    began: stream_origins.StreamOrigin | None = None,
) -> context.AdmittedRequest:
    """Return the request as admitted by the first matching route.

    :param rng: chooses among the pools of the route.
    :param began: where the stream began that the request takes up.
    :raises geraniumweir.common.errors.Refused: if it can't be served.
    """
    index = document_state.index
    if index is None:
        raise refusals.starting()
    route = find_route(document_state, caller_request)
    customer = find_customer(document_state, caller_request, route)
    seconds = route.timeout
    if caller_request.patience is not None:
        seconds = min(seconds, caller_request.patience)
    deadline = origin.arrived + seconds
    pool = index.pool(_choose_pool(route, rng, began))
    if pool is None:
        raise refusals.starting()
    slot_request = requests.SlotRequest(
        request_id=origin.request_id,
        owner=origin.host_id,
        pool=pool.name,
        customer=_customer_name(customer),
        rule=route.name,
        tier=_tier(route, customer),
        deadline=deadline,
        fingerprint=_fingerprint(caller_request, body),
        idempotent=route.repeatable or route.resumable,
        quota_cost=_cost(caller_request, customer),
        target=origin.arrived + route.target,
        rank=route.rank,
        patience=origin.arrived + route.patience,
        gap=route.gap or float('inf'),
        failure_domain=origin.failure_domain,
        version=None if began is None else began.version,
        **_generation(caller_request, pool),
    )
    event_tokens = pool.engine.event_tokens if pool.engine else 1
    return context.AdmittedRequest(
        caller_request,
        body,
        route,
        customer,
        slot_request,
        deadline,
        event_tokens,
        began,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ResumedStream:
    """A stream that a request takes up.

    :ivar key: of the attempt that the request names, or of its content.
    :ivar claim: None if the request names an attempt.
    """

    key: ids.StreamKey
    claim: stream_origins.ContentClaim | None = None


def resumed_stream(
    document_state: DocumentState,
    caller_request: codec.Request,
    body: bytes,
    arrived: float,
) -> ResumedStream | None:
    """Return the stream that a request takes up, None for none.

    :param arrived: when the request did, in seconds on the loop's clock.

    :raises geraniumweir.common.errors.Refused: if it can't be served.
    """
    if caller_request.last_event is None or document_state.index is None:
        return None
    route = find_route(document_state, caller_request)
    customer = find_customer(document_state, caller_request, route)
    if route.kind is not tables.Kind.stream:
        return None
    name = _customer_name(customer)
    if caller_request.resumes:
        key = stream_origins.key_of(name, caller_request.resumes)
        return ResumedStream(key)
    ends_at = None
    if caller_request.patience is not None:
        ends_at = arrived + stream_origins.resumable_seconds(
            caller_request.patience
        )
    return ResumedStream(
        stream_origins.key_of_content(name, _fingerprint(caller_request, body)),
        stream_origins.ContentClaim(
            stream_origins.key_of_customer(name), ends_at
        ),
    )


def _customer_name(customer: tables.Customer | None) -> ids.CustomerName:
    return ids.CustomerName(customer.name if customer else '')


def _choose_pool(
    route: tables.Route,
    rng: random.Random,
    began: stream_origins.StreamOrigin | None,
) -> ids.PoolName:
    """Choose the pool of a request; a begun stream stays in its own.

    :raises geraniumweir.common.errors.Refused: if the route no longer leads
        there.
    """
    if began is None:
        return finding.choose_pool(route.targets, rng)
    if any(one.pool == began.pool and one.weight for one in route.targets):
        return began.pool
    raise refusals.stream_moved()


def find_route(
    document_state: DocumentState, caller_request: codec.Request
) -> tables.Route:
    """Return the first matching route.

    :raises geraniumweir.common.errors.Refused: if none matches.
    """
    route = document_state.index and document_state.index.route(
        caller_request.host, caller_request.path
    )
    if route is not None:
        return route
    if not document_state.up_to_date:
        raise refusals.possibly_outdated()
    raise refusals.permanent(_NOT_FOUND, 'no_route', 'no route leads from here')


def find_customer(
    document_state: DocumentState,
    caller_request: codec.Request,
    route: tables.Route,
) -> tables.Customer | None:
    """Return the customer of a request.

    :returns: None for a public route without a known key, or for a document
        without customers.
    :raises geraniumweir.common.errors.Refused: if no customer has the key.
    """
    index = document_state.index
    customer = (
        index.customer(caller_request.key)
        if index and caller_request.key
        else None
    )
    if customer is not None or route.public:
        return customer
    if index is None or not index.document.customers:
        return None
    if not document_state.up_to_date:
        raise refusals.possibly_outdated()
    raise refusals.permanent(
        _UNAUTHORIZED, 'unknown_key', 'nobody has this key'
    )


def _tier(route: tables.Route, customer: tables.Customer | None) -> ids.Tier:
    rank = route.rank
    if customer is not None and customer.rank is not None:
        rank = customer.rank
    return ids.Tier(min(max(rank, 0), _LOWEST_TIER))


def _cost(
    caller_request: codec.Request, customer: tables.Customer | None
) -> float:
    """Return what a request costs of its customer's quota, in its unit."""
    quota = customer.quota if customer else None
    if quota is None or not quota.per_second:
        return 0
    if not quota.in_tokens:
        return 1
    if caller_request.generation is None:
        return quota.plain_cost
    return (
        caller_request.generation.prompt_tokens
        + caller_request.generation.max_tokens
    )


def _generation(
    caller_request: codec.Request, pool: tables.Pool
) -> dict[str, object]:
    """Return the fields of a slot request that describe the generation.

    :raises geraniumweir.common.errors.Refused: if no server has memory for it.
    """
    requested = caller_request.generation
    if requested is None or pool.engine is None:
        # The scheduler treats a plain response as one token without a prompt.
        return {'max_tokens': 1, 'streams': False}
    length = max(requested.prompt_tokens, requested.listed_tokens)
    if 0 < pool.engine.kv_tokens < length:
        raise refusals.too_large(length, pool.engine.kv_tokens)
    return {
        'model': requested.model,
        'prompt_tokens': requested.prompt_tokens,
        'max_tokens': requested.max_tokens,
        'likely_tokens': requested.likely_tokens,
        'blocks': _blocks(requested.parts),
        'parts': _shared_parts(requested.parts),
        'streams': True,
    }


def _blocks(parts: tuple[codec.PromptPart, ...]) -> tuple[ids.BlockHash, ...]:
    """Return the prompt's blocks; each hash covers all blocks before it."""
    blocks: list[ids.BlockHash] = []
    seed = 0
    for part in parts:
        room = prefix.MAX_BLOCKS - len(blocks)
        for number in range(min(part.tokens // _BLOCK_TOKENS, room)):
            text = f'{part.part_id:x}:{number}'.encode()
            seed = xxhash.xxh3_64_intdigest(text, seed)
            blocks.append(ids.BlockHash(seed))
        text = f'{part.part_id:x}'.encode()
        seed = xxhash.xxh3_64_intdigest(text, seed)
    return tuple(blocks)


def _shared_parts(
    parts: tuple[codec.PromptPart, ...],
) -> tuple[ids.PromptPart, ...]:
    """Return hashes of all parts but the last, which no other prompt has."""
    return tuple(
        ids.PromptPart(xxhash.xxh3_64_intdigest(f'{part.part_id:x}'.encode()))
        for part in parts[:-1]
    )


def _fingerprint(caller_request: codec.Request, body: bytes) -> ids.Fingerprint:
    """Return a hash that is equal for a repeated request."""
    head = (
        f'{caller_request.method} {caller_request.host}'
        f' {caller_request.target} {caller_request.key}\n'
    ).encode()
    return ids.Fingerprint(xxhash.xxh3_64_intdigest(head + body))
