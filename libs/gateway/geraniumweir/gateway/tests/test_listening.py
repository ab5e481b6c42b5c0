"""Servers of a host that stops."""

import asyncio
import contextlib

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.gateway import listening
from geraniumweir.gateway.tests import local_sockets

_STOP_SECONDS = 1


def test_server_with_an_open_request_stops() -> None:
    """The library waits without a limit where its time limit is 0."""

    async def scenario() -> None:
        reached = asyncio.Event()

        async def handle(_req: web.BaseRequest) -> web.Response:
            reached.set()
            await asyncio.sleep(10 * _STOP_SECONDS)
            return web.Response()

        stack = contextlib.AsyncExitStack()
        port = local_sockets.free_port()
        runner = listening.make_runner(web.Server(handle))
        await listening.listen(stack, runner, ids.Address('127.0.0.1', port))
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        with contextlib.closing(writer):
            writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            await reached.wait()
            async with asyncio.timeout(_STOP_SECONDS):
                await stack.aclose()

    asyncio.run(scenario())
