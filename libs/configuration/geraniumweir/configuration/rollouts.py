"""Orders to move pools to new versions of their servers.

A part of the state machine. The newest order of each pool is kept. An order
that comes again, as its answer was lost, is answered like the first and
changes nothing, also where the rollout has ended meanwhile.
"""

import dataclasses
import enum
import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.rollout import orders
from geraniumweir.wire.gen.configuration import ttypes
from reactivex import subject

_MS = 1000
_STATE_BITS = 2
_NUMBER_BITS = 4


class Result(enum.IntEnum):
    """What became of an order."""

    taken = 1
    known = 2
    another_runs = 3


class Rollouts:
    """Keeps the newest order of each pool."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_pool: dict[ids.PoolName, orders.Rollout] = {}
        self._changes: subject.Subject[orders.Rollout] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[orders.Rollout]:
        """Tell of each new order and each note."""
        return self._changes

    def known(self) -> list[orders.Rollout]:
        """List them, the oldest first."""
        return sorted(self._by_pool.values(), key=lambda one: one.number)

    def of_pool(self, pool: ids.PoolName) -> orders.Rollout | None:
        """Give a pool's newest order."""
        return self._by_pool.get(pool)

    def order(
        self,
        asked: ttypes.OrderRollout,
        now_ms: int,
    ) -> ttypes.RolloutAnswer:
        """Take an order, unless another one of the pool is under way."""
        pool = ids.PoolName(asked.pool)
        known = self._by_pool.get(pool)
        if known is not None and _is_repeat(known, asked, now_ms):
            return ttypes.RolloutAnswer(Result.known, known.number)
        if known is not None and known.state is orders.State.running:
            return ttypes.RolloutAnswer(Result.another_runs, known.number)
        numbers = [one.number for one in self._by_pool.values()]
        found = orders.Rollout(
            pool,
            max(numbers, default=0) + 1,
            ids.SoftwareVersion(asked.to),
            asked.duration_ms / _MS,
            ordered_ms=now_ms,
        )
        self._put(found)
        return ttypes.RolloutAnswer(Result.taken, found.number)

    def note(self, note: ttypes.NoteRollout) -> ttypes.NoteAnswer:
        """Take how far a rollout is; phases and counts only grow."""
        for known in self.known():
            if known.number == note.number:
                return ttypes.NoteAnswer(self._note(known, note))
        return ttypes.NoteAnswer(taken=False)

    def save(self, stored: ttypes.StoredState) -> None:
        """Write everything into a snapshot."""
        if self._by_pool:
            stored.rollouts = [_to_stored(one) for one in self.known()]

    def load(self, stored: ttypes.StoredState) -> None:
        """Take everything from a snapshot, one without rollouts too."""
        self._by_pool.clear()
        for one in stored.rollouts or ():
            self._put(_from_stored(one))

    def _note(self, known: orders.Rollout, note: ttypes.NoteRollout) -> bool:
        if known.state is not orders.State.running:
            return False
        self._put(
            dataclasses.replace(
                known,
                phase=max(known.phase, orders.Phase(note.phase)),
                state=orders.State(note.state),
                exposure=max(known.exposure, note.exposure),
                requests=max(known.requests, note.requests),
                answers=max(known.answers, note.answers),
                reason=note.reason,
            ),
        )
        return True

    def _put(self, found: orders.Rollout) -> None:
        self._by_pool[found.pool] = found
        self._changes.on_next(found)


def progress(known: typing.Iterable[orders.Rollout]) -> int:
    """Give a number that grows with each change of what servers may get.

    >>> one = orders.Rollout(
    ...     ids.PoolName('p'), 1, ids.SoftwareVersion('v2'), 12
    ... )
    >>> later = dataclasses.replace(one, phase=orders.Phase.ramp)
    >>> progress([one]) < progress([later])
    True
    """
    return sum(
        (one.number << _NUMBER_BITS) + (one.state << _STATE_BITS) + one.phase
        for one in known
    )


def _is_repeat(
    known: orders.Rollout,
    asked: ttypes.OrderRollout,
    now_ms: int,
) -> bool:
    if known.to != asked.to:
        return False
    if known.state is not orders.State.rolled_back:
        return True
    return now_ms - known.ordered_ms <= asked.again_ms


def _to_stored(found: orders.Rollout) -> ttypes.StoredRollout:
    return ttypes.StoredRollout(
        pool=found.pool,
        number=found.number,
        to=found.to,
        duration_ms=int(found.seconds * _MS),
        phase=int(found.phase),
        state=int(found.state),
        exposure=found.exposure,
        requests=found.requests,
        ordered_ms=found.ordered_ms,
        reason=found.reason,
        answers=found.answers,
    )


def _from_stored(stored: ttypes.StoredRollout) -> orders.Rollout:
    return orders.Rollout(
        ids.PoolName(stored.pool),
        stored.number,
        ids.SoftwareVersion(stored.to),
        stored.duration_ms / _MS,
        orders.State(stored.state),
        orders.Phase(stored.phase),
        stored.exposure,
        stored.requests,
        stored.ordered_ms,
        stored.reason,
        stored.answers or 0,
    )
