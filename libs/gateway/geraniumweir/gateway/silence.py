"""Detection of servers that are silent while a request waits for its response.

A request that was sent to a server that was partitioned, or that stopped, gets
no response and no error for as long as the kernel tries to send it. Slow
responses look the same, so a server counts as silent only if a new connection
to it can't be made either.
"""

import asyncio
import contextlib
import typing

from geraniumweir.common import ids, timers
from geraniumweir.gateway import server_paths

# Four times the time after which a lost packet is first sent again.
_SILENT_SECONDS = 0.8


class SilenceWatch:
    """Watch over one request until the head of its response arrives."""

    def __init__(
        self,
        paths: server_paths.ServerPaths,
        address: ids.Address,
        clock: timers.TimerService,
    ) -> None:
        """Initialize for a request that is sent now.

        :param address: of the server.
        """
        self._paths = paths
        self._address = address
        self._clock = clock
        self._sent_at = clock.now()
        self._check: asyncio.Task[None] | None = None

    @contextlib.asynccontextmanager
    async def watching(self, ends: bool) -> typing.AsyncIterator[None]:
        """Put the path in doubt if the server is silent in the block.

        :param ends: whether the block ends then.
        :raises TimeoutError: if it was ended.
        """
        async with asyncio.timeout(None) as limit:
            timer = self._clock.after(
                _SILENT_SECONDS, lambda: self._start_check(limit, ends)
            )
            try:
                yield
            finally:
                timer.cancel()
                if self._check is not None:
                    self._check.cancel()

    def _start_check(self, limit: asyncio.Timeout, ends: bool) -> None:
        self._check = asyncio.create_task(self._check_silence(limit, ends))

    async def _check_silence(self, limit: asyncio.Timeout, ends: bool) -> None:
        silent = await self._paths.is_silent(self._address, self._sent_at)
        if silent and ends:
            limit.reschedule(self._clock.now())
