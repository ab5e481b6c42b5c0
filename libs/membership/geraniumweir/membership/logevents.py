"""Numbered log events of membership; docs/EVENTS.md lists them."""

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
    'host {host_id} is suspected: no heartbeat; sending inquiries to others',
)
HOST_CHANGED = logevents.Event(
    604,
    _Level.info,
    'host {host_id} now has the roles {roles}',
)
SELF_STALLED = logevents.Event(
    605,
    _Level.warning,
    'this host stalled for {seconds} s; the gap counts against no host',
)
SEED_FAILED = logevents.Event(
    606,
    _Level.notice,
    'joining through the seed at {address} failed: {reason}',
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
    'lease of backend server {server_id} expired: no announcement',
)
SERVER_CHANGED = logevents.Event(
    615,
    _Level.info,
    'backend server {server_id} changed its announcement',
)
