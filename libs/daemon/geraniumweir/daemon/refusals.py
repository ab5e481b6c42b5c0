"""Turns what went wrong into the refusal a caller gets.

Every refusal's code, status and words are made here, so the catalogue in
docs/ERRORS.md has one source.
"""

import http

from geraniumweir.common import errors, ids
from geraniumweir.scheduling import requests

_RETRY_MS = 1000


def bad_request(message: str) -> errors.Refused:
    """Refuse a call that can't be read."""
    return _refuse(
        http.HTTPStatus.BAD_REQUEST,
        'GW-1101',
        'bad_request',
        message,
    )


def unknown_customer(name: str) -> errors.Refused:
    """Refuse a call of nobody we know."""
    return _refuse(
        http.HTTPStatus.UNAUTHORIZED,
        'GW-1102',
        'unknown_customer',
        f'no customer answers to {name!r}',
    )


def no_rule() -> errors.Refused:
    """Refuse a call that no rule matches."""
    return _refuse(
        http.HTTPStatus.NOT_FOUND,
        'GW-1103',
        'no_rule',
        'no rule matches this request',
    )


def by_rule(status: int, rule: ids.RuleName, reason: str) -> errors.Refused:
    """Refuse a call because a rule says so."""
    return _refuse(status, 'GW-1104', 'rule', f'{rule}: {reason}')


def draining() -> errors.Refused:
    """Refuse a call because this host is leaving."""
    return _refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'GW-1105',
        'draining',
        'this host is leaving; another one answers',
        retry_after_ms=0,
    )


def denied(denial: requests.Denial) -> errors.Refused:
    """Refuse a call that a pool leader denied."""
    return _refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'GW-2101',
        'shed',
        f'no backend server in time: {denial.reason.value}',
        retry_after_ms=denial.retry_after_ms or _RETRY_MS,
    )


def broken(ran: ids.Ran, message: str) -> errors.Refused:
    """Refuse a call whose backend server failed."""
    refusal = errors.Refusal(
        http.HTTPStatus.BAD_GATEWAY,
        'GW-3102',
        'backend_failed',
        message,
        ran,
    )
    return errors.Refused(refusal)


def _refuse(
    status: int,
    code: str,
    kind: str,
    message: str,
    retry_after_ms: int | None = None,
) -> errors.Refused:
    refusal = errors.Refusal(
        status,
        code,
        kind,
        message,
        ids.Ran.no,
        retry_after_ms,
    )
    return errors.Refused(refusal)
