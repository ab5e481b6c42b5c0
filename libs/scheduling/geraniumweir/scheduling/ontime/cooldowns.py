"""Cooldowns of backend servers, with their log entries."""

import enum

from geraniumweir.common import eventlog, ids
from geraniumweir.scheduling import logevents
from geraniumweir.scheduling.ontime import records

_SECONDS_DIGITS = 2


class Cause(enum.Enum):
    """Fault of a server that starts a cooldown."""

    unreachable = 'unreachable'
    turned_away = 'turned_away'
    broke_off = 'broke_off'
    hung = 'hung'


def record_fault(
    server: records.Server,
    cause: Cause,
    now: float,
    running: records.Running | None = None,
) -> None:
    """Record a sign that a server is unreachable, full or hangs.

    :param now: in seconds.
    :param running: the request that met the fault, None if all of them did.
    """
    if _starts_cooldown(server, cause, now, running):
        eventlog.emit(
            logevents.SERVER_COOLDOWN,
            pool=server.announcement.pool,
            server=server.server_id,
            seconds=round(
                server.condition.cooldown_until - now, _SECONDS_DIGITS
            ),
            cause=cause.value,
            owner=running.slot_request.owner if running else ids.HostId(''),
        )


def _starts_cooldown(
    server: records.Server,
    cause: Cause,
    now: float,
    running: records.Running | None,
) -> bool:
    server_condition = server.condition
    match cause:
        case Cause.unreachable:
            return server_condition.record_unreachable(now)
        case Cause.broke_off:
            return server_condition.record_truncation(now)
        case Cause.turned_away if running is not None:
            others = len(
                server.running.keys() - {running.slot_request.request_id}
            )
            return server_condition.record_rejection(
                others, running.granted_at, now, server.slots
            )
        case _:
            return server_condition.record_hang(now)
