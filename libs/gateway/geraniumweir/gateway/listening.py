"""Serves HTTP at an address until a stack ends."""

import contextlib
import socket

from aiohttp import web
from geraniumweir.common import ids


def make_runner(server: web.Server) -> web.ServerRunner:
    """Make the runner of a server whose requests are drained before."""
    return web.ServerRunner(server, shutdown_timeout=0)


async def listen(
    stack: contextlib.AsyncExitStack,
    runner: web.BaseRunner,
    address: ids.Address,
    sock: socket.socket | None = None,
) -> None:
    """Serve at an address until the stack ends.

    :param sock: listens there already; None makes one.
    :raises OSError: when it can't be listened on.
    """
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    if sock is None:
        await web.TCPSite(runner, address.host, address.port).start()
    else:
        await web.SockSite(runner, sock).start()
