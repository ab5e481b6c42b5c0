"""Leaves servers alone for a while, and logs why."""

import enum

from geraniumweir.common import eventlog, ids
from geraniumweir.scheduling import logevents
from geraniumweir.scheduling.ontime import records

_SECONDS_DIGITS = 2


class Cause(enum.Enum):
    """What a server did that began a rest."""

    unreachable = 'unreachable'
    turned_away = 'turned_away'
    broke_off = 'broke_off'
    hung = 'hung'


def note(
    server: records.Server,
    cause: Cause,
    now: float,
    running: records.Running | None = None,
) -> None:
    """Take a sign that a server is down, full or hangs.

    :param now: in seconds.
    :param running: the request that met it, None for all that it was sent.
    """
    if _begins(server, cause, now, running):
        eventlog.emit(
            logevents.SERVER_COOLDOWN,
            pool=server.announcement.pool,
            server=server.server_id,
            seconds=round(server.condition.until - now, _SECONDS_DIGITS),
            cause=cause.value,
            owner=running.slot_request.owner if running else ids.HostId(''),
        )


def _begins(
    server: records.Server,
    cause: Cause,
    now: float,
    running: records.Running | None,
) -> bool:
    found = server.condition
    match cause:
        case Cause.unreachable:
            return found.unreachable(now)
        case Cause.broke_off:
            return found.broke_off(now)
        case Cause.turned_away if running is not None:
            others = len(
                server.running.keys() - {running.slot_request.request_id}
            )
            return found.turned_away(others, running.granted, now)
        case _:
            return found.hung(now)
