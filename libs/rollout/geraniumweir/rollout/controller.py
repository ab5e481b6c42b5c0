"""How much of a pool's traffic a new version gets, from moment to moment.

Before it is trusted, the new version gets requests from a budget. That is
reserved in the replicated log before it is spent; a coordinator that takes
over counts all that was reserved as spent.
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.rollout import (
    budget,
    detection,
    orders,
    schedule,
    slowness,
)

# Requests reserved in the log at a time, at most and at least, and how few are
# left then.
_RESERVED_AHEAD = 40
_LEAST_RESERVED = 8
_FEW_RESERVED = 20
# Requests of the pool that the log doesn't know of: at most this part of those
# that it does, and so many.
_UNKNOWN_PART = 0.1
_UNKNOWN_REQUESTS = 50
# The same of answers that were judged.
_UNKNOWN_ANSWERS = 10
# A version isn't trusted with more before so many of its answers are known,
# or all that its budget allowed.
_ENOUGH_ANSWERS = 20
# A test that is some way to going off is waited for.
_MOST_SUSPICION = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedOrder:
    """An order and when it was given.

    :ivar started: on this host's clock, in seconds.
    """

    rollout: orders.Rollout
    started: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How the pool does.

    :ivar old_running: requests that run on servers of old versions.
    :ivar running: requests that run at all.
    :ivar new_slots: slots of the new version's servers.
    :ivar held: mean seconds for which a request keeps a slot.
    """

    old_running: int
    running: int
    new_slots: int
    held: float


@dataclasses.dataclass(frozen=True, slots=True)
class Advance:
    """Have the log note how far the rollout is."""

    phase: orders.Phase
    exposure: int
    requests: int
    answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Have the log note that the rollout is over."""

    state: orders.State
    reason: str


Source = typing.Callable[[], ObservedOrder | None]
_USUAL_BOUNDS: typing.Final = budget.Bounds()
_NONE: typing.Final[frozenset[ids.ServerId]] = frozenset()


@dataclasses.dataclass(slots=True)
class _Evidence:
    """What is known of the new version of one order.

    :ivar answers: that were judged.
    :ivar set_aside: servers that are broken by themselves.
    :ivar bad: why it is taken for a bad one, empty while it isn't.
    """

    judge: detection.Detector
    paces: slowness.Paces = dataclasses.field(default_factory=slowness.Paces)
    answers: int = 0
    set_aside: frozenset[ids.ServerId] = _NONE
    bad: str = ''


class RolloutController:
    """Decides for one pool, on the host that coordinates it.

    :ivar rollout: the order that is followed, None without one.
    :ivar new_server_count: how many servers of the new version there are.
    :ivar max_slots: that one of them has.
    :ivar budget: what the new version may get before it is trusted.
    """

    def __init__(
        self,
        source: Source,
        now: typing.Callable[[], float],
        bounds: budget.Bounds = _USUAL_BOUNDS,
        *,
        may_spend_budget: typing.Callable[[], bool] | None = None,
        judge: typing.Callable[
            [], detection.Detector
        ] = detection.CusumDetector,
    ) -> None:
        """Follow the pool's orders.

        :param source: gives the newest one.
        :param now: gives the time in seconds.
        :param may_spend_budget: tells whether this host may spend the budget: only the
            one that leads the log may; None where it never may.
        :param judge: makes what tells bad versions from good ones.
        """
        self.rollout: orders.Rollout | None = None
        self.new_server_count = 0
        self.max_slots = 1
        self._source = source
        self._now = now
        self._bounds = bounds
        self._spends = may_spend_budget
        self._make_judge = judge
        self._started: float = 0
        self._moved_at: float = 0
        self.budget = budget.Budget(bounds, 0, 0)
        self._evidence = _Evidence(judge())

    @property
    def is_running(self) -> bool:
        """Tell whether a rollout is under way."""
        found = self.rollout
        return found is not None and found.state is orders.State.running

    @property
    def target_version(self) -> ids.SoftwareVersion | None:
        """Give the version that the pool is to move to."""
        return None if self.rollout is None else self.rollout.to

    @property
    def is_ramping(self) -> bool:
        """Tell whether the new version gets a part of all requests."""
        return self.is_running and self.rollout.phase is orders.Phase.ramp

    @property
    def excluded_servers(self) -> frozenset[ids.ServerId]:
        """List servers of the new version that are broken by themselves."""
        return self._evidence.set_aside

    def refresh(self) -> None:
        """Take the newest order."""
        found = self._source()
        if found is None:
            self.rollout = None
            return
        before = self.rollout
        self.rollout = found.rollout
        if before is None or before.phase is not found.rollout.phase:
            self._moved_at = self._now()
        if before is None or before.number != found.rollout.number:
            self._started = found.started
            self.budget = budget.Budget(
                self._bounds,
                found.rollout.exposure,
                found.rollout.requests,
            )
            self._evidence = _Evidence(
                self._make_judge(),
                answers=found.rollout.answers,
            )

    def role(self, version: ids.SoftwareVersion) -> orders.Role:
        """Give what servers of a version may get."""
        if self.rollout is None:
            return orders.Role.serves
        if self.is_running and self._evidence.bad:
            is_new = version == self.rollout.to
            return orders.Role.barred if is_new else orders.Role.serves
        return self.rollout.role(version)

    def may_grant_new_version(self, rule: str) -> bool:
        """Tell whether the new version may get a request of a route."""
        may_spend = self._spends is not None and self._spends()
        if not self.is_running or self._evidence.bad or not may_spend:
            return False
        found = self.rollout
        return self.budget.may_grant_new_version(
            rule, found.phase, found.exposure, self.max_slots
        )

    def record_grant(self, rule: str, *, new: bool) -> None:
        """Count a request that a server of the pool gets."""
        if self.is_running:
            self.budget.record_grant(rule, self.rollout.phase, new=new)

    def record_answer(
        self,
        version: ids.SoftwareVersion,
        server: ids.ServerId,
        rule: str,
        *,
        failed: bool,
        ratio: float | None = None,
    ) -> None:
        """Take what came of a request.

        :param ratio: its time by what the pool usually takes for its like;
            None where it says nothing.
        """
        if not self.is_running:
            return
        known = self._evidence
        old = version != self.rollout.to
        bad = failed
        if ratio is not None and not failed:
            bad = known.paces.is_slow(server, ratio, old=old)
        if old:
            known.judge.record_old_answer(rule, bad=bad)
            return
        if server in known.set_aside:
            return
        known.answers += 1
        verdict = known.judge.record_new_answer(rule, server, bad=bad)
        if verdict is not None:
            self._conclude(verdict)

    def next_step(self, load: Load) -> Advance | End | None:
        """Give what the log should note now, if anything."""
        if not self.is_running:
            return None
        if self._evidence.bad:
            return End(orders.State.rolled_back, self._evidence.bad)
        elapsed = self._now() - self._started
        planned = schedule.plan(self.rollout.seconds, load.held)
        match self.rollout.phase:
            case orders.Phase.canary:
                return self._from_canary(load, elapsed >= planned.ramp)
            case orders.Phase.ramp:
                may_move = elapsed >= planned.move and self._is_trusted(load)
                return self._advance(orders.Phase.moved) if may_move else None
        if self._is_drained(load, planned) and self._is_trusted(load):
            return End(orders.State.completed, self._account())
        return None

    def summary(self) -> dict[str, object]:
        """Give what is known, for the log."""
        known = self._evidence
        return {
            'exposure': self.budget.spent,
            'requests': self.budget.requests,
            'answers': known.answers,
            'suspicion': round(known.judge.suspicion, 2),
            'set_aside': sorted(known.set_aside),
        }

    def _is_drained(self, load: Load, planned: schedule.Schedule) -> bool:
        """Tell whether the old servers may stop.

        Where the traffic moved late, what runs there gets its time all the
        same.
        """
        if not load.old_running:
            return True
        left_for = self._now() - self._moved_at
        return left_for >= planned.end - planned.move

    def _from_canary(self, load: Load, due: bool) -> Advance | None:
        if due and self._is_trusted(load):
            return self._advance(orders.Phase.ramp)
        return self._advance(orders.Phase.canary) if self._is_due() else None

    def _is_due(self) -> bool:
        """Tell whether the log should hear of the budget.

        Of more to be reserved, or of requests that a successor wouldn't know.
        """
        noted = self.rollout
        unknown = self.budget.requests - noted.requests
        if unknown > noted.requests * _UNKNOWN_PART + _UNKNOWN_REQUESTS:
            return True
        if self._seeming_good() - noted.answers >= _UNKNOWN_ANSWERS:
            return True
        left = noted.exposure - self.budget.spent
        more = self.budget.canaries() - noted.exposure
        return more >= _LEAST_RESERVED and left < _FEW_RESERVED

    def _advance(self, phase: orders.Phase) -> Advance:
        ahead = self.budget.spent + _RESERVED_AHEAD
        most = max(self.budget.canaries(), self.budget.spent)
        reserved = math.ceil(min(ahead, most))
        return Advance(
            phase,
            reserved,
            self.budget.requests,
            self._seeming_good(),
        )

    def _seeming_good(self) -> int:
        """Give the answers that a successor need not see again."""
        known = self._evidence
        seems_good = known.judge.suspicion < _MOST_SUSPICION
        return known.answers if seems_good else self.rollout.answers

    def _is_trusted(self, load: Load) -> bool:
        """Tell whether the new version may get more.

        Its servers must also bear what runs now.
        """
        known = self._evidence
        enough = min(
            _ENOUGH_ANSWERS,
            self.budget.canaries() / 2,
            self.budget.requests,
        )
        return (
            known.answers >= enough
            and known.judge.suspicion < _MOST_SUSPICION
            and load.new_slots >= max(load.running, 1)
        )

    def _conclude(self, verdict: detection.Detection) -> None:
        """Take that a test went off.

        One server that gave the bad answers alone may be broken by itself: it
        is set aside, and what the others do decides.
        """
        known = self._evidence
        alone = len(verdict.failing_servers) == 1 and self.new_server_count > 1
        if alone and not known.set_aside:
            known.set_aside = frozenset(verdict.failing_servers)
            known.judge.reset()
            return
        where = f'on route {verdict.rule}' if verdict.rule else 'on all routes'
        known.bad = (
            f'{verdict.bad} of {verdict.answers} answers were bad {where}'
        )

    def _account(self) -> str:
        known = self._evidence
        return f'{known.answers} answers were judged good'
