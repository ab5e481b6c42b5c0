"""What a pool leader's host remembers of the requests of a pool it leads.

The pool leader decides; this keeps it from being asked twice. An ask is named
by request id and attempt: a repeat joins the first or gets the same grant
again, and a higher attempt means that the owner has given up the lower one.
Owners say once a second what they have here, so whatever message was lost,
both sides agree a moment later.
"""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import recent_usage, requests, views

Answer = requests.Grant | requests.Denial


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """What an ask was charged.

    :ivar admitted_at: when it was let through, in seconds.
    :ivar granted_at: when it got its grant, None where it has none.
    """

    admitted_at: float
    granted_at: float | None = None


class Gate(typing.Protocol):
    """What an ask must pass before the leader sees it."""

    def admit(
        self, slot_request: requests.SlotRequest
    ) -> requests.Denial | None:
        """Let an ask through, or deny it."""

    def granted(self, slot_request: requests.SlotRequest) -> None:
        """Take that an ask that was let through got a grant."""

    def undo(
        self,
        slot_request: requests.SlotRequest,
        charge: Charge,
        outcome: requests.Outcome,
    ) -> None:
        """Take back that an ask was let through: it wasn't served.

        :param outcome: how it ended.
        """


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One ask.

    :ivar attempt: the owner's number of it.
    :ivar work: the leader's decision under way, or None for a grant that
        was handed over.
    :ivar held: its owner's call is still open and takes the answer.
    :ivar notifying: the answer is on its way to the owner.
    :ivar charge: what the gate charged here, None for nothing.
    """

    slot_request: requests.SlotRequest
    attempt: int
    work: asyncio.Task[None] | None = None
    answer: Answer | None = None
    held: bool = False
    notifying: bool = False
    charge: Charge | None = None


class LedPool:
    """A pool that this host leads.

    :ivar pool: its name.
    :ivar leader: decides about the pool.
    :ivar entries: asks that wait or are granted.
    """

    def __init__(
        self,
        pool: ids.PoolName,
        pool_leader: views.PoolLeader,
        now: typing.Callable[[], float],
        on_answer: typing.Callable[['LedPool', Entry], None],
        gate: Gate | None = None,
    ) -> None:
        """Start without asks.

        :param now: gives the time in seconds.
        :param on_answer: told of each decision.
        :param gate: what asks must pass first.
        """
        self.pool = pool
        self.leader = pool_leader
        self.entries: dict[ids.RequestId, Entry] = {}
        self._now = now
        self._on_answer = on_answer
        self._gate = gate
        self._heard: dict[ids.HostId, float] = {}

    def join(
        self, slot_request: requests.SlotRequest, attempt: int
    ) -> Entry | None:
        """Take an ask, or find it here already.

        :returns: None when the owner has asked anew since.
        """
        self._heard[slot_request.owner] = self._now()
        known = self.entries.get(slot_request.request_id)
        if known is not None and known.attempt >= attempt:
            return known if known.attempt == attempt else None
        if known is not None:
            self._drop(known, requests.Outcome.given_up)
        entry = Entry(slot_request, attempt)
        self.entries[slot_request.request_id] = entry
        entry.work = asyncio.create_task(self._decide(entry))
        return entry

    def withdraw(self, request_id: ids.RequestId, attempt: int) -> None:
        """Drop an ask whose owner gave it up, granted or not."""
        entry = self.entries.get(request_id)
        if entry is not None and entry.attempt <= attempt:
            self._drop(entry, requests.Outcome.given_up)

    def release(self, release: requests.Release, attempt: int) -> None:
        """Take back a grant."""
        entry = self.entries.get(release.request_id)
        if entry is not None and entry.attempt <= attempt:
            self._drop(entry, release.outcome, release)

    def adopt(self, grant: requests.OpenGrant, attempt: int) -> None:
        """Take over a grant in use that another leader gave."""
        request_id = grant.slot_request.request_id
        self._heard[grant.slot_request.owner] = self._now()
        known = self.entries.get(request_id)
        if known is not None and known.attempt > attempt:
            return
        if known is not None and known.answer == grant.grant:
            return
        if known is not None:
            self._drop(known, requests.Outcome.given_up)
        entry = Entry(grant.slot_request, attempt, answer=grant.grant)
        self.entries[request_id] = entry
        self.leader.adopt([grant])

    def compare(
        self,
        owner: ids.HostId,
        attempt: int,
        waiting: frozenset[ids.RequestId],
        in_use: frozenset[ids.RequestId],
    ) -> tuple[list[ids.RequestId], list[ids.RequestId]]:
        """Agree with an owner on what it has here.

        What the owner no longer has is dropped; what it waits for and was
        granted already is told again.

        :param attempt: the owner's last one when it said so; asks of later
            ones are left alone.
        :returns: ids of waiting asks and of grants that aren't known here.
        """
        self._heard[owner] = self._now()
        for entry in self._of(owner):
            request_id = entry.slot_request.request_id
            if entry.attempt > attempt or request_id in in_use:
                continue
            if request_id not in waiting:
                self._drop(entry, requests.Outcome.cancelled)
            elif entry.answer is not None:
                self._on_answer(self, entry)
        lost = [found for found in waiting if found not in self.entries]
        unknown = [found for found in in_use if not self._is_granted(found)]
        return lost, unknown

    def silent_owners(self, since: float) -> list[ids.HostId]:
        """List owners that said nothing for some time.

        :param since: time in seconds of the last word.
        """
        return [owner for owner, at in self._heard.items() if at < since]

    def remove_owner(self, owner: ids.HostId) -> int:
        """Drop all that an owner has here; tell how much it was."""
        self._heard.pop(owner, None)
        dropped = self._of(owner)
        for entry in dropped:
            self._drop(entry, requests.Outcome.cancelled)
        return len(dropped)

    def close(self) -> list[Entry]:
        """Stop deciding; give the asks that got no grant."""
        waiting = [
            entry
            for entry in self.entries.values()
            if not isinstance(entry.answer, requests.Grant)
        ]
        self.entries.clear()
        for entry in waiting:
            self._undo(entry, requests.Outcome.given_up)
            if entry.work is not None:
                entry.work.cancel()
        return waiting

    def discard_denied(self, entry: Entry) -> None:
        """Forget an ask whose denial the owner has got."""
        if isinstance(entry.answer, requests.Denial) and self.has(entry):
            self.entries.pop(entry.slot_request.request_id)

    def has(self, entry: Entry) -> bool:
        """Tell whether an ask is still this one."""
        return self.entries.get(entry.slot_request.request_id) is entry

    async def _decide(self, entry: Entry) -> None:
        answer = await self._admitted(entry)
        if self.has(entry):
            entry.answer = answer
            if isinstance(answer, requests.Denial):
                self._undo(entry, requests.Outcome.given_up)
            self._on_answer(self, entry)

    async def _admitted(self, entry: Entry) -> Answer:
        if self._gate is not None:
            denial = self._gate.admit(entry.slot_request)
            if denial is not None:
                return denial
            entry.charge = Charge(self._now())
        answer = await self.leader.request_slot(entry.slot_request)
        if isinstance(answer, requests.Grant):
            self._granted(entry)
        return answer

    def _granted(self, entry: Entry) -> None:
        if entry.charge is not None and self._gate is not None:
            self._gate.granted(entry.slot_request)
            entry.charge = dataclasses.replace(
                entry.charge,
                granted_at=self._now(),
            )

    def _undo(self, entry: Entry, outcome: requests.Outcome) -> None:
        if entry.charge is not None and self._gate is not None:
            self._gate.undo(entry.slot_request, entry.charge, outcome)
            entry.charge = None

    def _drop(
        self,
        entry: Entry,
        outcome: requests.Outcome,
        release: requests.Release | None = None,
    ) -> None:
        request_id = entry.slot_request.request_id
        self.entries.pop(request_id, None)
        if outcome in recent_usage.NOT_SERVED or entry.answer is None:
            self._undo(entry, outcome)
        if entry.answer is None:
            self.leader.withdraw(request_id)
            # The grant may be made and not yet be told here.
            outcome = requests.Outcome.given_up
        self.leader.release(release or requests.Release(request_id, outcome))

    def _of(self, owner: ids.HostId) -> list[Entry]:
        return [
            entry
            for entry in self.entries.values()
            if entry.slot_request.owner == owner
        ]

    def _is_granted(self, request_id: ids.RequestId) -> bool:
        entry = self.entries.get(request_id)
        return entry is not None and isinstance(entry.answer, requests.Grant)
