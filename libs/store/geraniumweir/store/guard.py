"""Runs disk work off the event loop, and stops for good at a failure."""

import asyncio
import typing
from concurrent import futures

from geraniumweir.store import errors

_Result = typing.TypeVar('_Result')
Action = typing.Callable[[], _Result]
Runner = typing.Callable[[Action], typing.Awaitable[typing.Any]]


class OneThread:
    """Runs actions one after the other in a thread of its own."""

    def __init__(self) -> None:
        """Make the thread when it is first needed."""
        self._pool = futures.ThreadPoolExecutor(
            max_workers=1,
            thread_name_prefix='store',
        )

    async def __call__(self, action: Action[_Result]) -> _Result:
        """Run an action and give its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pool, action)

    def close(self) -> None:
        """Wait for the action that runs, and end the thread."""
        self._pool.shutdown(wait=True)


class VirtualDelay:
    """Runs actions on the loop after a delay, for tests in virtual time."""

    def __init__(self, delay: float) -> None:
        """Set the delay in seconds."""
        self._delay = delay

    async def __call__(self, action: Action[_Result]) -> _Result:
        """Wait, run an action and give its result."""
        await asyncio.sleep(self._delay)
        return action()


class Guard:
    """Lets work through until the first failure, and none after it.

    :ivar failure: what the folder died of, or None while it is sound.
    """

    def __init__(self, run: Runner) -> None:
        """Start sound.

        :param run: how actions are run off the event loop.
        """
        self.failure: errors.StoreFailedError | None = None
        self._run = run

    async def run(self, action: Action[_Result]) -> _Result:
        """Run an action on the disk.

        :raises errors.StoreFailedError: when it fails, or anything before
            it failed.
        """
        self.check()
        try:
            return await self._run(action)
        except OSError as exc:
            self.failure = errors.StoreFailedError(str(exc))
            raise self.failure from exc

    def check(self) -> None:
        """Make sure that nothing failed so far.

        :raises errors.StoreFailedError: when something did.
        """
        if self.failure is not None:
            raise self.failure
