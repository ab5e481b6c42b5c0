"""Events of control hosts and of those that watch them, 75x to 79x."""

import typing

from geraniumweir.common import logevents

_Event = logevents.Event
_Level = logevents.Level

SERVER_CHANGED: typing.Final = _Event(
    750,
    _Level.notice,
    'server {server} of pool {pool} at {address}, started at {born}, is'
    ' {state}; sequence {sequence}, silent: {silent}',
)
RECORDER_OPENED: typing.Final = _Event(
    751, _Level.notice, 'recorder {identity} is running'
)
RECORDER_REOPENED: typing.Final = _Event(
    752, _Level.warning, 'recorder stopped and will be reopened: {reason}'
)
RECORDERS_CHANGE: typing.Final = _Event(
    753, _Level.notice, 'changing the recorders: {change}'
)
RECORDERS_UNCHANGED: typing.Final = _Event(
    754, _Level.warning, 'change of the recorders failed: {change}: {reason}'
)
COORDINATION_STARTED: typing.Final = _Event(
    755,
    _Level.notice,
    'this host became the coordinator; leads the log: {leads}',
)
COORDINATION_ENDED: typing.Final = _Event(
    756, _Level.notice, 'this host is no longer the coordinator'
)
DOCUMENT_PUBLISHED: typing.Final = _Event(
    757,
    _Level.notice,
    'document version {version} published after {ms} ms; accepted: {taken}',
)
DOCUMENT_REFUSED: typing.Final = _Event(
    758, _Level.notice, 'document rejected: {reason}'
)
DOCUMENT_NOT_STORED: typing.Final = _Event(
    759,
    _Level.warning,
    'document version {version} may not have been stored after {ms} ms:'
    ' {reason}',
)
WATCHES: typing.Final = _Event(
    760, _Level.notice, 'watching control host {host}'
)
WATCH_LOST: typing.Final = _Event(
    761, _Level.warning, 'watch of control host {host} failed: {reason}'
)
COORDINATOR: typing.Final = _Event(
    762, _Level.notice, 'coordinator changed to {host} from {before}'
)
DOCUMENT_IN_FORCE: typing.Final = _Event(
    763,
    _Level.notice,
    'document version {version} in force; previously {before}',
)
DOCUMENT_UNREADABLE: typing.Final = _Event(
    764, _Level.error, 'document version {version} is unreadable: {reason}'
)
READ_NOT_CURRENT: typing.Final = _Event(
    765, _Level.warning, 'read of the newest document failed: {reason}'
)
CONTROL_HOST_UNREACHABLE: typing.Final = _Event(
    766, _Level.warning, 'control host {host} is unreachable: {reason}'
)
CONTROL_HOST_REACHABLE: typing.Final = _Event(
    767, _Level.notice, 'control host {host} is reachable again'
)
ELECTION_AWAITED: typing.Final = _Event(
    775,
    _Level.notice,
    'awaiting an election: {answered} control hosts answer, none leads',
)
HOST_STALLED: typing.Final = _Event(
    776,
    _Level.warning,
    'this host stalled for {seconds} s; it coordinates only once confirmed',
)
SERVERS_NOT_SAVED: typing.Final = _Event(
    768, _Level.warning, 'enrolled servers could not be saved or read: {reason}'
)
QUOTA_SHARE: typing.Final = _Event(
    769,
    _Level.notice,
    'granting {part} of each quota; {heard} of {hosts} entry hosts reachable',
)
SERVER_UNREADABLE: typing.Final = _Event(
    770, _Level.warning, 'malformed enrolment from {teller} ignored: {reason}'
)
REPORT_REFUSED: typing.Final = _Event(
    771, _Level.warning, 'report of server {server} rejected: {reason}'
)
RECORDER_BEHIND: typing.Final = _Event(
    772,
    _Level.warning,
    'this control host lags: {applied} of {committed} log entries applied',
)
RECORDER_CAUGHT_UP: typing.Final = _Event(
    773,
    _Level.notice,
    'this control host has applied all committed log entries',
)
ROLLOUT_ORDERED: typing.Final = _Event(
    777, _Level.notice, 'rollout of {pool} to {to} ordered: {result}'
)
ROLLOUT_STEP: typing.Final = _Event(
    778,
    _Level.notice,
    'rollout of {pool} to {to}: {step} at {exposure} of {requests} requests',
)
ROLLOUT_NOT_RECORDED: typing.Final = _Event(
    779,
    _Level.warning,
    'rollout step of {pool} could not be recorded: {reason}',
)
ROLLOUT_ENDED: typing.Final = _Event(
    780, _Level.notice, 'rollout of {pool} to {to} {state}: {reason}'
)
WATCH_NOT_CURRENT: typing.Final = _Event(
    774,
    _Level.notice,
    'control host {host} may not have the newest document; {version} here',
)
CONFIRMED_AGAIN: typing.Final = _Event(
    781,
    _Level.warning,
    'no control host was current for {seconds} s; version {version} in force',
)
NOTICE_DISCARDED: typing.Final = _Event(
    782,
    _Level.warning,
    'malformed notice of server {server} from {teller} ignored',
)
STREAM_DOUBTFUL: typing.Final = _Event(
    784,
    _Level.info,
    'stream of pool {pool} not identified by its content: entry hosts {hosts}'
    ' may have begun others',
)
FACTS_UNKNOWN: typing.Final = _Event(
    783,
    _Level.info,
    'control host {host} did not say what it knows of requests: {reason}',
)
THREAD_DELAYED: typing.Final = _Event(
    785,
    _Level.warning,
    'events waited up to {delay_ms} ms for the thread of this host, busy for'
    ' {busy} of {seconds} s; messages handled: {messages}',
)
