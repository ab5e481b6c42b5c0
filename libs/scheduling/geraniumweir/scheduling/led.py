"""Table of the slot requests and grants of a pool that this host leads.

It makes slot requests idempotent, so that the pool leader decides once about
each. A slot request is identified by request id and attempt: a repeat joins
the first or gets the same grant again, and a higher attempt means that the
owner has given up the lower one. Owners report once a second what they have
here, so that both sides soon agree again after any lost message.
"""

import asyncio
import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import recent_usage, requests, views

Answer = requests.Grant | requests.Denial


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Charge of a slot request against quotas and retry budgets.

    :ivar admitted_at: time of admission in seconds.
    :ivar granted_at: time of the grant in seconds, None without a grant.
    """

    admitted_at: float
    granted_at: float | None = None


class Gate(typing.Protocol):
    """Admission of slot requests before they reach the leader."""

    def admit(
        self, slot_request: requests.SlotRequest
    ) -> requests.Denial | None:
        """Admit a slot request, or return why it is denied."""

    def granted(self, slot_request: requests.SlotRequest) -> None:
        """Record that an admitted slot request got a grant."""

    def undo(
        self,
        slot_request: requests.SlotRequest,
        charge: Charge,
        outcome: requests.Outcome,
    ) -> None:
        """Undo the admission of a slot request that was not served.

        :param outcome: how it ended.
        """


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """One slot request with its answer.

    :ivar attempt: the owner's number of the attempt.
    :ivar work: the leader's pending decision, or None for a grant that was
        handed over.
    :ivar call_open: whether the owner's call is still open, so that its
        reply can carry the answer.
    :ivar notifying: whether the answer is being sent to the owner.
    :ivar charge: what the gate charged here, None for nothing.
    """

    slot_request: requests.SlotRequest
    attempt: int
    work: asyncio.Task[None] | None = None
    answer: Answer | None = None
    call_open: bool = False
    notifying: bool = False
    charge: Charge | None = None


class LedPool:
    """Pool that this host leads.

    :ivar pool: its name.
    :ivar leader: the pool leader, which decides.
    :ivar entries: slot requests that wait or are granted, by request id.
    """

    def __init__(
        self,
        pool: ids.PoolName,
        pool_leader: views.PoolLeader,
        now: typing.Callable[[], float],
        on_answer: typing.Callable[['LedPool', Entry], None],
        gate: Gate | None = None,
    ) -> None:
        """Initialize without slot requests.

        :param now: returns the time in seconds.
        :param on_answer: called after each decision.
        :param gate: admits slot requests before the leader sees them.
        """
        self.pool = pool
        self.leader = pool_leader
        self.entries: dict[ids.RequestId, Entry] = {}
        self._now = now
        self._on_answer = on_answer
        self._gate = gate
        self._last_seen_at: dict[ids.HostId, float] = {}

    def join(
        self, slot_request: requests.SlotRequest, attempt: int
    ) -> Entry | None:
        """Enter a slot request, or join the same one.

        :returns: None when the owner has sent a later attempt already.
        """
        self._last_seen_at[slot_request.owner] = self._now()
        known = self.entries.get(slot_request.request_id)
        if known is not None and known.attempt >= attempt:
            return known if known.attempt == attempt else None
        if known is not None:
            self._remove(known, requests.Outcome.given_up)
        entry = Entry(slot_request, attempt)
        self.entries[slot_request.request_id] = entry
        entry.work = asyncio.create_task(self._decide(entry))
        return entry

    def withdraw(self, request_id: ids.RequestId, attempt: int) -> None:
        """Remove a slot request that its owner gave up, granted or not."""
        entry = self.entries.get(request_id)
        if entry is not None and entry.attempt <= attempt:
            self._remove(entry, requests.Outcome.given_up)

    def release(self, release: requests.Release, attempt: int) -> None:
        """Release a grant."""
        entry = self.entries.get(release.request_id)
        if entry is not None and entry.attempt <= attempt:
            self._remove(entry, release.outcome, release)

    def adopt(self, grant: requests.OpenGrant, attempt: int) -> None:
        """Take over a grant in use that another leader made."""
        request_id = grant.slot_request.request_id
        self._last_seen_at[grant.slot_request.owner] = self._now()
        known = self.entries.get(request_id)
        if known is not None and known.attempt > attempt:
            return
        if known is not None and known.answer == grant.grant:
            return
        if known is not None:
            self._remove(known, requests.Outcome.given_up)
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
        """Reconcile the table with what an owner reports.

        What the owner no longer has is removed. Where it still waits for an
        answer that was made already, the answer is sent again.

        :param attempt: the owner's last attempt at the time of its report;
            slot requests of later attempts are left unchanged.
        :returns: ids of waiting slot requests and of grants that are
            unknown here.
        """
        self._last_seen_at[owner] = self._now()
        for entry in self._entries_of(owner):
            request_id = entry.slot_request.request_id
            if entry.attempt > attempt or request_id in in_use:
                continue
            if request_id not in waiting:
                self._remove(entry, requests.Outcome.cancelled)
            elif entry.answer is not None:
                self._on_answer(self, entry)
        lost = [found for found in waiting if found not in self.entries]
        unknown = [found for found in in_use if not self._is_granted(found)]
        return lost, unknown

    def silent_owners(self, last_seen_before: float) -> list[ids.HostId]:
        """List owners from which nothing has arrived since a time.

        :param last_seen_before: that time, in seconds.
        """
        return [
            owner
            for owner, at in self._last_seen_at.items()
            if at < last_seen_before
        ]

    def remove_owner(self, owner: ids.HostId) -> int:
        """Remove all entries of an owner and return their number."""
        self._last_seen_at.pop(owner, None)
        dropped = self._entries_of(owner)
        for entry in dropped:
            self._remove(entry, requests.Outcome.cancelled)
        return len(dropped)

    def close(self) -> list[Entry]:
        """Cancel pending decisions; return the entries without a grant."""
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
        """Remove a denied entry, as its owner has the denial."""
        if isinstance(entry.answer, requests.Denial) and self.has(entry):
            self.entries.pop(entry.slot_request.request_id)

    def has(self, entry: Entry) -> bool:
        """Return whether an entry is still in the table."""
        return self.entries.get(entry.slot_request.request_id) is entry

    async def _decide(self, entry: Entry) -> None:
        if not self.has(entry):
            # Withdrawn in the same iteration of the loop, as after a stall. A
            # grant made now would never be released.
            return
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

    def _remove(
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
            # The leader may have made a grant that has not arrived here yet.
            outcome = requests.Outcome.given_up
        self.leader.release(release or requests.Release(request_id, outcome))

    def _entries_of(self, owner: ids.HostId) -> list[Entry]:
        return [
            entry
            for entry in self.entries.values()
            if entry.slot_request.owner == owner
        ]

    def _is_granted(self, request_id: ids.RequestId) -> bool:
        entry = self.entries.get(request_id)
        return entry is not None and isinstance(entry.answer, requests.Grant)
