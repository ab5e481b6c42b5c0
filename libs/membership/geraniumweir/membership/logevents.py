"""The numbered events of membership; docs/EVENTS.md lists them."""

from geraniumweir.common import logevents

_Level = logevents.Level

HOST_JOINED = logevents.Event(
    601,
    _Level.info,
    'host {host_id} of {failure_domain} is live, incarnation {incarnation}',
)
HOST_LEFT = logevents.Event(
    602,
    _Level.notice,
    'host {host_id} of {failure_domain} is no longer live: {reason}',
)
HOST_SUSPECTED = logevents.Event(
    603,
    _Level.info,
    'host {host_id} is not heard from; others are asked about it',
)
HOST_CHANGED = logevents.Event(
    604,
    _Level.info,
    'host {host_id} now has the roles {roles}',
)
SELF_STALLED = logevents.Event(
    605,
    _Level.warning,
    'this host did nothing for {seconds} s; it suspects nobody for that',
)
SEED_FAILED = logevents.Event(
    606,
    _Level.notice,
    'the seed at {address} did not answer: {reason}',
)
SERVER_APPEARED = logevents.Event(
    611,
    _Level.info,
    'backend server {server_id} appeared in {pool}',
)
SERVER_CRASHED = logevents.Event(
    612,
    _Level.warning,
    'backend server {server_id} crashed: incarnation {before}, now {after}',
)
SERVER_LEAVING = logevents.Event(
    613,
    _Level.info,
    'backend server {server_id} is leaving',
)
SERVER_EXPIRED = logevents.Event(
    614,
    _Level.notice,
    'backend server {server_id} stopped announcing itself',
)
SERVER_CHANGED = logevents.Event(
    615,
    _Level.info,
    'backend server {server_id} says something else of itself',
)
