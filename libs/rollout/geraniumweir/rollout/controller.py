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
    slow_answers,
)

# Requests reserved in the log at a time, at most and at least, and how few are
# left then.
_RESERVED_AHEAD = 40
_MIN_RESERVED = 8
_LOW_RESERVE = 20
# Requests of the pool that the log doesn't know of: at most this part of those
# that it does, and so many.
_MAX_UNLOGGED_RATIO = 0.1
_MAX_UNLOGGED_REQUESTS = 50
# The same of answers that were judged.
_MAX_UNLOGGED_ANSWERS = 10
# A version isn't trusted with more before so many of its answers are known,
# or all that its budget allowed.
_MIN_ANSWERS = 20
# A test that is some way to going off is waited for.
_MAX_SUSPICION = 0.35


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
_DEFAULT_BOUNDS: typing.Final = budget.Bounds()
_NO_SERVERS: typing.Final[frozenset[ids.ServerId]] = frozenset()


@dataclasses.dataclass(slots=True)
class _Evidence:
    """What is known of the new version of one order.

    :ivar answers: that were judged.
    :ivar excluded_servers: servers that are broken by themselves.
    :ivar bad: why it is taken for a bad one, empty while it isn't.
    """

    detector: detection.Detector
    slow_answer_detector: slow_answers.SlowAnswerDetector = dataclasses.field(
        default_factory=slow_answers.SlowAnswerDetector
    )
    answers: int = 0
    excluded_servers: frozenset[ids.ServerId] = _NO_SERVERS
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
        bounds: budget.Bounds = _DEFAULT_BOUNDS,
        *,
        may_spend_budget: typing.Callable[[], bool] | None = None,
        judge: typing.Callable[
            [], detection.Detector
        ] = detection.CusumDetector,
    ) -> None:
        """Follow the pool's orders.

        :param source: gives the newest one.
        :param now: gives the time in seconds.
        :param may_spend_budget: whether this host may spend the budget: only
            the leader of the log may; None where it never may.
        :param judge: makes what tells bad versions from good ones.
        """
        self.rollout: orders.Rollout | None = None
        self.new_server_count = 0
        self.max_slots = 1
        self._source = source
        self._now = now
        self._bounds = bounds
        self._may_spend_budget = may_spend_budget
        self._make_detector = judge
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
        return self._evidence.excluded_servers

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
                self._make_detector(),
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
        is_allowed = (
            self._may_spend_budget is not None and self._may_spend_budget()
        )
        if not self.is_running or self._evidence.bad or not is_allowed:
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
        evidence = self._evidence
        old = version != self.rollout.to
        bad = failed
        if ratio is not None and not failed:
            bad = evidence.slow_answer_detector.is_slow(server, ratio, old=old)
        if old:
            evidence.detector.record_old_answer(rule, bad=bad)
            return
        if server in evidence.excluded_servers:
            return
        evidence.answers += 1
        detected = evidence.detector.record_new_answer(rule, server, bad=bad)
        if detected is not None:
            self._handle_detection(detected)

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
                return self._next_canary_step(load, elapsed >= planned.ramp)
            case orders.Phase.ramp:
                may_move = elapsed >= planned.move and self._is_trusted(load)
                return self._advance(orders.Phase.moved) if may_move else None
        if self._is_drained(load, planned) and self._is_trusted(load):
            return End(orders.State.completed, self._completion_reason())
        return None

    def summary(self) -> dict[str, object]:
        """Give what is known, for the log."""
        evidence = self._evidence
        return {
            'exposure': self.budget.consumed,
            'requests': self.budget.requests,
            'answers': evidence.answers,
            'suspicion': round(evidence.detector.suspicion, 2),
            'set_aside': sorted(evidence.excluded_servers),
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

    def _next_canary_step(self, load: Load, due: bool) -> Advance | None:
        if due and self._is_trusted(load):
            return self._advance(orders.Phase.ramp)
        return (
            self._advance(orders.Phase.canary)
            if self._is_report_due()
            else None
        )

    def _is_report_due(self) -> bool:
        """Tell whether the log should hear of the budget.

        Of more to be reserved, or of requests that a successor wouldn't know.
        """
        logged = self.rollout
        unlogged = self.budget.requests - logged.requests
        if (
            unlogged
            > logged.requests * _MAX_UNLOGGED_RATIO + _MAX_UNLOGGED_REQUESTS
        ):
            return True
        if (
            self._answers_judged_good() - logged.answers
            >= _MAX_UNLOGGED_ANSWERS
        ):
            return True
        left = logged.exposure - self.budget.consumed
        more = self.budget.canary_allowance() - logged.exposure
        return more >= _MIN_RESERVED and left < _LOW_RESERVE

    def _advance(self, phase: orders.Phase) -> Advance:
        ahead = self.budget.consumed + _RESERVED_AHEAD
        most = max(self.budget.canary_allowance(), self.budget.consumed)
        reserved = math.ceil(min(ahead, most))
        return Advance(
            phase,
            reserved,
            self.budget.requests,
            self._answers_judged_good(),
        )

    def _answers_judged_good(self) -> int:
        """Give the answers that a successor need not see again."""
        evidence = self._evidence
        seems_good = evidence.detector.suspicion < _MAX_SUSPICION
        return evidence.answers if seems_good else self.rollout.answers

    def _is_trusted(self, load: Load) -> bool:
        """Tell whether the new version may get more.

        Its servers must also bear what runs now.
        """
        evidence = self._evidence
        enough = min(
            _MIN_ANSWERS,
            self.budget.canary_allowance() / 2,
            self.budget.requests,
        )
        return (
            evidence.answers >= enough
            and evidence.detector.suspicion < _MAX_SUSPICION
            and load.new_slots >= max(load.running, 1)
        )

    def _handle_detection(self, detected: detection.Detection) -> None:
        """Take that a test went off.

        One server that gave the bad answers alone may be broken by itself: it
        is set aside, and what the others do decides.
        """
        evidence = self._evidence
        alone = len(detected.failing_servers) == 1 and self.new_server_count > 1
        if alone and not evidence.excluded_servers:
            evidence.excluded_servers = frozenset(detected.failing_servers)
            evidence.detector.reset()
            return
        where = (
            f'on route {detected.rule}' if detected.rule else 'on all routes'
        )
        evidence.bad = (
            f'{detected.bad} of {detected.answers} answers were bad {where}'
        )

    def _completion_reason(self) -> str:
        evidence = self._evidence
        return f'{evidence.answers} answers were judged good'
