"""Transfer of open grants and waiting requests to a new leader."""

import asyncio
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import channel, led, logevents, translation
from geraniumweir.wire import errors
from geraniumweir.wire.gen.scheduling import ttypes

TAKEOVER_WINDOW_SECONDS = 1.0


async def run(
    link: channel.Channel,
    found: led.LedPool,
    hosts: typing.Iterable[ids.HostId],
    clock: timers.TimerService,
) -> None:
    """Query all hosts of the failure domain, then let the leader grant.

    A host that doesn't answer delays the others by the takeover window.

    :param hosts: the live ones; this host is always queried.
    """
    queried = sorted({link.host_id, *hosts})
    answered = await asyncio.gather(
        *(_fetch_handover(link, found, host, clock) for host in queried),
    )
    found.leader.takeover_complete()
    eventlog.emit(
        logevents.TAKEOVER_COMPLETE,
        pool=found.pool,
        grants=len(found.entries),
        silent=answered.count(False),
    )


def adopt(found: led.LedPool, handover: ttypes.Handover, now: float) -> None:
    """Take over an owner's grants and waiting requests of the pool.

    :param now: time in seconds.
    """
    for grant in handover.open:
        in_use = translation.unpack_open(grant, now)
        found.adopt(in_use, grant.ask.attempt)
    for slot_request in handover.waiting:
        found.join(
            translation.unpack_ask(slot_request, now), slot_request.attempt
        )


async def _fetch_handover(
    link: channel.Channel,
    found: led.LedPool,
    host: ids.HostId,
    clock: timers.TimerService,
) -> bool:
    message = ttypes.HandoverRequest(found.pool)
    try:
        handover = await link.call(host, message, TAKEOVER_WINDOW_SECONDS)
    except errors.PeerError:
        return False
    adopt(found, handover, clock.now())
    return True
