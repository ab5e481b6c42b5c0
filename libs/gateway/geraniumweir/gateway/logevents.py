"""Events of the gateway, 150 to 189."""

import typing

from geraniumweir.common import logevents

_Event = logevents.Event
_Level = logevents.Level

SERVING: typing.Final = _Event(
    150, _Level.notice, 'serving callers at {callers}, readiness at {ready}'
)
DRAINING: typing.Final = _Event(
    151, _Level.notice, 'draining, {open} requests open, {seconds} s at most'
)
STOPPED: typing.Final = _Event(
    152, _Level.notice, 'stopped, {open} requests did not end'
)
READY: typing.Final = _Event(153, _Level.notice, 'ready: {ready}, {reason}')
RELOADED: typing.Final = _Event(154, _Level.notice, 'settings read again')
ENDED: typing.Final = _Event(
    160, _Level.info, 'request {request} ended with {status}'
)
SETTINGS_UNREADABLE: typing.Final = _Event(
    155,
    _Level.warning,
    'the settings can not be read again, the last ones hold: {reason}',
)
REFUSED: typing.Final = _Event(
    161, _Level.info, 'request {request} refused with {status}: {reason}'
)
ATTEMPT_FAILED: typing.Final = _Event(
    162, _Level.info, 'request {request} did not end at {server}: {reason}'
)
RESPONSE_ABORTED: typing.Final = _Event(
    163, _Level.info, 'request {request} broken off: {reason}'
)
CALLER_GONE: typing.Final = _Event(
    164, _Level.info, 'caller of {request} has gone'
)
INTERNAL_ERROR: typing.Final = _Event(
    165, _Level.error, 'request {request} met a fault: {reason}'
)
NOTICE_UNREADABLE: typing.Final = _Event(
    166,
    _Level.warning,
    'what server {server} says of itself can not be read: {said}',
)
GRANT_UNUSED: typing.Final = _Event(
    167,
    _Level.info,
    'request {request} was not sent to {server}, which is {reason}',
)
RETRIED: typing.Final = _Event(
    168, _Level.info, 'request {request} is sent once more'
)
NOT_RETRIED: typing.Final = _Event(
    169,
    _Level.info,
    'request {request} is not sent once more, the retry budget is used up',
)
