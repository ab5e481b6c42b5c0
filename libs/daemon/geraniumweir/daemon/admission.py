"""Turns a caller's HTTP request into a slot request.

Identifies the customer, reads the facts that rules match on, finds the first
matching rule and determines the deadline.
"""

import dataclasses
import hashlib
import json
import typing

from aiohttp import web
from geraniumweir.backends import prompts
from geraniumweir.common import ids
from geraniumweir.configuration import document, matching
from geraniumweir.daemon import catalogue, claiming, exchange, refusals
from geraniumweir.daemon import host as entry_host
from geraniumweir.scheduling import requests

SERVICES = '/services/'
_BEARER = 'Bearer '
_MS = 1000
_DEFAULT_DEADLINE_MS = 60000
_MAX_DEADLINE_MS = 24 * 60 * 60 * _MS
_MAX_KEY_LENGTH = 255
_NO_PROMPT = prompts.Prompt(0, (), ids.Fingerprint(0))


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that a rule routes to a pool.

    :ivar slot_request: what is sent to the pool's leader.
    :ivar kind: kind of the pool, ``engine`` or ``service``.
    :ivar claim: key of the claim of a non-idempotent request, else None.
    """

    slot_request: requests.SlotRequest
    kind: str
    claim: claiming.ClaimKey | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Content:
    """What the scheduler needs to know of a request's body.

    :ivar max_tokens: highest number of output tokens requested, 0 where the
        body gives none.
    :ivar streams: whether the response is streamed token by token.
    """

    prompt: prompts.Prompt
    model: str | None = None
    max_tokens: int = 0
    streams: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """The customer of a request and the rule and route chosen for it."""

    customer: document.Customer
    rule: ids.RuleName
    route: document.Route


def find_customer(
    host: entry_host.EntryHost,
    req: web.Request,
) -> document.Customer:
    """Return the customer that sent a request.

    Needs only the headers, so it runs before the body is read.

    :raises errors.Refused: when the key or the name is unknown.
    """
    doc = host.compiled
    bearer = req.headers.get('Authorization', '')
    if bearer.startswith(_BEARER):
        key = bearer.removeprefix(_BEARER).strip()
        digest = hashlib.sha256(key.encode('utf-8', 'replace')).hexdigest()
        owner = doc.customer_of_key(digest)
        if owner is None:
            raise refusals.unknown_key()
        return owner
    name = req.headers.get('X-Customer', '')
    found = doc.customer_named(ids.CustomerName(name))
    if found is None or found.key_sha256 is not None:
        raise refusals.unknown_customer(name)
    return found


def read_deadline_seconds(req: web.Request) -> float | None:
    """Return the deadline that ``X-Deadline-Ms`` sets.

    :returns: seconds from arrival, at most 24 hours, or None without the
        header.
    :raises errors.Refused: when it is not a positive number of milliseconds.
    """
    text = req.headers.get('X-Deadline-Ms')
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not int(text[:10]):
        raise refusals.bad_request(
            f'X-Deadline-Ms {text!r} is not a whole number of ms from 1 up',
        )
    return min(int(text[:10]), _MAX_DEADLINE_MS) / _MS


def admit(
    host: entry_host.EntryHost,
    http_exchange: exchange.Exchange,
    customer: document.Customer,
) -> AdmittedRequest:
    """Route a request by the rules in force.

    :param http_exchange: with the complete body; pool and tier are added to
        its response headers.
    :raises errors.Refused: when no rule matches, the rule refuses the request
        or the request is malformed.
    """
    doc = host.compiled
    content = _read_content(http_exchange)
    facts = _facts(host, http_exchange, content, customer.name)
    rule = doc.first_match(facts)
    if rule is None:
        raise refusals.refuse(
            catalogue.NO_RULE,
            'no rule matches this request',
        )
    match rule.then:
        case document.Refuse(reason=reason, status=status):
            raise refusals.by_rule(status, rule.name, reason)
        case document.Route() as route:
            exchange.add_route(http_exchange.head, route.pool, route.tier)
            decision = _Decision(customer, rule.name, route)
            slot_request = _slot_request(
                host, http_exchange, facts, content, decision
            )
            pool = doc.pool(route.pool)
            kind = pool.kind if pool else 'engine'
            return AdmittedRequest(
                slot_request, kind, _claim_key(http_exchange, slot_request)
            )


def _slot_request(
    host: entry_host.EntryHost,
    http_exchange: exchange.Exchange,
    facts: matching.Facts,
    content: _Content,
    decision: _Decision,
) -> requests.SlotRequest:
    route = decision.route
    deadline_seconds = read_deadline_seconds(http_exchange.req)
    if deadline_seconds is None:
        deadline_seconds = (route.deadline_ms or _DEFAULT_DEADLINE_MS) / _MS
    return requests.SlotRequest(
        request_id=http_exchange.request_id,
        owner=host.cfg.host_id,
        pool=route.pool,
        customer=facts.customer,
        rule=decision.rule,
        tier=route.tier,
        deadline=http_exchange.arrival + deadline_seconds,
        model=facts.model,
        prompt_tokens=content.prompt.tokens,
        max_tokens=content.max_tokens,
        blocks=content.prompt.blocks,
        fingerprint=content.prompt.fingerprint,
        idempotent=facts.idempotent and route.idempotent,
        share=decision.customer.share,
        streams=content.streams,
        max_running=route.max_running,
        max_waiting=route.max_waiting,
        rate_per_s=_rate(route),
    )


def _rate(route: document.Route) -> float | None:
    if route.rate_per_s is None:
        return None
    # TOML rules may give the rate as an integer.
    return float(route.rate_per_s)


def _claim_key(
    http_exchange: exchange.Exchange,
    slot_request: requests.SlotRequest,
) -> claiming.ClaimKey | None:
    if slot_request.idempotent:
        return None
    key = http_exchange.req.headers.get('Idempotency-Key', '')
    if not key:
        raise refusals.refuse(
            catalogue.KEY_MISSING,
            'a call that must run at most once needs an Idempotency-Key',
        )
    if len(key) > _MAX_KEY_LENGTH:
        raise refusals.bad_request(
            f'the Idempotency-Key is longer than {_MAX_KEY_LENGTH} characters',
        )
    return claiming.ClaimKey(slot_request.customer, key)


def _facts(
    host: entry_host.EntryHost,
    http_exchange: exchange.Exchange,
    content: _Content,
    customer: ids.CustomerName,
) -> matching.Facts:
    req = http_exchange.req
    idempotent_header = req.headers.get('X-Idempotent', 'true').strip().lower()
    if idempotent_header not in {'true', 'false'}:
        raise refusals.bad_request(
            f'X-Idempotent {idempotent_header!r} is neither true nor false',
        )
    return matching.Facts(
        customer=customer,
        path=req.path,
        failure_domain=host.cfg.failure_domain,
        model=content.model,
        headers={name.lower(): text for name, text in req.headers.items()},
        prompt_tokens=content.prompt.tokens,
        idempotent=idempotent_header == 'true',
    )


def _read_content(http_exchange: exchange.Exchange) -> _Content:
    req = http_exchange.req
    if req.path.startswith(SERVICES):
        path = f'{req.method} {req.raw_path}'
        digest = prompts.fingerprint(path.encode(), http_exchange.body)
        # The scheduler counts a service's response as one output token
        # without a prompt.
        prompt = dataclasses.replace(_NO_PROMPT, fingerprint=digest)
        return _Content(prompt, max_tokens=1)
    payload = _payload(http_exchange.body)
    try:
        prompt = prompts.read_prompt(payload)
    except ValueError as exc:
        raise refusals.bad_request(str(exc)) from exc
    token_limit = payload.get(
        'max_completion_tokens', payload.get('max_tokens')
    )
    if not isinstance(token_limit, int | None) or isinstance(token_limit, bool):
        raise refusals.bad_request(
            f'max_tokens {token_limit!r} is no whole number'
        )
    streams = payload.get('stream') is True
    return _Content(prompt, _model(payload), max(token_limit or 0, 0), streams)


def _model(payload: dict[str, typing.Any]) -> str | None:
    model = payload.get('model')
    if model is None or isinstance(model, str):
        return model
    raise refusals.bad_request(f'model {model!r} is no string')


def _payload(body: bytes) -> dict[str, typing.Any]:
    try:
        payload = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise refusals.bad_request(f'the body is not JSON: {exc}') from exc
    if not isinstance(payload, dict):
        raise refusals.bad_request('the body is not a JSON object')
    return payload
