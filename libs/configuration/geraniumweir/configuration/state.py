"""The state machine that the replicated log drives.

A command carries one or many steps, so that one sync of the recorders' disks
serves many claims. Steps are applied in order; each gets its answer. The same
commands give the same answers and, byte for byte, the same snapshot on every
recorder: no clock and no random number is read here. The time is the
proposer's and never goes back.

A command that can't be read is answered as invalid and changes nothing; an
error here would stop all recorders at the same place.

References
==========
.. [1] F. Schneider, "Implementing fault-tolerant services using the state
   machine approach", ACM Computing Surveys 22(4), 1990.
"""

import dataclasses
import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.configuration import (
    changes,
    claimtable,
    commands,
    errors,
    fencing,
    published,
    rollouts,
)
from geraniumweir.wire import errors as wire_errors
from geraniumweir.wire import framing
from geraniumweir.wire.gen.configuration import ttypes
from reactivex import subject

FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the state machine remembers, the same on all recorders.

    :ivar answers: change ids whose first answer is given again.
    """

    answers: int = changes.KEPT_ANSWERS
    claims: claimtable.Bounds = claimtable.Bounds()


class SystemState:
    """Configuration, claims, fencing numbers, published document, rollouts.

    :ivar published: the newest document that carries its own version.
    :ivar rollouts: the newest order of each pool.
    :ivar now_ms: the log's time, milliseconds since 1970.
    :ivar applied: index of the last command applied or restored.

    >>> state = SystemState()
    >>> command = commands.change(ids.ChangeId('c'), ids.Version(0), '', 5)
    >>> commands.answers(state.apply(1, command))[0].change.version
    1
    """

    def __init__(self, bounds: Bounds | None = None) -> None:
        """Start at version 0.

        :param bounds: the same on all recorders.
        """
        self.now_ms = 0
        self.applied = 0
        self._bounds = bounds or Bounds()
        self._changes = changes.Changes(self._bounds.answers)
        self._claims = claimtable.ClaimTable(self._bounds.claims)
        self._fences = fencing.Fences()
        self.published = published.Published()
        self.rollouts = rollouts.Rollouts()
        self._versions: subject.Subject[changes.Accepted] = subject.Subject()

    @property
    def versions(self) -> reactivex.Observable[changes.Accepted]:
        """Tell of each new version, on the event loop."""
        return self._versions

    def newest(self) -> changes.Accepted | None:
        """Give the version in force, or None before the first change."""
        return self._changes.newest()

    def history(self) -> tuple[changes.Accepted, ...]:
        """List the versions that are kept, oldest first."""
        return self._changes.history()

    def find(self, version: ids.Version) -> changes.Accepted | None:
        """Find one of the versions that are kept."""
        return self._changes.find(version)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command of the log.

        :param index: of the command, growing.
        :param command: a thrift ``Command``.
        :returns: a thrift ``CommandAnswer``.
        """
        self.applied = index
        before = self._changes.version
        try:
            read = commands.read(command)
        except wire_errors.FrameError:
            return framing.encode(ttypes.CommandAnswer([], invalid=True))
        self.now_ms = max(self.now_ms, read.at_ms)
        self._claims.advance(self.now_ms)
        found = [self._step(step) for step in read.steps]
        self._tell(before)
        return framing.encode(ttypes.CommandAnswer(found, invalid=False))

    def snapshot(self) -> bytes:
        """Give everything as bytes."""
        stored = ttypes.StoredState(format=FORMAT, now_ms=self.now_ms)
        for part in self._parts():
            part.save(stored)
        return framing.encode(stored)

    def restore(self, snapshot: bytes, index: int = 0) -> None:
        """Take the place of a snapshot.

        :param snapshot: as :meth:`snapshot` gave it.
        :param index: of the last command in it.
        :raises errors.SnapshotError: when this build can't read it; the
            state stays as it was.
        """
        try:
            stored = framing.decode(ttypes.StoredState, snapshot)
        except wire_errors.FrameError as exc:
            raise errors.SnapshotError(exc.message) from exc
        if stored.format != FORMAT:
            raise errors.SnapshotError(f'format {stored.format} is not known')
        before = self._changes.version
        self.applied = index
        self.now_ms = stored.now_ms
        for part in self._parts():
            part.load(stored)
        self._tell(before)

    def _parts(self) -> tuple[typing.Any, ...]:
        return (
            self._changes,
            self._claims,
            self._fences,
            self.published,
            self.rollouts,
        )

    def _step(self, step: ttypes.Step) -> ttypes.StepAnswer:
        """Apply a step; it asks for one thing, which was checked before."""
        match step:
            case ttypes.Step(change=ttypes.Change() as change):
                done = self._changes.apply(change, self.now_ms)
                return ttypes.StepAnswer(change=done)
            case ttypes.Step(claim=ttypes.Claim() as claim):
                claimed = self._claims.claim(claim, self.now_ms)
                return ttypes.StepAnswer(claim=claimed)
            case ttypes.Step(finish=ttypes.Finish() as finish):
                ended = self._claims.finish(finish, self.now_ms)
                return ttypes.StepAnswer(finish=ended)
            case ttypes.Step(fence=ttypes.ReserveFence() as fence):
                return ttypes.StepAnswer(fence=self._fences.reserve(fence))
            case ttypes.Step(publish=ttypes.Publish() as publish):
                taken = self.published.apply(publish)
                return ttypes.StepAnswer(publish=taken)
        return self._step_of_rollout(step)

    def _step_of_rollout(self, step: ttypes.Step) -> ttypes.StepAnswer:
        if step.note is not None:
            return ttypes.StepAnswer(note=self.rollouts.note(step.note))
        ordered = self.rollouts.order(step.rollout, self.now_ms)
        return ttypes.StepAnswer(rollout=ordered)

    def _tell(self, before: int) -> None:
        newest = self._changes.newest()
        if newest is not None and newest.version > before:
            self._versions.on_next(newest)
