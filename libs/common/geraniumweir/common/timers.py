"""A timer service that parts subscribe to.

All waiting in the product goes through the running event loop's clock, so a
loop that keeps virtual time drives everything, and nothing reads the wall
clock for decisions. Periodic work subscribes to an observable; its ticks come
on the event loop.

References
==========
.. [1] ReactiveX, "Interval operator",
   https://reactivex.io/documentation/operators/interval.html
"""

import asyncio
import typing

import reactivex
from reactivex import abc, disposable


class TimerService:
    """Time and ticks of one event loop.

    >>> from geraniumweir.common import virtual
    >>> async def count_ticks():
    ...     timers = TimerService()
    ...     ticks = []
    ...     subscription = timers.every(2).subscribe(ticks.append)
    ...     await asyncio.sleep(7)
    ...     subscription.dispose()
    ...     return ticks
    >>> virtual.run(count_ticks())
    [0, 1, 2]
    """

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        """Bind the service to a loop.

        :param loop: the event loop, by default the running one.
        """
        self._loop = loop or asyncio.get_running_loop()

    def now(self) -> float:
        """Give the monotonic time in seconds."""
        return self._loop.time()

    def every(self, period: float) -> reactivex.Observable[int]:
        """Tick with a growing count.

        :param period: seconds between ticks; the first comes after one.
        """
        return reactivex.create(
            lambda observer, _scheduler=None: self._tick(observer, period),
        )

    def after(
        self,
        delay: float,
        action: typing.Callable[[], typing.Any],
    ) -> asyncio.TimerHandle:
        """Call once, later.

        :param delay: seconds from now; a negative one means at once.
        :param action: called without arguments on the loop.
        """
        return self._loop.call_later(max(delay, 0), action)

    def _tick(
        self,
        observer: abc.ObserverBase[int],
        period: float,
    ) -> abc.DisposableBase:
        ticker = _Ticker(self._loop, observer, period)
        ticker.arm()
        return disposable.Disposable(ticker.stop)


class _Ticker:
    """One subscription's chain of timers, without drift."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        observer: abc.ObserverBase[int],
        period: float,
    ) -> None:
        self._loop = loop
        self._observer = observer
        self._period = period
        self._start = loop.time()
        self._count = 0
        self._handle: asyncio.TimerHandle | None = None

    def arm(self) -> None:
        # A loop that was held up skips the ticks it missed.
        late = self._loop.time() - self._start
        self._count = max(self._count, int(late / self._period))
        due = self._start + (self._count + 1) * self._period
        self._handle = self._loop.call_at(due, self._fire)

    def stop(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None

    def _fire(self) -> None:
        tick = self._count
        self._count += 1
        self.arm()
        self._observer.on_next(tick)
