"""Events of the daemon, 1xx."""

import typing

from geraniumweir.common import logevents

STARTED: typing.Final = logevents.Event(
    101,
    logevents.Level.notice,
    'serving callers at {caller}, backend servers at {backend}, '
    'operators at {operator}',
)
DRAINING: typing.Final = logevents.Event(
    102, logevents.Level.notice, 'draining for at most {seconds} s'
)
STOPPED: typing.Final = logevents.Event(
    103,
    logevents.Level.notice,
    'stopped; {left} requests did not end within the drain timeout',
)
OPERATOR_CHANGE: typing.Final = logevents.Event(
    110,
    logevents.Level.notice,
    'version {version} accepted, change {change_id}',
)
OPERATOR_REFUSED: typing.Final = logevents.Event(
    111, logevents.Level.info, 'operator request refused with {code}: {message}'
)
OPERATOR_FAILED: typing.Final = logevents.Event(
    112, logevents.Level.error, 'internal error while serving {path}: {reason}'
)
CASES_NOT_PUBLISHED: typing.Final = logevents.Event(
    120,
    logevents.Level.warning,
    "suspects' cases could not be sent to other hosts: {reason}",
)
CASES_NOT_READ: typing.Final = logevents.Event(
    121,
    logevents.Level.warning,
    "suspects' cases of another host could not be read: {reason}",
)
IN_FORCE: typing.Final = logevents.Event(
    122, logevents.Level.notice, 'version {version} is in force'
)
ORDER_SENT: typing.Final = logevents.Event(
    123,
    logevents.Level.notice,
    'order {order} for {subject} sent to {server_id}, fencing number {fencing}',
)
