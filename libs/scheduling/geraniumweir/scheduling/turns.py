"""Limits how many new slot requests a host begins to decide at a time.

To decide on a slot request takes several times as long as to read it. If all
that have arrived were decided at once, everything else on the thread would wait
for them, messages of the log and heartbeats too, and answers would come after
the owners have sent their requests again. So a few are begun in each iteration
of the event loop, and those that waited too long are denied, which costs
little.

Load: each new slot request of the pools that a host leads.
"""

import asyncio
import collections
import dataclasses

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import logevents

# Decisions begun in one iteration of the loop; together some milliseconds.
_BATCH = 8
# Of these, so many go to the requests that waited longest, of any tier: a lower
# tier is not starved by a thread that is full for long.
_BATCH_BY_AGE = 2
# Longest wait for a turn. An owner sends a request again after 0.5 s without an
# answer.
_MAX_WAIT_SECONDS = 0.2
# Denials are counted over this time in one logged event.
_LOG_SECONDS = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class _Turn:
    """A slot request that waits for its turn.

    :ivar fut: True when it is its turn, False when it is not to be decided.
    """

    request_id: ids.RequestId
    arrived_at: float
    fut: asyncio.Future[bool]


class Turns:
    """Turns of slot requests, by tier and then by arrival."""

    def __init__(self, clock: timers.TimerService) -> None:
        """Initialize without waiting requests."""
        self._clock = clock
        self._by_tier: dict[ids.Tier, collections.deque[_Turn]] = {
            tier: collections.deque() for tier in ids.Tier
        }
        self._by_id: dict[ids.RequestId, _Turn] = {}
        self._is_scheduled = False
        self._denied = 0
        self._logged_at = clock.now()

    async def wait(self, request_id: ids.RequestId, tier: ids.Tier) -> bool:
        """Wait for the turn of a slot request.

        :returns: False if it is to be denied instead.
        """
        loop = asyncio.get_running_loop()
        turn = _Turn(request_id, self._clock.now(), loop.create_future())
        self._by_tier[tier].append(turn)
        self._by_id[request_id] = turn
        self._schedule()
        try:
            return await turn.fut
        finally:
            if self._by_id.get(request_id) is turn:
                self._by_id.pop(request_id)

    def withdraw(self, request_id: ids.RequestId) -> None:
        """End the wait of a slot request that its owner gave up."""
        turn = self._by_id.get(request_id)
        if turn is not None and not turn.fut.done():
            turn.fut.set_result(False)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Begin a batch; the rest waits for the next iteration of the loop."""
        self._is_scheduled = False
        self._deny_old()
        for number in range(_BATCH):
            turn = self._pop(by_age=number < _BATCH_BY_AGE)
            if turn is None:
                return
            turn.fut.set_result(True)
        self._schedule()

    def _pop(self, *, by_age: bool) -> _Turn | None:
        """Remove and return the next turn, None if nothing waits."""
        waiting = [queue for queue in self._by_tier.values() if _trim(queue)]
        if not waiting:
            return None
        if by_age:
            return min(waiting, key=_oldest).popleft()
        return waiting[0].popleft()

    def _deny_old(self) -> None:
        now = self._clock.now()
        for queue in self._by_tier.values():
            while _trim(queue) and now - _oldest(queue) > _MAX_WAIT_SECONDS:
                queue.popleft().fut.set_result(False)
                self._denied += 1
        if self._denied and now - self._logged_at >= _LOG_SECONDS:
            eventlog.emit(
                logevents.THREAD_FULL,
                count=self._denied,
                waiting=sum(map(len, self._by_tier.values())),
            )
            self._denied = 0
            self._logged_at = now


def _trim(queue: collections.deque[_Turn]) -> bool:
    """Remove turns that have ended from the front.

    :returns: whether a turn is left.
    """
    while queue and queue[0].fut.done():
        queue.popleft()
    return bool(queue)


def _oldest(queue: collections.deque[_Turn]) -> float:
    return queue[0].arrived_at
