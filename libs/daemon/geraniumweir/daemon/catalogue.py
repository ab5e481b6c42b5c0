"""The catalogue of refusals: error code, HTTP status and kind of each.

docs/ERRORS.md explains every entry; a test checks that both agree.
"""

import dataclasses
import http
import types
import typing

_Status = http.HTTPStatus


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One kind of refusal.

    :ivar status: the HTTP status.
    :ivar kind: machine-readable name of the refusal.
    """

    status: int
    code: str
    kind: str


BAD_REQUEST = Entry(_Status.BAD_REQUEST, 'GW-1101', 'bad_request')
UNKNOWN_CUSTOMER = Entry(_Status.UNAUTHORIZED, 'GW-1102', 'unknown_customer')
NO_RULE = Entry(_Status.NOT_FOUND, 'GW-1103', 'no_rule')
BY_RULE = Entry(_Status.FORBIDDEN, 'GW-1104', 'rule')
DRAINING = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-1105', 'draining')
BODY_TOO_LARGE = Entry(
    _Status.REQUEST_ENTITY_TOO_LARGE, 'GW-1106', 'body_too_large'
)
HEADERS_TOO_LARGE = Entry(
    _Status.REQUEST_ENTITY_TOO_LARGE, 'GW-1107', 'headers_too_large'
)
BODY_LATE = Entry(_Status.REQUEST_TIMEOUT, 'GW-1108', 'body_late')
NO_SUCH_PATH = Entry(_Status.NOT_FOUND, 'GW-1109', 'no_such_path')
KEY_MISSING = Entry(_Status.BAD_REQUEST, 'GW-1110', 'idempotency_key_missing')
INTERNAL = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-1111', 'internal')

SHED = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-2101', 'shed')
TOO_LATE = Entry(_Status.GATEWAY_TIMEOUT, 'GW-2102', 'too_late')
QUEUE_FULL = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-2103', 'queue_full')
RULE_LIMIT = Entry(_Status.TOO_MANY_REQUESTS, 'GW-2104', 'rule_limit')
QUARANTINED = Entry(_Status.UNPROCESSABLE_ENTITY, 'GW-2105', 'quarantined')
NO_SERVER = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-2106', 'no_server')
NO_LEADER = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-2107', 'no_leader')
WITHDRAWN = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-2108', 'withdrawn')
PREEMPTED = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-2109', 'preempted')
DEADLINE = Entry(_Status.GATEWAY_TIMEOUT, 'GW-2110', 'deadline')

NO_CLAIM = Entry(_Status.SERVICE_UNAVAILABLE, 'GW-7101', 'no_claim')
REPEAT_DONE = Entry(_Status.CONFLICT, 'GW-7111', 'repeat_done')
REPEAT_RUNNING = Entry(_Status.CONFLICT, 'GW-7112', 'repeat_running')
REPEAT_UNKNOWN = Entry(_Status.CONFLICT, 'GW-7113', 'repeat_unknown')
KEY_REUSED = Entry(
    _Status.UNPROCESSABLE_ENTITY, 'GW-7103', 'idempotency_key_reused'
)

# Every fault of a backend server is a 502 with the code of its error.
BACKEND: typing.Mapping[str, Entry] = types.MappingProxyType(
    {
        code: Entry(_Status.BAD_GATEWAY, code, kind)
        for code, kind in (
            ('GW-3100', 'backend_failed'),
            ('GW-3101', 'backend_unreachable'),
            ('GW-3102', 'backend_broke'),
            ('GW-3103', 'answer_cut_short'),
            ('GW-3104', 'answer_garbled'),
            ('GW-3105', 'answer_foreign'),
            ('GW-3106', 'backend_error'),
            ('GW-3107', 'answer_too_long'),
        )
    }
)

ENTRIES: tuple[Entry, ...] = (
    BAD_REQUEST,
    UNKNOWN_CUSTOMER,
    NO_RULE,
    BY_RULE,
    DRAINING,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    BODY_LATE,
    NO_SUCH_PATH,
    KEY_MISSING,
    INTERNAL,
    SHED,
    TOO_LATE,
    QUEUE_FULL,
    RULE_LIMIT,
    QUARANTINED,
    NO_SERVER,
    NO_LEADER,
    WITHDRAWN,
    PREEMPTED,
    DEADLINE,
    NO_CLAIM,
    REPEAT_DONE,
    REPEAT_RUNNING,
    REPEAT_UNKNOWN,
    KEY_REUSED,
    *BACKEND.values(),
)
