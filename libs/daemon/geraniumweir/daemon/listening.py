"""Serves the HTTP faces of an entry host at their addresses."""

import contextlib
import os

from aiohttp import web
from geraniumweir.common import errors, ids


class BusyAddressError(errors.GeraniumweirError):
    """An address of the settings can't be listened on."""

    code = 'GW-1501'


async def listen(
    stack: contextlib.AsyncExitStack,
    app: web.Application,
    address: ids.Address,
    shutdown_seconds: float,
) -> ids.Address:
    """Serve at an address until the stack ends.

    :param shutdown_seconds: left to requests that are open then.
    :returns: the address, with the port that was chosen where it said 0.
    :raises BusyAddressError: when it can't be listened on.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=shutdown_seconds,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    try:
        await web.TCPSite(runner, address.host, address.port).start()
    except OSError as exc:
        reason = os.strerror(exc.errno or 0)
        message = f'can not listen on {address}: {reason}'
        raise BusyAddressError(message) from exc
    return ids.Address(address.host, runner.addresses[0][1])
