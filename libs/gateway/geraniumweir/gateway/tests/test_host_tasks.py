"""Background tasks of an entry host."""

import asyncio
import contextlib
import typing

from geraniumweir.common import ids
from geraniumweir.gateway import host
from geraniumweir.gateway.tests import plain_codec
from geraniumweir.observe import metrics
from geraniumweir.routing import tables
from geraniumweir.scheduling import quotas, retrybudget
from geraniumweir.wire import tcp

_LOOPBACK = ids.Address('127.0.0.1', 0)
_WAIT_SECONDS = 10


class _Seeds:
    """Seeds that can't be read at first.

    :ivar read: set when they have been read after that.
    """

    def __init__(self) -> None:
        self.read = asyncio.Event()
        self._has_failed = False

    def __call__(self) -> dict[ids.HostId, ids.Address]:
        if not self._has_failed:
            self._has_failed = True
            raise RuntimeError('no seeds')
        self.read.set()
        return {}


def _read(_content: bytes) -> typing.NoReturn:
    raise tables.DocumentError('no document is expected')


# An error in the task that follows the control hosts, or the coordinator, left
# an entry host for good without them.
def test_entry_host_goes_on_after_an_error_in_a_background_task() -> None:
    """The seeds are read again after an error."""

    async def work() -> None:
        seeds = _Seeds()
        cfg = host.Settings(
            ids.HostId('entry-1'),
            ids.FailureDomain('x'),
            _LOOPBACK,
            _LOOPBACK,
            seeds,
            retrybudget.Budget(0, 0, 1),
            1,
            1,
            quotas.Tolerance(),
            1,
        )
        stop = asyncio.Event()
        async with contextlib.AsyncExitStack() as stack:
            entry = host.EntryHost(
                cfg,
                tcp.TcpPeers(cfg.host_id, _LOOPBACK),
                plain_codec.PlainCodec(),
                _read,
                metrics.Metrics(),
            )
            running = asyncio.create_task(entry.run(stack, stop))
            async with asyncio.timeout(_WAIT_SECONDS):
                await seeds.read.wait()
            stop.set()
            await running

    asyncio.run(work())
