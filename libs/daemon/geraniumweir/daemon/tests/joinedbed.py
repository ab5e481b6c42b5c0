"""Cooperating entry hosts in one process, without HTTP ports."""

import asyncio
import contextlib
import socket

import aiohttp
from aiohttp import test_utils
from geraniumweir.common import timers
from geraniumweir.daemon import callers, gauges, joined, settings
from geraniumweir.daemon import host as entry_host
from geraniumweir.membership import servers
from geraniumweir.observe import metrics, traces

_TIMEOUT_SECONDS = 30


def free_port() -> int:
    """Return a free port on loopback."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return int(sock.getsockname()[1])


class Host:
    """A cooperating entry host in this process, without HTTP ports."""

    def __init__(self, *flags: str, domain: str = 'milano-a') -> None:
        self._flags = flags
        self._domain = domain
        self.meter = metrics.Metrics()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the host; the stack stops it."""
        cfg = settings.parse(
            (
                f'--failure-domain={self._domain}',
                '--caller-address=127.0.0.1:0',
                '--backend-address=127.0.0.1:0',
                '--operator-address=127.0.0.1:0',
                *self._flags,
            ),
            {},
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        self.host = entry_host.EntryHost(
            cfg, timers.TimerService(), session, servers.Registry(), {}
        )
        self.tracing = traces.Tracing(traces.TraceSettings(cfg.host_id, None))
        tracing = self.tracing
        stack.callback(tracing.close)
        gauges.register(self.meter, self.host, tracing)
        self.joined = await joined.join(self.host, stack)
        gauges.register_joined(self.meter, self.joined)
        client = test_utils.TestClient(
            test_utils.TestServer(callers.make_app(self.host)),
        )
        self.client = await stack.enter_async_context(client)

    async def ready(self) -> dict[str, object]:
        """Return the JSON of ``/readyz``."""
        async with self.client.get('/readyz') as resp:
            assert resp.status == 200
            return dict(await resp.json())

    def shown(self) -> set[str]:
        """Return the lines of its metrics."""
        return set(self.meter.exposition().splitlines())

    async def until(self, line: str) -> None:
        """Wait until its metrics contain a line."""
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while line not in self.shown():
                await asyncio.sleep(0.05)

    async def until_sure(self, *, sure: bool) -> None:
        """Wait until its ``sure`` has a value."""
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while self.host.sure is not sure:
                await asyncio.sleep(0.05)
