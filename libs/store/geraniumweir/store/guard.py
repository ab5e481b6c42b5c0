"""Execution of disk work off the event loop, until the first failure."""

import asyncio
import typing
from concurrent import futures

from geraniumweir.store import errors

_Result = typing.TypeVar('_Result')
Action = typing.Callable[[], _Result]
Runner = typing.Callable[[Action], typing.Awaitable[typing.Any]]


class OneThread:
    """Runner that executes actions sequentially in one thread."""

    def __init__(self) -> None:
        """Initialize; the thread is started at the first action."""
        self._pool = futures.ThreadPoolExecutor(
            max_workers=1,
            thread_name_prefix='store',
        )

    async def __call__(self, action: Action[_Result]) -> _Result:
        """Run an action and return its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pool, action)

    def close(self) -> None:
        """Wait for pending actions, and end the thread."""
        self._pool.shutdown(wait=True)


class VirtualDelay:
    """Runner on the event loop with a delay, for tests in virtual time."""

    def __init__(self, delay: float) -> None:
        """Initialize with a delay in seconds."""
        self._delay = delay

    async def __call__(self, action: Action[_Result]) -> _Result:
        """Wait, run an action and return its result."""
        await asyncio.sleep(self._delay)
        return action()


class Guard:
    """Gate that runs actions until the first failure, and none after it.

    :ivar failure: the first failure, or None.
    """

    def __init__(self, run: Runner) -> None:
        """Initialize without a failure.

        :param run: runner that executes actions off the event loop.
        """
        self.failure: errors.StoreFailedError | None = None
        self._run = run

    async def run(self, action: Action[_Result]) -> _Result:
        """Run an action on the disk.

        :raises errors.StoreFailedError: when it fails or an earlier
            action failed.
        """
        self.check()
        try:
            return await self._run(action)
        except OSError as exc:
            self.failure = errors.StoreFailedError(str(exc))
            raise self.failure from exc

    def check(self) -> None:
        """Check that no action has failed so far.

        :raises errors.StoreFailedError: when one has failed.
        """
        if self.failure is not None:
            raise self.failure
