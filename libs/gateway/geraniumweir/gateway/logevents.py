"""Events of the gateway, 150 to 189."""

import typing

from geraniumweir.common import logevents

_Event = logevents.Event
_Level = logevents.Level

SERVING: typing.Final = _Event(
    150, _Level.notice, 'serving callers at {callers}, readiness at {ready}'
)
DRAINING: typing.Final = _Event(
    151, _Level.notice, 'draining for at most {seconds} s, {open} requests open'
)
STOPPED: typing.Final = _Event(
    152, _Level.notice, 'stopped, {open} requests not completed'
)
READY: typing.Final = _Event(
    153, _Level.notice, 'readiness changed to {ready}: {reason}'
)
RELOADED: typing.Final = _Event(154, _Level.notice, 'settings reloaded')
ENDED: typing.Final = _Event(
    160, _Level.info, 'request {request} completed with {status}'
)
SETTINGS_UNREADABLE: typing.Final = _Event(
    155,
    _Level.warning,
    'reloading the settings failed, previous settings kept: {reason}',
)
REFUSED: typing.Final = _Event(
    161, _Level.info, 'request {request} refused with {status}: {reason}'
)
ATTEMPT_FAILED: typing.Final = _Event(
    162,
    _Level.info,
    'sending {sending} of request {request} failed at server {server}:'
    ' {reason}; proof that it did not run: {proof}',
)
RESPONSE_ABORTED: typing.Final = _Event(
    163, _Level.info, 'response to request {request} aborted: {reason}'
)
CALLER_GONE: typing.Final = _Event(
    164, _Level.info, 'caller of request {request} closed its connection'
)
INTERNAL_ERROR: typing.Final = _Event(
    165,
    _Level.error,
    'internal error while serving request {request}: {reason}',
)
NOTICE_UNREADABLE: typing.Final = _Event(
    166,
    _Level.warning,
    'unreadable notice of server {server} ignored: {said}',
)
GRANT_UNUSED: typing.Final = _Event(
    167,
    _Level.info,
    'request {request} not sent to server {server}, which is {reason}',
)
PREEMPTED: typing.Final = _Event(
    174,
    _Level.info,
    'request {request} moves from server {server} to another one',
)
RETRIED: typing.Final = _Event(168, _Level.info, 'request {request} is retried')
SERVERS_UNREACHABLE: typing.Final = _Event(
    170,
    _Level.warning,
    'this host reaches no backend server, {servers} failed; requests are sent'
    ' through relays',
)
SERVERS_REACHABLE: typing.Final = _Event(
    171,
    _Level.notice,
    'this host reaches backend servers again; {doubtful} paths are in doubt',
)
RELAY_REFUSED: typing.Final = _Event(
    172,
    _Level.info,
    'request of another entry host is {outcome}: {reason}',
)
RELAY_BROKE_OFF: typing.Final = _Event(
    173,
    _Level.info,
    'response to another entry host aborted: {reason}',
)
NOT_RETRIED: typing.Final = _Event(
    169,
    _Level.info,
    'request {request} is not retried: {reason}',
)
CONNECTIONS_REFUSED: typing.Final = _Event(
    176,
    _Level.warning,
    'this host refuses new connections: {connections} open, its events wait for'
    ' {delay_ms} ms',
)
READING_PAUSED: typing.Final = _Event(
    177,
    _Level.info,
    'response to request {request} is not read ahead: {held} bytes wait for its'
    ' caller, bound of the {bound}',
)
CALLER_STALLED: typing.Final = _Event(
    178,
    _Level.info,
    'caller of request {request} read nothing for {seconds} s, its connection'
    ' is closed: {held} bytes discarded',
)
CONNECTIONS_ACCEPTED: typing.Final = _Event(
    175,
    _Level.notice,
    'this host accepts connections again: {connections} open, its events wait'
    ' for {delay_ms} ms',
)
DOCUMENT_UNCONFIRMED: typing.Final = _Event(
    179,
    _Level.warning,
    'requests are handled by document version {version}, which no control host'
    ' confirmed for {seconds} s',
)
