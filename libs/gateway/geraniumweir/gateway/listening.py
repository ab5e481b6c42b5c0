"""Serves HTTP at an address until an exit stack closes."""

import contextlib
import socket

from aiohttp import web
from geraniumweir.common import ids


# Time for open requests after they were drained. The library waits for them
# without a limit where it is 0.
SHUTDOWN_SECONDS = 0.1


def make_runner(server: web.Server) -> web.ServerRunner:
    """Return a runner that stops soon: requests are drained before."""
    return web.ServerRunner(server, shutdown_timeout=SHUTDOWN_SECONDS)


async def listen(
    stack: contextlib.AsyncExitStack,
    runner: web.BaseRunner,
    address: ids.Address,
    sock: socket.socket | None = None,
) -> None:
    """Serve at an address until the stack closes.

    :param sock: a socket that listens there already, None to open one.
    :raises OSError: if the address can't be bound.
    """
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    if sock is None:
        await web.TCPSite(runner, address.host, address.port).start()
    else:
        await web.SockSite(runner, sock).start()
