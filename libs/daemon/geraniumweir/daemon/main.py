"""Starts, serves and drains an entry host."""

import asyncio
import contextlib
import signal
import sys
import typing

from aiohttp import web
from geraniumweir.backends import calls
from geraniumweir.common import stopping, timers
from geraniumweir.common import logevents as levels
from geraniumweir.daemon import (
    announcements,
    callers,
    draining,
    gauges,
    joinedops,
    listening,
    logevents,
    observing,
    operations,
    operators,
    settings,
    settingvalues,
    standalone,
    testlinks,
)
from geraniumweir.daemon import host as entry_host
from geraniumweir.daemon import joined as joining
from geraniumweir.membership import hosts, servers
from geraniumweir.observe import logs
from geraniumweir.store import errors as store_errors

_EXIT_FAILED = 1
# Requests in flight have had --drain-timeout before this begins.
_SHUTDOWN_SECONDS = 1.0


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run the daemon until SIGTERM or SIGINT.

    :param argv: flags, by default those of the process.
    """
    cfg = settings.parse(argv)
    _check_files(cfg)
    handler = logs.setup(
        levels.Level(cfg.log_level),
        logs.Format(cfg.log_format),
        host=cfg.host_id,
    )
    try:
        asyncio.run(serve(cfg))
    except (
        listening.BusyAddressError,
        joining.BusyPeerAddressError,
        store_errors.StoreError,
    ) as exc:
        sys.stderr.write(f'geraniumweird: {exc.message}\n')
        sys.exit(_EXIT_FAILED)
    finally:
        handler.pop_application()


async def serve(cfg: settings.Settings) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    :param cfg: the host's settings.
    :raises listening.BusyAddressError: when listening on an address fails.
    """
    stop = asyncio.Event()
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(
            stopping.on_signals(stop.set, signal.SIGTERM, signal.SIGINT),
        )
        host = await _make_host(cfg, stack)
        observed = observing.observe(host, stack)
        joined: joining.Joined | None = None
        ops: operations.Operations = standalone.StandaloneOperations(
            host, observed
        )
        if cfg.peer_address is not None:
            joined = await joining.join(host, stack)
            gauges.register_joined(observed.meter, joined)
            ops = joinedops.JoinedOperations(joined, observed)
        for app, address in (
            (_operators_app(ops, cfg, joined), cfg.operator_address),
            (announcements.make_app(host), cfg.backend_address),
            (callers.make_app(host), cfg.caller_address),
        ):
            await listening.listen(stack, app, address, _SHUTDOWN_SECONDS)
        logs.log(
            logevents.STARTED,
            caller=cfg.caller_address,
            backend=cfg.backend_address,
            operator=cfg.operator_address,
        )
        await stop.wait()
        logs.log(logevents.DRAINING, seconds=cfg.drain_timeout)
        left = await _leave(host, joined)
    logs.log(logevents.STOPPED, left=left)


def _operators_app(
    ops: operations.Operations,
    cfg: settings.Settings,
    joined: joining.Joined | None,
) -> web.Application:
    app = operators.make_app(ops)
    if cfg.test_links and joined is not None:
        testlinks.add_routes(app, joined.layer)
    return app


async def _leave(
    host: entry_host.EntryHost,
    joined: joining.Joined | None,
) -> int:
    if joined is None:
        return await draining.drain(host)
    joined.members.set_roles(joined.members.me.roles | hosts.Role.draining)
    left = await draining.drain(host)
    await joining.leave_system(joined)
    return left


def _check_files(cfg: settings.Settings) -> None:
    if cfg.data_folder is not None:
        _exit_on_fault(
            'data-folder', settingvalues.folder_fault(cfg.data_folder)
        )
    if cfg.trace_file is not None:
        _exit_on_fault('trace-file', settingvalues.file_fault(cfg.trace_file))


def _exit_on_fault(setting: str, fault: str | None) -> None:
    if fault is not None:
        sys.stderr.write(f'geraniumweird: argument --{setting}: {fault}\n')
        sys.exit(settings.EXIT_BAD_SETTING)


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
