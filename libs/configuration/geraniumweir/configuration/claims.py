"""Claims at the entry host: the logged right to run a call once.

Claims that come while a proposal is on its way wait for the next one, so one
sync of the recorders' disks serves many claims (group commit). A claim that
isn't granted in time ends in an error that says that nothing ran, and the
claim, should it be logged later, is given back. A repeat of a proposal under
the same request id is harmless, so a failed one is tried again.

References
==========
.. [1] D. Gawlick, D. Kinkade, "Varieties of concurrency control in IMS/VS
   Fast Path", IEEE Database Engineering 8(2), 1985: group commit.
"""

import asyncio
import collections
import dataclasses
import typing

from geraniumweir.common import errors as common_errors
from geraniumweir.common import eventlog, ids
from geraniumweir.configuration import (
    claimtable,
    commands,
    errors,
    logevents,
)
from geraniumweir.wire import framing
from geraniumweir.wire.gen.configuration import ttypes

MOST_STEPS = 512
MOST_PENDING = 16384
_TIMEOUT = 2.0
_PAUSE = 0.05
_MS = 1000
_LONGEST_PAUSE = 0.5
_FINGERPRINT_BITS = 64
_UNSIGNED = 1 << _FINGERPRINT_BITS
_SIGN_BIT = _UNSIGNED >> 1
Propose = typing.Callable[[bytes], typing.Awaitable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A non-idempotent call.

    :ivar key: the caller's idempotency key.
    :ivar fingerprint: of the content, to tell a repeat from another call.
    :ivar ttl: after it the outcome counts as unknown; in seconds, longer
        than the call's deadline.
    """

    customer: ids.CustomerName
    key: str
    request_id: ids.RequestId
    fingerprint: ids.Fingerprint
    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """This call may run, once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The key was used before; this call must not run.

    :ivar state: how far the first call is.
    :ivar holder: the first call.
    """

    state: claimtable.State
    holder: ids.RequestId


@dataclasses.dataclass(slots=True, eq=False)
class _Item:
    """One step on its way; ``fut`` is None where nobody waits."""

    step: ttypes.Step
    fut: asyncio.Future[ttypes.StepAnswer] | None = None
    was_proposed: bool = False


class Claimer:
    """Claims of one entry host."""

    def __init__(
        self,
        owner: ids.HostId,
        propose: Propose,
        now_ms: typing.Callable[[], int],
    ) -> None:
        """Start with nothing to propose.

        :param propose: brings a command to the log's leader and gives the
            state machine's answer; fails with a ``GeraniumweirError`` or a
            ``TimeoutError``.
        :param now_ms: wall clock, milliseconds since 1970.
        """
        self._owner = owner
        self._propose = propose
        self._now_ms = now_ms
        self._items: collections.deque[_Item] = collections.deque()
        self._task: asyncio.Task[None] | None = None

    async def claim(
        self,
        call: Call,
        timeout: float = _TIMEOUT,
    ) -> Granted | Held:
        """Claim the right to run a call.

        :param timeout: in seconds.
        :raises errors.ClaimUnavailableError: when no majority logged it.
        :raises errors.ClaimsFullError: when there are too many claims.
        :raises errors.KeyReusedError: when the key is another call's.
        """
        if len(self._items) >= MOST_PENDING:
            raise errors.ClaimUnavailableError('too many claims wait here')
        fut = asyncio.get_running_loop().create_future()
        item = _Item(ttypes.Step(claim=self._claim(call)), fut)
        self._add(item)
        try:
            async with asyncio.timeout(timeout):
                answer = await fut
        except TimeoutError as exc:
            self._give_back(item, call)
            message = f'no majority logged the claim in {timeout:g} s'
            raise errors.ClaimUnavailableError(message) from exc
        except asyncio.CancelledError:
            self._give_back(item, call)
            raise
        return _outcome(answer.claim)

    def finish(self, call: Call, outcome: claimtable.Outcome) -> None:
        """End a claim; logged as soon as a majority can be reached.

        Nobody waits for it. Where it gets lost with this host, the claim's
        outcome becomes unknown after its time.
        """
        ended = ttypes.Finish(
            call.customer,
            call.key,
            call.request_id,
            outcome,
        )
        if len(self._items) < MOST_PENDING:
            self._add(_Item(ttypes.Step(finish=ended)))

    async def drained(self) -> None:
        """Wait until nothing is left to propose."""
        while self._task is not None and not self._task.done():
            await asyncio.wait((self._task,))

    def _claim(self, call: Call) -> ttypes.Claim:
        # Thrift integers have a sign.
        signed = (call.fingerprint + _SIGN_BIT) % _UNSIGNED - _SIGN_BIT
        return ttypes.Claim(
            call.customer,
            call.key,
            call.request_id,
            signed,
            self._owner,
            int(call.ttl * _MS),
        )

    def _give_back(self, item: _Item, call: Call) -> None:
        if item in self._items:
            self._items.remove(item)
        if item.was_proposed:
            self.finish(call, claimtable.Outcome.not_run)

    def _add(self, item: _Item) -> None:
        self._items.append(item)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._propose_all())

    async def _propose_all(self) -> None:
        # One turn of the loop, for claims that come together.
        await asyncio.sleep(0)
        pause = _PAUSE
        while self._items:
            batch = self._next_batch()
            try:
                await self._propose_batch(batch)
            except (common_errors.GeraniumweirError, TimeoutError) as exc:
                self._put_back(batch, exc)
                await asyncio.sleep(pause)
                pause = min(2 * pause, _LONGEST_PAUSE)
            else:
                pause = _PAUSE

    def _next_batch(self) -> list[_Item]:
        """Take the items of one command, as many as the log accepts."""
        batch: list[_Item] = []
        size = 0
        while self._items and len(batch) < MOST_STEPS:
            size += len(framing.encode(self._items[0].step))
            if batch and size > commands.MAX_DOCUMENT_BYTES:
                break
            batch.append(self._items.popleft())
        return batch

    async def _propose_batch(self, batch: list[_Item]) -> None:
        steps = [item.step for item in batch]
        command = commands.build(steps, self._now_ms())
        for proposed in batch:
            proposed.was_proposed = True
        found = commands.answers(await self._propose(command))
        for item, answer in zip(batch, found, strict=True):
            if item.fut is not None and not item.fut.done():
                item.fut.set_result(answer)

    def _put_back(self, batch: list[_Item], exc: Exception) -> None:
        """Try again what somebody still waits for, and ends, in order."""
        left = [
            item for item in batch if item.fut is None or not item.fut.done()
        ]
        self._items.extendleft(reversed(left))
        eventlog.emit(
            logevents.CLAIMS_DELAYED,
            count=len(left),
            reason=str(exc),
        )


def _outcome(answer: ttypes.ClaimAnswer) -> Granted | Held:
    match claimtable.Result(answer.result):
        case claimtable.Result.granted:
            return Granted()
        case claimtable.Result.key_reused:
            raise errors.KeyReusedError('the key belongs to another call')
        case claimtable.Result.full:
            raise errors.ClaimsFullError('too many claims are remembered')
        case result:
            state = claimtable.State[result.name]
            return Held(state, ids.RequestId(answer.holder))
