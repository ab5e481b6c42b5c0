"""From a caller's request to what is asked of a coordinator.

A key or a route that is unknown here is refused for good only while this host
is sure that its document is the newest; one that is cut off says that it
can't tell.
"""

import dataclasses
import random

import xxhash
from geraniumweir.common import ids
from geraniumweir.gateway import codec, forwarding, refusals
from geraniumweir.routing import finding, tables
from geraniumweir.scheduling import requests

_UNKNOWN_KEY = 401
_NO_ROUTE = 404
# Blocks of a prompt that a coordinator compares, in tokens. Parts of prompts
# differ in length; in equal pieces they weigh by their length. 256 keeps the
# longest prompt of the users (54,600 tokens) below the 512 blocks that an
# index keeps.
_BLOCK_TOKENS = 256
_LOWEST = int(max(ids.Tier))


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What this host decides by.

    :ivar index: the document in force, or None before the first.
    :ivar sure: it is known to be the newest.
    """

    index: finding.Index | None
    sure: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """Who asks the coordinator: this host, for one request.

    :ivar request_id: unique among all that this host ever asked for.
    :ivar arrived: in seconds on the loop's clock.
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    request_id: ids.RequestId
    arrived: float


def admit(
    known: Knowledge,
    call: codec.Request,
    body: bytes,
    asker: Asker,
    chance: random.Random,
) -> forwarding.Admitted:
    """Decide by the first rule that matches.

    :raises geraniumweir.common.errors.Refused: when it can't be served.
    """
    index = known.index
    if index is None:
        raise refusals.starting()
    route = find_route(known, call)
    customer = find_customer(known, call, route)
    seconds = route.timeout
    if call.patience is not None:
        seconds = min(seconds, call.patience)
    deadline = asker.arrived + seconds
    pool = index.pool(finding.choose_pool(route.targets, chance))
    if pool is None:
        raise refusals.starting()
    ask = requests.Ask(
        request_id=asker.request_id,
        owner=asker.host_id,
        pool=pool.name,
        customer=ids.CustomerName(customer.name if customer else ''),
        rule=route.name,
        tier=_tier(route, customer),
        deadline=deadline,
        fingerprint=_fingerprint(call, body),
        idempotent=route.repeatable or route.resumable,
        quota_cost=_cost(call, customer),
        target=asker.arrived + route.target,
        rank=route.rank,
        patience=asker.arrived + route.patience,
        gap=route.gap or float('inf'),
        failure_domain=asker.failure_domain,
        **_generation(call, pool),
    )
    event_tokens = pool.engine.event_tokens if pool.engine else 1
    return forwarding.Admitted(
        call,
        body,
        route,
        customer,
        ask,
        deadline,
        event_tokens,
    )


def find_route(known: Knowledge, call: codec.Request) -> tables.Route:
    """Find the rule that decides.

    :raises geraniumweir.common.errors.Refused: when none matches.
    """
    route = known.index and known.index.route(call.host, call.path)
    if route is not None:
        return route
    if not known.sure:
        raise refusals.unsure()
    raise refusals.never(_NO_ROUTE, 'no_route', 'no route leads from here')


def find_customer(
    known: Knowledge,
    call: codec.Request,
    route: tables.Route,
) -> tables.Customer | None:
    """Find who calls; None on a document without customers.

    :raises geraniumweir.common.errors.Refused: when nobody has the key.
    """
    index = known.index
    customer = index.customer(call.key) if index and call.key else None
    if customer is not None or route.public:
        return customer
    if index is None or not index.document.customers:
        return None
    if not known.sure:
        raise refusals.unsure()
    raise refusals.never(_UNKNOWN_KEY, 'unknown_key', 'nobody has this key')


def _tier(route: tables.Route, customer: tables.Customer | None) -> ids.Tier:
    rank = route.rank
    if customer is not None and customer.rank is not None:
        rank = customer.rank
    return ids.Tier(min(max(rank, 0), _LOWEST))


def _cost(call: codec.Request, customer: tables.Customer | None) -> float:
    """Give what a request takes of its customer's quota."""
    quota = customer.quota if customer else None
    if quota is None or not quota.per_second:
        return 0
    if not quota.in_tokens:
        return 1
    if call.generation is None:
        return quota.plain_cost
    return call.generation.prompt_tokens + call.generation.max_tokens


def _generation(call: codec.Request, pool: tables.Pool) -> dict[str, object]:
    """Give what an ask says of its prompt."""
    said = call.generation
    if said is None or pool.engine is None:
        # To the scheduler a plain answer is one token behind no prompt.
        return {'max_tokens': 1, 'streams': False}
    return {
        'model': said.model,
        'prompt_tokens': said.prompt_tokens,
        'max_tokens': said.max_tokens,
        'likely_tokens': said.likely_tokens,
        'blocks': _blocks(said.parts),
        'streams': True,
    }


def _blocks(parts: tuple[codec.PromptPart, ...]) -> tuple[ids.BlockHash, ...]:
    """Cut a prompt's parts into blocks, each named with all before it."""
    blocks = []
    seed = 0
    for part in parts:
        for number in range(part.tokens // _BLOCK_TOKENS):
            text = f'{part.part_id:x}:{number}'.encode()
            seed = xxhash.xxh3_64_intdigest(text, seed)
            blocks.append(ids.BlockHash(seed))
        text = f'{part.part_id:x}'.encode()
        seed = xxhash.xxh3_64_intdigest(text, seed)
    return tuple(blocks)


def _fingerprint(call: codec.Request, body: bytes) -> ids.Fingerprint:
    """Give a number that is the same for the same request sent again."""
    head = f'{call.method} {call.host} {call.target} {call.key}\n'.encode()
    return ids.Fingerprint(xxhash.xxh3_64_intdigest(head + body))
