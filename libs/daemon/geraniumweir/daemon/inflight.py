"""The calls that one entry host has taken and not yet ended."""

import asyncio
import contextlib
import dataclasses
import enum
import typing

from geraniumweir.common import ids

_Result = typing.TypeVar('_Result')


class StopReason(enum.Enum):
    """Why a running call was ended from this side."""

    deadline = 'deadline'
    preempted = 'preempted'


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """One call on its way.

    :ivar idempotent: False for a call that nothing may cut off once sent.
    :ivar sent: whether a byte may have reached a backend server.
    :ivar stop_reason: what ended it, meaningful once its time is up.
    """

    request_id: ids.RequestId
    idempotent: bool = True
    sent: bool = False
    stop_reason: StopReason = StopReason.deadline
    timeout: asyncio.Timeout | None = None


class InFlightRequests:
    """All flights of one entry host, and the work that goes on after them."""

    def __init__(self) -> None:
        """Start with none."""
        self._requests: dict[ids.RequestId, InFlightRequest] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Count the calls."""
        return len(self._requests)

    @contextlib.contextmanager
    def track(
        self, request_id: ids.RequestId
    ) -> typing.Iterator[InFlightRequest]:
        """Keep a call listed while the block runs."""
        in_flight_request = InFlightRequest(request_id)
        self._requests[request_id] = in_flight_request
        self._idle.clear()
        try:
            yield in_flight_request
        finally:
            self._requests.pop(request_id, None)
            self._update_idle()

    def background(
        self,
        coroutine: typing.Coroutine[typing.Any, typing.Any, _Result],
    ) -> asyncio.Task[_Result]:
        """Run work that outlives the caller's connection."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._on_task_done)
        return task

    def preempt(self, request_id: ids.RequestId) -> bool:
        """End a running call to make room for a more important one.

        :returns: whether it is ended; a non-idempotent call never is.
        """
        in_flight_request = self._requests.get(request_id)
        if (
            in_flight_request is None
            or in_flight_request.timeout is None
            or not in_flight_request.idempotent
        ):
            return False
        if in_flight_request.timeout.expired():
            return False
        in_flight_request.stop_reason = StopReason.preempted
        in_flight_request.timeout.reschedule(asyncio.get_running_loop().time())
        return True

    async def wait_idle(self) -> None:
        """Wait until no call and no work of one is left."""
        await self._idle.wait()

    def _on_task_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Whoever waited has it too; here it is only marked as seen.
            task.exception()
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._requests and not self._tasks:
            self._idle.set()
