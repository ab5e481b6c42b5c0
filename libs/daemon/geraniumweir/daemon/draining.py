"""Drains an entry host: no new requests, those in flight may end."""

import asyncio
import contextlib

from geraniumweir.daemon import host as entry_host


async def drain(host: entry_host.EntryHost) -> int:
    """Refuse new requests and wait for those in flight.

    ``/readyz`` answers 503 from the start of the drain.

    :param host: its setting ``--drain-timeout`` bounds the wait.
    :returns: the number of requests that had not ended by then.
    """
    host.draining = True
    in_flight = host.path.in_flight
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(host.cfg.drain_timeout):
            await in_flight.wait_idle()
    return len(in_flight)
