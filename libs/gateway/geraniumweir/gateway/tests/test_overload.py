"""An entry host that gets far more connections than others refuses some."""

import asyncio
import contextlib
import time

import aiohttp
import pytest
from aiohttp import web
from geraniumweir.common import ids, timers, virtual
from geraniumweir.gateway import listening, overload
from geraniumweir.gateway.tests import local_sockets, testbed

_BUSY_SECONDS = 0.4


def _accepts(share_ratio: float, busy_seconds: float) -> bool:
    """Return whether a host accepts connections while its thread is busy."""

    async def work() -> bool:
        protection = overload.Overload(
            timers.TimerService(), lambda: share_ratio
        )
        await asyncio.sleep(0.2)
        # Holds the thread, as requests do.
        time.sleep(busy_seconds)
        return protection.accepts(1)

    return asyncio.run(work())


def test_busy_host_with_far_more_requests_refuses_connections() -> None:
    """Callers go to other hosts, which idle."""
    assert not _accepts(3, _BUSY_SECONDS)
    assert _accepts(3, 0)


def test_busy_host_with_an_equal_share_accepts_connections() -> None:
    """The other hosts are as busy, so callers would lose their requests."""
    assert _accepts(1, _BUSY_SECONDS)


def test_host_without_descriptors_refuses_connections() -> None:
    """It needs some for backend servers and other hosts."""

    async def work() -> bool:
        protection = overload.Overload(timers.TimerService(), float)
        return protection.accepts(10**9)

    assert not virtual.run(work())


class _Refusing(overload.Overload):
    def accepts(self, connections: int) -> bool:
        return connections == 0


def test_refused_connection_is_closed_before_its_request_is_read() -> None:
    """Kept connections go on."""
    served = []

    async def handle(req: web.BaseRequest) -> web.Response:
        served.append(req.path)
        return web.Response()

    async def scenario() -> None:
        server = overload.CallerSideServer(handle)
        server.overload = _Refusing(timers.TimerService(), float)
        address = ids.Address('127.0.0.1', local_sockets.free_port())
        async with contextlib.AsyncExitStack() as stack:
            runner = listening.make_runner(server)
            await listening.listen(stack, runner, address)
            kept = await stack.enter_async_context(aiohttp.ClientSession())
            new = await stack.enter_async_context(aiohttp.ClientSession())
            for path in ('a', 'b'):
                async with kept.get(f'http://{address}/{path}') as resp:
                    assert resp.status == 200
            with pytest.raises(aiohttp.ClientConnectionError):
                await new.get(f'http://{address}/c')

    asyncio.run(scenario())
    assert served == ['/a', '/b']


class _Full(overload.Overload):
    """Host with descriptors for a few connections."""

    def is_full(self, connections: int) -> bool:
        return connections >= 4


def _answers_beside(begin: bytes, wait: float) -> bool:
    """Return whether a call is answered beside connections that stay open.

    :param begin: what was sent on each of them.
    :param wait: seconds from then to the call.
    """

    async def work() -> bool:
        server = testbed.Server(testbed.answers(b'done'))
        async with contextlib.AsyncExitStack() as stack:
            running = await stack.enter_async_context(testbed.running(server))
            address = ids.Address('127.0.0.1', local_sockets.free_port())
            protection = _Full(timers.TimerService(), float)
            runner = listening.make_runner(
                running.caller_server.server(protection)
            )
            await listening.listen(stack, runner, address)
            for _ in range(4):
                _, writer = await asyncio.open_connection(
                    address.host, address.port
                )
                stack.callback(writer.close)
                writer.write(begin)
            await asyncio.sleep(wait)
            url = f'http://{address}/a/b'
            try:
                async with running.client.get(
                    url, headers={'Id': 'r1'}
                ) as resp:
                    return resp.ok
            except aiohttp.ClientError:
                return False

    return asyncio.run(work())


def test_heads_without_an_end_do_not_keep_callers_out() -> None:
    """They kept all connections that a host can have."""
    begin = b'GET /a/b HTTP/1.1\r\nHost: '
    assert _answers_beside(begin, 3.2)
    assert not _answers_beside(begin, 0.2)


def test_idle_connections_are_kept_within_their_limit() -> None:
    """Their callers may send a request on them at any moment."""
    assert not _answers_beside(b'', 3.2)
