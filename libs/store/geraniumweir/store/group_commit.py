"""Group commit: many waiters share one run of a slow durable step.

References
==========
.. [1] D. J. DeWitt et al., "Implementation Techniques for Main Memory
   Database Systems", SIGMOD 1984.
"""

import asyncio
import typing

Step = typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]


class GroupCommit:
    """Runs a step until it covers all that was marked.

    The step takes up everything marked before it starts, synchronously,
    before its first ``await``. A waiter that is cancelled doesn't stop it.
    """

    def __init__(self, step: Step) -> None:
        """Start with nothing marked.

        :param step: makes all that is pending durable.
        """
        self._step = step
        self._marked = 0
        self._covered = 0
        self._task: asyncio.Task[None] | None = None

    def mark(self) -> None:
        """Note that there is something new to make durable."""
        self._marked += 1

    async def wait_durable(self) -> None:
        """Wait until all that was marked before this call is durable.

        :raises errors.StoreFailedError: when the step fails.
        """
        goal = self._marked
        while self._covered < goal:
            if self._task is None or self._task.done():
                self._task = asyncio.create_task(self._cover())
                self._task.add_done_callback(_retrieve)
            await asyncio.shield(self._task)

    async def _cover(self) -> None:
        covers = self._marked
        await self._step()
        self._covered = covers


def _retrieve(task: asyncio.Task[None]) -> None:
    # Waiters may all be gone; asyncio would report the error as unseen.
    if not task.cancelled():
        task.exception()
