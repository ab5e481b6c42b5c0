"""Builds the refusals that callers get.

Code, status and kind come from :mod:`geraniumweir.daemon.catalogue`.
"""

import dataclasses
import types

from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import errors, ids
from geraniumweir.daemon import catalogue, claiming, inflight
from geraniumweir.scheduling import requests

_RETRY_MS = 1000
_RETRY_NOW_MS = 0


_DENIALS = types.MappingProxyType(
    {
        requests.DenialReason.shed: (
            catalogue.SHED,
            'no capacity for this tier',
        ),
        requests.DenialReason.leader_busy: (
            catalogue.SHED,
            "the pool's leader has no time to decide on this",
        ),
        requests.DenialReason.host_stopping: (
            catalogue.SHED,
            'this host stops before it could be served',
        ),
        requests.DenialReason.too_late: (
            catalogue.TOO_LATE,
            'no backend server can serve this before its deadline',
        ),
        requests.DenialReason.queue_full: (
            catalogue.QUEUE_FULL,
            'the queue is full',
        ),
        requests.DenialReason.rule_limit: (
            catalogue.RULE_LIMIT,
            'a limit of the rule or the customer is reached',
        ),
        requests.DenialReason.quarantined: (
            catalogue.QUARANTINED,
            'the backend servers that ran this content crashed',
        ),
        requests.DenialReason.no_server: (
            catalogue.NO_SERVER,
            'the pool has no backend server',
        ),
        requests.DenialReason.not_leader: (
            catalogue.NO_LEADER,
            'the pool has no leader just now',
        ),
        requests.DenialReason.no_answer: (
            catalogue.NO_LEADER,
            "the pool's leader did not answer in time",
        ),
        requests.DenialReason.withdrawn: (
            catalogue.WITHDRAWN,
            'the request was withdrawn before it was served',
        ),
    }
)
_REPEATS = types.MappingProxyType(
    {
        claiming.Claim.done: (
            catalogue.REPEAT_DONE,
            ids.Ran.yes,
            'the first call of this Idempotency-Key ran and ended',
        ),
        claiming.Claim.running: (
            catalogue.REPEAT_RUNNING,
            ids.Ran.unknown,
            'the first call of this Idempotency-Key is still on its way',
        ),
        claiming.Claim.unknown: (
            catalogue.REPEAT_UNKNOWN,
            ids.Ran.unknown,
            'nobody knows how the first call of this Idempotency-Key ended',
        ),
        claiming.Claim.mismatch: (
            catalogue.KEY_REUSED,
            ids.Ran.no,
            'this Idempotency-Key belongs to a call with another content',
        ),
    }
)


def refuse(
    entry: catalogue.Entry,
    message: str,
    ran: ids.Ran = ids.Ran.no,
    retry_after_ms: int | None = None,
) -> errors.Refused:
    """Build a refusal of the catalogue.

    :param message: human-readable reason.
    :param retry_after_ms: time after which a retry may succeed, None where a
        retry can't help.

    >>> refuse(catalogue.DRAINING, 'leaving').refusal.code
    'GW-1105'
    """
    return errors.Refused(
        errors.Refusal(
            entry.status,
            entry.code,
            entry.kind,
            message,
            ran,
            retry_after_ms,
        ),
    )


def bad_request(message: str) -> errors.Refused:
    """Refuse a malformed request."""
    return refuse(catalogue.BAD_REQUEST, message)


def unknown_key() -> errors.Refused:
    """Refuse a request with an unknown key."""
    return refuse(catalogue.UNKNOWN_CUSTOMER, 'no customer has this key')


def unknown_customer(name: str) -> errors.Refused:
    """Refuse a request of an unknown customer.

    The message doesn't disclose whether a customer of this name has a key.

    :param name: name in the request, empty where it gives none.
    """
    message = f'there is no customer {name!r} without a key'
    if not name:
        message = 'the call names no customer'
    return refuse(
        catalogue.UNKNOWN_CUSTOMER,
        f'{message}; send Authorization: Bearer KEY, or X-Customer: NAME',
    )


def by_rule(status: int, rule: ids.RuleName, reason: str) -> errors.Refused:
    """Refuse a request by a rule, with the rule's status and reason."""
    entry = dataclasses.replace(catalogue.BY_RULE, status=status)
    return refuse(entry, f'{rule}: {reason}')


def draining() -> errors.Refused:
    """Refuse a request because this host is draining."""
    return refuse(
        catalogue.DRAINING,
        'this host is leaving; another one answers',
        retry_after_ms=_RETRY_NOW_MS,
    )


def denied(denial: requests.Denial) -> errors.Refused:
    """Refuse a request whose slot request was denied."""
    entry, message = _DENIALS[denial.reason]
    retry = denial.retry_after_ms or _RETRY_MS
    return refuse(entry, message, retry_after_ms=retry)


def repeated(claim: claiming.Claim) -> errors.Refused:
    """Refuse a repeat, whose claim was not granted."""
    entry, ran, message = _REPEATS[claim]
    retry = _RETRY_MS if claim is claiming.Claim.running else None
    return refuse(entry, message, ran, retry)


def no_claim(message: str) -> errors.Refused:
    """Refuse a request that can't be claimed now."""
    return refuse(catalogue.NO_CLAIM, message, retry_after_ms=_RETRY_MS)


def broken(exc: backend_errors.AnswerError) -> errors.Refused:
    """Refuse a request that got no complete response from its server."""
    entry = catalogue.BACKEND[exc.code]
    retry = _RETRY_MS if exc.ran is ids.Ran.no else None
    return refuse(entry, exc.message, exc.ran, retry)


def stopped(stop: inflight.StopReason, ran: ids.Ran) -> errors.Refused:
    """Refuse a request that this host stopped."""
    match stop:
        case inflight.StopReason.preempted:
            message = 'cancelled to make room for a higher tier'
            return refuse(catalogue.PREEMPTED, message, ran, _RETRY_MS)
        case inflight.StopReason.deadline if ran is ids.Ran.no:
            message = 'the deadline passed before a backend server was free'
            return refuse(catalogue.TOO_LATE, message, ran, _RETRY_MS)
        case inflight.StopReason.deadline:
            return refuse(catalogue.DEADLINE, 'the deadline has passed', ran)
