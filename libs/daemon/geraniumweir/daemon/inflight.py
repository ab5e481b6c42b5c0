"""The calls that one entry host has taken and not yet ended."""

import asyncio
import contextlib
import dataclasses
import enum
import typing

from geraniumweir.common import ids

_Result = typing.TypeVar('_Result')


class Stop(enum.Enum):
    """Why a running call was ended from this side."""

    deadline = 'deadline'
    preempted = 'preempted'


@dataclasses.dataclass(slots=True)
class Flight:
    """One call on its way.

    :ivar idempotent: False for a call that nothing may cut off once sent.
    :ivar sent: whether a byte may have reached a backend server.
    :ivar stop: what ended it, meaningful once its time is up.
    """

    request_id: ids.RequestId
    idempotent: bool = True
    sent: bool = False
    stop: Stop = Stop.deadline
    timeout: asyncio.Timeout | None = None


class InFlight:
    """All flights of one entry host, and the work that goes on after them."""

    def __init__(self) -> None:
        """Start with none."""
        self._flights: dict[ids.RequestId, Flight] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Count the calls."""
        return len(self._flights)

    @contextlib.contextmanager
    def flight(self, request_id: ids.RequestId) -> typing.Iterator[Flight]:
        """Keep a call listed while the block runs."""
        flight = Flight(request_id)
        self._flights[request_id] = flight
        self._idle.clear()
        try:
            yield flight
        finally:
            self._flights.pop(request_id, None)
            self._settle()

    def background(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, _Result],
    ) -> asyncio.Task[_Result]:
        """Run work that outlives the caller's connection."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._ended)
        return task

    def preempt(self, request_id: ids.RequestId) -> bool:
        """End a running call to make room for a more important one.

        :returns: whether it is ended; a non-idempotent call never is.
        """
        flight = self._flights.get(request_id)
        if flight is None or flight.timeout is None or not flight.idempotent:
            return False
        if flight.timeout.expired():
            return False
        flight.stop = Stop.preempted
        flight.timeout.reschedule(asyncio.get_running_loop().time())
        return True

    async def wait_idle(self) -> None:
        """Wait until no call and no work of one is left."""
        await self._idle.wait()

    def _ended(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Whoever waited has it too; here it is only marked as seen.
            task.exception()
        self._settle()

    def _settle(self) -> None:
        if not self._flights and not self._tasks:
            self._idle.set()
