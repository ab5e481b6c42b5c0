"""From a caller's HTTP request to an ask: customer, facts, rule, deadline."""

import dataclasses
import hashlib
import json
import typing
import uuid

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.configuration import document, matching
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import refusals
from geraniumweir.scheduling import requests

_BEARER = 'Bearer '
_BYTES_PER_TOKEN = 4
_MS = 1000
_DEFAULT_DEADLINE_MS = 60000


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A call that a rule routes to a pool."""

    ask: requests.Ask
    route: document.Route
    version: ids.Version


def admit(
    host: entry_host.EntryHost,
    req: web.Request,
    body: bytes,
) -> Admitted:
    """Decide a call by the rules in force.

    :param body: the caller's whole body.
    :raises errors.Refused: when the call can't be served.
    """
    in_force = host.in_force
    customer = _customer(in_force.document, req)
    facts = _facts(host, req, body, customer.name)
    rule = matching.first_match(in_force.document.rules, facts)
    if rule is None:
        raise refusals.no_rule()
    match rule.then:
        case document.Refuse(reason=reason, status=status):
            raise refusals.by_rule(status, rule.name, reason)
        case document.Route() as route:
            ask = _ask(host, facts, rule, route, customer, _wait(req, route))
            return Admitted(ask, route, in_force.version)


def _ask(
    host: entry_host.EntryHost,
    facts: matching.Facts,
    rule: document.Rule,
    route: document.Route,
    customer: document.Customer,
    wait: float,
) -> requests.Ask:
    return requests.Ask(
        request_id=ids.RequestId(uuid.uuid4().hex),
        owner=host.cfg.host_id,
        pool=route.pool,
        customer=customer.name,
        rule=rule.name,
        tier=route.tier,
        deadline=host.timers.now() + wait,
        model=facts.model,
        prompt_tokens=facts.prompt_tokens,
        idempotent=facts.idempotent and route.idempotent,
        share=customer.share,
    )


def _customer(doc: document.Document, req: web.Request) -> document.Customer:
    bearer = req.headers.get('Authorization', '')
    if bearer.startswith(_BEARER):
        key = bearer.removeprefix(_BEARER).strip()
        digest = hashlib.sha256(key.encode()).hexdigest()
        for customer in doc.customers:
            if customer.key_sha256 == digest:
                return customer
        raise refusals.unknown_customer('this key')
    name = req.headers.get('X-Customer', '')
    found = doc.customer(ids.CustomerName(name))
    if found is None or found.key_sha256 is not None:
        raise refusals.unknown_customer(name)
    return found


def _facts(
    host: entry_host.EntryHost,
    req: web.Request,
    body: bytes,
    customer: ids.CustomerName,
) -> matching.Facts:
    payload = _payload(req, body)
    return matching.Facts(
        customer=customer,
        path=req.path,
        failure_domain=host.cfg.failure_domain,
        model=payload.get('model'),
        headers={name.lower(): text for name, text in req.headers.items()},
        prompt_tokens=len(body) // _BYTES_PER_TOKEN,
        idempotent=req.headers.get('X-Idempotent', 'true') != 'false',
    )


def _payload(req: web.Request, body: bytes) -> dict[str, typing.Any]:
    if not req.path.startswith('/v1/'):
        return {}
    try:
        payload = json.loads(body)
    except ValueError as exc:
        raise refusals.bad_request(f'the body is not JSON: {exc}') from exc
    if not isinstance(payload, dict):
        raise refusals.bad_request('the body is not a JSON object')
    return payload


def _wait(req: web.Request, route: document.Route) -> float:
    text = req.headers.get('X-Deadline-Ms')
    if text is None:
        return (route.deadline_ms or _DEFAULT_DEADLINE_MS) / _MS
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise refusals.bad_request(
            f'X-Deadline-Ms {text!r} is not a whole number of ms from 1 up',
        )
    return int(text) / _MS
