"""Conversion of membership events into numbered log events."""

import typing

from geraniumweir.common import eventlog
from geraniumweir.common import logevents as catalogue
from geraniumweir.membership import hosts, logevents, seeds, servers

ReportedEvent = hosts.HostEvent | servers.ServerEvent | seeds.SeedFailed
Report = tuple[catalogue.Event, dict[str, typing.Any]]


def describe(change: ReportedEvent) -> Report:
    """Return the log event for a change and its fields.

    >>> silent = seeds.SeedFailed(hosts.ids.Address('127.0.0.1', 1), 'refused')
    >>> describe(silent)[0].number
    606
    """
    match change:
        case seeds.SeedFailed(address, reason):
            return logevents.SEED_FAILED, {
                'address': str(address),
                'reason': reason,
            }
        case (
            hosts.HostJoined()
            | hosts.HostLeft()
            | hosts.HostChanged()
            | hosts.HostSuspected()
            | hosts.SelfStalled()
        ):
            return _describe_host(change)
        case _:
            return _describe_server(change)


def log(change: ReportedEvent) -> None:
    """Log a change; a subscriber of ``Membership.reported_events``."""
    event, fields = describe(change)
    eventlog.emit(event, **fields)


def _describe_host(change: hosts.HostEvent) -> Report:
    host = change.host
    fields: dict[str, typing.Any] = {
        'host_id': host.host_id,
        'failure_domain': host.failure_domain,
        'incarnation': host.incarnation,
    }
    match change:
        case hosts.HostJoined():
            return logevents.HOST_JOINED, fields
        case hosts.HostSuspected():
            return logevents.HOST_SUSPECTED, fields
        case hosts.SelfStalled(_, seconds):
            return logevents.SELF_STALLED, {'seconds': round(seconds, 2)}
        case hosts.HostLeft(_, reason):
            return logevents.HOST_LEFT, {**fields, 'reason': reason.value}
        case hosts.HostChanged():
            roles = host.roles.name or ''
            return logevents.HOST_CHANGED, {**fields, 'roles': roles}


def _describe_server(change: servers.ServerEvent) -> Report:
    match change:
        case servers.ServerCrashed(before, after):
            return logevents.SERVER_CRASHED, {
                'server_id': after.server_id,
                'before': before.incarnation,
                'after': after.incarnation,
            }
        case servers.ServerAppeared(announcement):
            event = logevents.SERVER_APPEARED
        case servers.ServerChanged(announcement):
            event = logevents.SERVER_CHANGED
        case servers.ServerLeaving(announcement):
            event = logevents.SERVER_LEAVING
        case servers.ServerExpired(announcement):
            event = logevents.SERVER_EXPIRED
    return event, {
        'server_id': announcement.server_id,
        'pool': announcement.pool,
    }
