"""Serves an HTTP application at an address."""

import contextlib
import os

from aiohttp import web
from geraniumweir.common import errors, ids


class BusyAddressError(errors.GeraniumweirError):
    """Listening on an address of the settings failed."""

    code = 'GW-1501'


async def listen(
    stack: contextlib.AsyncExitStack,
    app: web.Application,
    address: ids.Address,
    shutdown_seconds: float,
) -> ids.Address:
    """Serve at an address until the stack is closed.

    :param shutdown_seconds: time left then to open requests.
    :returns: the address, with the chosen port where the port was 0.
    :raises BusyAddressError: when listening fails.
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
