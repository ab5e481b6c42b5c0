"""Group commit: many waiters share one run of a slow write and sync.

References
==========
.. [1] D. J. DeWitt et al., "Implementation Techniques for Main Memory
   Database Systems", SIGMOD 1984.
"""

import asyncio
import typing

Step = typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]


class GroupCommit:
    """Coordinator of waiters that share the runs of a step.

    The step must collect all pending changes synchronously, before its first
    ``await``. A cancelled waiter doesn't cancel the step.
    """

    def __init__(self, step: Step) -> None:
        """Initialize without pending changes.

        :param step: coroutine function that makes all pending changes
            durable.
        """
        self._step = step
        self._marked = 0
        self._durable = 0
        self._task: asyncio.Task[None] | None = None

    def mark(self) -> None:
        """Record that there is a new change to make durable."""
        self._marked += 1

    async def wait_durable(self) -> None:
        """Wait until all changes marked before this call are durable.

        :raises errors.StoreFailedError: when the step fails.
        """
        wanted = self._marked
        while self._durable < wanted:
            if self._task is None or self._task.done():
                self._task = asyncio.create_task(self._run_step())
                self._task.add_done_callback(_retrieve_exception)
            await asyncio.shield(self._task)

    async def _run_step(self) -> None:
        target = self._marked
        await self._step()
        self._durable = target


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    # All waiters may have been cancelled; asyncio would report the exception
    # as never retrieved.
    if not task.cancelled():
        task.exception()
