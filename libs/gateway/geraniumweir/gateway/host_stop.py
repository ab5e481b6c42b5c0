"""Stops an entry host: drains its requests, then closes its connections."""

import asyncio
import dataclasses
import typing

from aiohttp import web
from geraniumweir.common import eventlog, timers
from geraniumweir.gateway import (
    draining,
    logevents,
    readiness,
    relay_server,
    serving,
)

# After the host stopped being ready, new connections still arrive for two
# probe intervals of a second each.
_ACCEPT_AFTER_UNREADY_SECONDS = 2.5
# Remaining grace time at which requests that are still open are refused: the
# process must end before it is killed.
_FORCED_CLOSE_SECONDS = 0.8
# Time in which these refusals are written.
_LAST_RESPONSES_SECONDS = 0.2
# Interval of the checks whether all requests have ended.
_POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """The components that take part in a stop.

    :ivar grace_seconds: seconds from the stop signal until the process is
        killed.
    :ivar relay: dispatches for other hosts, None if this host doesn't.
    :ivar leave: announces the end of this host to its coordinator.
    """

    grace_seconds: float
    ready: readiness.Readiness
    callers: serving.CallerServer
    runner: web.ServerRunner
    relay: relay_server.RelayServer | None
    drain: draining.Drain
    leave: typing.Callable[[], typing.Awaitable[None]]

    def is_busy(self) -> bool:
        """Return whether requests of callers or other hosts are open."""
        relayed = self.relay.open if self.relay else 0
        return bool(self.callers.traffic.open or relayed)


async def stop(host: Stopping, clock: timers.TimerService) -> None:
    """Answer all open requests, then close all connections.

    The coordinator counts what this host has in use until the end.
    """
    end = clock.now() + host.grace_seconds - _FORCED_CLOSE_SECONDS
    host.ready.leave()
    host.callers.traffic.closing = True
    host.drain.begin(end)
    if host.relay is not None:
        host.relay.closing = True
    eventlog.emit(
        logevents.DRAINING,
        open=host.callers.traffic.open,
        seconds=host.grace_seconds,
    )
    await asyncio.sleep(_ACCEPT_AFTER_UNREADY_SECONDS)
    for site in list(host.runner.sites):
        await site.stop()
    host.callers.close_idle()
    end += _LAST_RESPONSES_SECONDS
    while host.is_busy() and clock.now() < end:
        await asyncio.sleep(_POLL_SECONDS)
    await host.leave()
    eventlog.emit(logevents.STOPPED, open=host.callers.traffic.open)
