"""An event loop that keeps virtual time, for tests and benches.

Time stands still while anything is ready to run and jumps to the next timer
when nothing is. A scenario of hours runs in moments and gives the same
figures on every run. Real sockets must not be waited for under this loop.
"""

import asyncio
import selectors
import typing

_Done = typing.TypeVar('_Done')


class StalledError(RuntimeError):
    """Every task waits and no timer is set, so nothing can ever happen."""


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float(0)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise StalledError('every task waits and no timer is set')
        self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose clock starts at 0 and jumps from timer to timer."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Give the virtual time in seconds."""
        return self._virtual.now

    def freeze(self, seconds: float) -> None:
        """Let time pass while nothing runs, as on a machine that froze."""
        self._virtual.now += seconds


def run(main: typing.Coroutine[typing.Any, typing.Any, _Done]) -> _Done:
    """Run a coroutine to its end in virtual time.

    :param main: what to run; as with :func:`asyncio.run`, tasks left over are
        cancelled.
    :raises StalledError: when everything waits for nothing.

    >>> async def wait_an_hour():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run(wait_an_hour())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
