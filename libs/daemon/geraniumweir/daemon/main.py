"""Starts, serves and drains an entry host."""

import asyncio
import contextlib
import signal
import sys
import typing

from aiohttp import web
from geraniumweir.backends import calls
from geraniumweir.common import ids, timers
from geraniumweir.daemon import (
    announcements,
    callers,
    draining,
    operators,
    settings,
)
from geraniumweir.daemon import host as entry_host
from geraniumweir.membership import servers

_EXIT_FAILED = 1
# Calls in flight have had --drain-timeout before this begins.
_SHUTDOWN_SECONDS = 1.0


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run the daemon until it is told to end.

    :param argv: flags, by default those of the process.
    """
    cfg = settings.parse(argv)
    try:
        asyncio.run(serve(cfg))
    except OSError as exc:
        sys.stderr.write(f'geraniumweird: {exc}\n')
        sys.exit(_EXIT_FAILED)


async def serve(cfg: settings.Settings) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    :param cfg: the host's settings.
    :raises OSError: when an address can't be listened on.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with contextlib.AsyncExitStack() as stack:
        host = await _make_host(cfg, stack)
        await _listen(stack, operators.make_app(host), cfg.operator_address)
        await _listen(stack, announcements.make_app(host), cfg.backend_address)
        await _listen(stack, callers.make_app(host), cfg.caller_address)
        await stop.wait()
        await draining.drain(host)


async def _make_host(
    cfg: settings.Settings,
    stack: contextlib.AsyncExitStack,
) -> entry_host.EntryHost:
    session = await stack.enter_async_context(calls.make_session())
    return entry_host.EntryHost(
        cfg=cfg,
        timers=timers.TimerService(),
        session=session,
        registry=servers.Registry(),
        leaders={},
    )


async def _listen(
    stack: contextlib.AsyncExitStack,
    app: web.Application,
    address: ids.Address,
) -> None:
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_SECONDS,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, address.host, address.port).start()
