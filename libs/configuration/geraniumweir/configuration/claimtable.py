"""The table of claims of non-idempotent calls.

A part of the state machine. A claim is granted once for a customer and key.
While it runs it is never forgotten; when its owner doesn't end it in time its
outcome becomes unknown. Ended claims are kept for a day, less where the table
is full, but never less than two minutes; when a full table has none that may
go, new claims are refused, which costs availability and never a second run.

After an ended claim is forgotten its key is free, so a caller that repeats a
call later than that can run it again. docs/design/claims.md weighs the bounds.
"""

import collections
import dataclasses
import enum
import heapq

from geraniumweir.wire.gen.configuration import ttypes

_MINUTE_MS = 60 * 1000
_DAY_MS = 24 * 60 * _MINUTE_MS
_Key = tuple[str, str]


class State(enum.IntEnum):
    """How far a claimed call is."""

    running = 1
    done = 2
    unknown = 3


class Result(enum.IntEnum):
    """The answer to a claim."""

    granted = 1
    done = 2
    running = 3
    unknown = 4
    key_reused = 5
    full = 6


class Outcome(enum.IntEnum):
    """How the owner ended a claim."""

    done = 1
    unknown = 2
    not_run = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How much is remembered, the same on all recorders.

    :ivar most: claims in the table.
    :ivar longest_ms: an ended claim is forgotten after it.
    :ivar shortest_ms: an ended claim is not forgotten before it.
    :ivar longest_ttl_ms: a running claim's outcome is unknown after it,
        whatever its owner asked for.
    """

    most: int = 65536
    longest_ms: int = _DAY_MS
    shortest_ms: int = 2 * _MINUTE_MS
    longest_ttl_ms: int = 60 * _MINUTE_MS


class ClaimTable:
    """Running and ended claims, each in the order of the log."""

    def __init__(self, bounds: Bounds) -> None:
        """Start empty.

        :param bounds: the same on all recorders.
        """
        self._bounds = bounds
        self._running: dict[_Key, ttypes.StoredClaim] = {}
        self._ended: collections.OrderedDict[_Key, ttypes.StoredClaim] = (
            collections.OrderedDict()
        )
        self._ends: list[tuple[int, _Key, str]] = []

    def __len__(self) -> int:
        """Count the claims, running and ended."""
        return len(self._running) + len(self._ended)

    def advance(self, now_ms: int) -> None:
        """Let time pass: claims run out and are forgotten.

        :param now_ms: the log's time, which never goes back.
        """
        while self._ends and self._ends[0][0] <= now_ms:
            _, key, request_id = heapq.heappop(self._ends)
            claim = self._running.get(key)
            if claim is not None and claim.request_id == request_id:
                self._end(key, State.unknown, now_ms)
        self._forget(now_ms - self._bounds.longest_ms)

    def claim(self, claim: ttypes.Claim, now_ms: int) -> ttypes.ClaimAnswer:
        """Grant a claim, or tell who has it.

        :param claim: a repeat under the same request id gets the grant
            again, so that a resent proposal does no harm.
        :param now_ms: the log's time.
        """
        key = (claim.customer, claim.key)
        known = self._running.get(key) or self._ended.get(key)
        if known is not None:
            return ttypes.ClaimAnswer(_result(known, claim), known.request_id)
        if not self._has_room(now_ms):
            return ttypes.ClaimAnswer(Result.full, '')
        until_ms = now_ms + min(claim.ttl_ms, self._bounds.longest_ttl_ms)
        self._run(
            ttypes.StoredClaim(
                claim.customer,
                claim.key,
                claim.request_id,
                claim.fingerprint,
                claim.owner,
                State.running,
                until_ms,
                0,
            ),
        )
        return ttypes.ClaimAnswer(Result.granted, claim.request_id)

    def finish(
        self,
        finish: ttypes.Finish,
        now_ms: int,
    ) -> ttypes.FinishAnswer:
        """End a claim, also one that ran out before.

        :param finish: of another request than the holder changes nothing.
        :param now_ms: the log's time.
        """
        key = (finish.customer, finish.key)
        known = self._running.get(key) or self._ended.get(key)
        if known is None or known.request_id != finish.request_id:
            return ttypes.FinishAnswer(known=False)
        if finish.outcome == Outcome.not_run:
            self._release(key, known)
        elif known.state == State.running:
            self._end(key, _state_after(finish), now_ms)
        elif finish.outcome == Outcome.done:
            known.state = State.done
        return ttypes.FinishAnswer(known=True)

    def save(self, stored: ttypes.StoredState) -> None:
        """Write everything into a snapshot."""
        stored.running = list(self._running.values())
        stored.ended = list(self._ended.values())

    def load(self, stored: ttypes.StoredState) -> None:
        """Take everything from a snapshot."""
        self._running = {}
        self._ended.clear()
        self._ends = []
        for running in stored.running or ():
            self._run(running)
        for ended in stored.ended or ():
            self._ended[ended.customer, ended.key] = ended

    def _run(self, claim: ttypes.StoredClaim) -> None:
        key = (claim.customer, claim.key)
        self._running[key] = claim
        heapq.heappush(self._ends, (claim.until_ms, key, claim.request_id))

    def _end(self, key: _Key, state: State, now_ms: int) -> None:
        claim = self._running.pop(key)
        claim.state = state
        claim.ended_ms = now_ms
        self._ended[key] = claim

    def _release(self, key: _Key, known: ttypes.StoredClaim) -> None:
        """Free the key of a call that surely didn't run."""
        self._running.pop(key, None)
        if known.state == State.unknown:
            self._ended.pop(key, None)

    def _has_room(self, now_ms: int) -> bool:
        if len(self) < self._bounds.most:
            return True
        oldest = next(iter(self._ended.values()), None)
        if oldest is None:
            return False
        if oldest.ended_ms > now_ms - self._bounds.shortest_ms:
            return False
        self._ended.popitem(last=False)
        return True

    def _forget(self, before_ms: int) -> None:
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if oldest.ended_ms > before_ms:
                return
            self._ended.popitem(last=False)


def _result(known: ttypes.StoredClaim, claim: ttypes.Claim) -> Result:
    if known.fingerprint != claim.fingerprint:
        return Result.key_reused
    is_repeat = known.request_id == claim.request_id
    match known.state:
        case State.running:
            return Result.granted if is_repeat else Result.running
        case State.done:
            return Result.done
        case _:
            return Result.unknown


def _state_after(finish: ttypes.Finish) -> State:
    return State.done if finish.outcome == Outcome.done else State.unknown
