"""Events of control hosts and of those that watch them, 75x to 79x."""

import typing

from geraniumweir.common import logevents

_Event = logevents.Event
_Level = logevents.Level

SERVER_CHANGED: typing.Final = _Event(
    750,
    _Level.notice,
    'server {server} of {pool} at {address}, started {born}, is {state},'
    ' sequence {sequence}, silent {silent}',
)
RECORDER_OPENED: typing.Final = _Event(
    751, _Level.notice, 'recorder {identity} runs'
)
RECORDER_REOPENED: typing.Final = _Event(
    752, _Level.warning, 'the recorder stopped and is opened again: {reason}'
)
RECORDERS_CHANGE: typing.Final = _Event(
    753, _Level.notice, 'recorders change: {change}'
)
RECORDERS_UNCHANGED: typing.Final = _Event(
    754, _Level.warning, 'recorders could not change: {change}: {reason}'
)
COORDINATION_STARTED: typing.Final = _Event(
    755, _Level.notice, 'this host coordinates; leads the log: {leads}'
)
COORDINATION_ENDED: typing.Final = _Event(
    756, _Level.notice, 'this host coordinates no more'
)
DOCUMENT_PUBLISHED: typing.Final = _Event(
    757, _Level.notice, 'version {version} published, taken: {taken}'
)
DOCUMENT_REFUSED: typing.Final = _Event(
    758, _Level.notice, 'document refused: {reason}'
)
DOCUMENT_NOT_STORED: typing.Final = _Event(
    759, _Level.warning, 'version {version} not surely stored: {reason}'
)
WATCHES: typing.Final = _Event(
    760, _Level.notice, 'watches control host {host}'
)
WATCH_LOST: typing.Final = _Event(
    761, _Level.warning, 'lost control host {host}: {reason}'
)
COORDINATOR: typing.Final = _Event(
    762, _Level.notice, 'coordinator is {host}, was {before}'
)
DOCUMENT_IN_FORCE: typing.Final = _Event(
    763, _Level.notice, 'version {version} in force, was {before}'
)
DOCUMENT_UNREADABLE: typing.Final = _Event(
    764, _Level.error, 'version {version} can not be read: {reason}'
)
READ_NOT_CURRENT: typing.Final = _Event(
    765, _Level.warning, 'the newest document is not sure: {reason}'
)
CONTROL_HOST_UNREACHABLE: typing.Final = _Event(
    766, _Level.warning, 'control host {host} is not heard: {reason}'
)
CONTROL_HOST_REACHABLE: typing.Final = _Event(
    767, _Level.notice, 'control host {host} is heard'
)
ELECTION_AWAITED: typing.Final = _Event(
    775,
    _Level.notice,
    'an election is under way: {answered} control hosts answer, none leads',
)
HOST_STALLED: typing.Final = _Event(
    776,
    _Level.warning,
    'this host did nothing for {seconds} s; it coordinates once it is sure',
)
SERVERS_NOT_SAVED: typing.Final = _Event(
    768, _Level.warning, 'the servers could not be kept or read: {reason}'
)
QUOTA_SHARE: typing.Final = _Event(
    769,
    _Level.notice,
    'grants {part} of each quota, hears {heard} of {hosts} entry hosts',
)
SERVER_UNREADABLE: typing.Final = _Event(
    770, _Level.warning, 'a server told by {teller} is left out: {reason}'
)
REPORT_REFUSED: typing.Final = _Event(
    771, _Level.warning, 'report of server {server} refused: {reason}'
)
RECORDER_BEHIND: typing.Final = _Event(
    772,
    _Level.warning,
    'this control host is behind: {applied} of {committed} applied',
)
RECORDER_CAUGHT_UP: typing.Final = _Event(
    773, _Level.notice, 'this control host has caught up'
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
    779, _Level.warning, 'rollout of {pool} could not be noted: {reason}'
)
ROLLOUT_ENDED: typing.Final = _Event(
    780, _Level.notice, 'rollout of {pool} to {to} {state}: {reason}'
)
WATCH_NOT_CURRENT: typing.Final = _Event(
    774,
    _Level.notice,
    'control host {host} is not sure of the newest document; {version} here',
)
CONFIRMED_AGAIN: typing.Final = _Event(
    781,
    _Level.warning,
    'no control host was sure for {seconds} s; version {version} in force',
)
NOTICE_DISCARDED: typing.Final = _Event(
    782,
    _Level.warning,
    'what server {server} said, told by {teller}, is left out',
)
