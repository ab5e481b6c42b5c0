"""Requests that an entry host has accepted and not yet ended."""

import asyncio
import contextlib
import dataclasses
import enum
import typing

from geraniumweir.common import ids

_Result = typing.TypeVar('_Result')


class StopReason(enum.Enum):
    """Reason for which this host stopped a request."""

    deadline = 'deadline'
    preempted = 'preempted'


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request in flight.

    :ivar idempotent: False for a request that must not be stopped once sent.
    :ivar sent: whether a byte may have reached a backend server.
    :ivar stop_reason: why it was stopped, valid once ``timeout`` expired.
    :ivar timeout: the running timeout of its dispatch, or None.
    """

    request_id: ids.RequestId
    idempotent: bool = True
    sent: bool = False
    stop_reason: StopReason = StopReason.deadline
    timeout: asyncio.Timeout | None = None


class InFlightRequests:
    """The requests in flight of an entry host and their background tasks."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self._requests: dict[ids.RequestId, InFlightRequest] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    @contextlib.contextmanager
    def track(
        self, request_id: ids.RequestId
    ) -> typing.Iterator[InFlightRequest]:
        """Track a request while the block runs."""
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
        """Start a task that may outlive the caller's connection."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._on_task_done)
        return task

    def preempt(self, request_id: ids.RequestId) -> bool:
        """Stop a running request in favour of one of a higher tier.

        :returns: whether it is stopped; a non-idempotent request never is.
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
        """Wait until no request and no background task is left."""
        await self._idle.wait()

    def _on_task_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieve the exception, so that asyncio does not log it as lost;
            # a task that awaits this one gets it too.
            task.exception()
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._requests and not self._tasks:
            self._idle.set()
