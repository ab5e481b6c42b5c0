"""An entry host that leaves: takes nothing new and ends what it has."""

import asyncio
import contextlib

from geraniumweir.daemon import host as entry_host


async def drain(host: entry_host.EntryHost) -> int:
    """Refuse new calls and wait for those in flight.

    ``/readyz`` answers 503 from the first moment on.

    :param host: whose setting ``--drain-timeout`` bounds the wait.
    :returns: the number of calls that were not over in time.
    """
    host.draining = True
    in_flight = host.path.in_flight
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(host.cfg.drain_timeout):
            await in_flight.wait_idle()
    return len(in_flight)
