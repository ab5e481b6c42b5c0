"""Controls how much of a pool's traffic a new version gets.

Before it is trusted, the new version gets requests from a budget. The budget
is reserved in the replicated log before it is used, and a new coordinator
counts all reserved requests as used.
"""

import dataclasses
import math
import typing

from geraniumweir.common import ids
from geraniumweir.rollout import (
    budget,
    detection,
    evidence,
    orders,
    schedule,
)

# Requests reserved in the log ahead of use, the smallest additional
# reservation, and the number of unused reserved requests below which more are
# reserved.
_RESERVED_AHEAD = 40
_MIN_RESERVED = 8
_LOW_RESERVE = 20
# The log is updated when the requests that it does not contain exceed this
# ratio of the logged ones plus this number.
_MAX_UNLOGGED_RATIO = 0.1
_MAX_UNLOGGED_REQUESTS = 50
# The log is updated at this number of unlogged answers of the new version.
_MAX_UNLOGGED_ANSWERS = 10
# Answers of the new version that are needed before it gets more, or fewer where
# its budget allows fewer.
_MIN_ANSWERS = 20
# A controller that first sees an order later than this after its start has not
# granted all requests that run: another coordinator did before it.
_MAX_ORDER_DELAY_SECONDS = 0.5
# Reason for the end of a version that is still suspected at its time limit.
_UNDECIDED = 'bad answers were not explained within the time limit'


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedOrder:
    """A rollout order and the time at which it was given.

    :ivar started: in seconds on this host's clock.
    """

    rollout: orders.Rollout
    started: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a pool.

    :ivar old_running: requests running on servers of old versions.
    :ivar running: requests running on all servers.
    :ivar new_slots: slots of the servers of the new version.
    :ivar held: mean seconds for which a request occupies a slot.
    """

    old_running: int
    running: int
    new_slots: int
    held: float


@dataclasses.dataclass(frozen=True, slots=True)
class Advance:
    """Progress of the rollout that the log should record."""

    phase: orders.Phase
    exposure: int
    requests: int
    answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of the rollout that the log should record."""

    state: orders.State
    reason: str


Source = typing.Callable[[], ObservedOrder | None]


def _always() -> bool:
    return True


_DEFAULT_BOUNDS: typing.Final = budget.Bounds()


class RolloutController:
    """Controller of the rollout of one pool, used by its pool leader.

    :ivar rollout: the current order, None without one.
    :ivar new_server_count: number of servers of the new version.
    :ivar max_slots: largest number of slots of one of them.
    :ivar budget: requests that the new version may get before it is trusted.
    """

    def __init__(
        self,
        source: Source,
        now: typing.Callable[[], float],
        bounds: budget.Bounds = _DEFAULT_BOUNDS,
        *,
        may_spend_budget: typing.Callable[[], bool] | None = None,
        reaches_all_owners: typing.Callable[[], bool] = _always,
        judge: typing.Callable[
            [], detection.Detector
        ] = detection.CusumDetector,
    ) -> None:
        """Initialize without an order.

        :param source: returns the latest order of the pool.
        :param now: returns the time in seconds.
        :param bounds: bound on the requests of a bad version.
        :param may_spend_budget: whether this host may spend the budget: only
            the leader of the log may; None where it never may.
        :param reaches_all_owners: returns whether this host reaches all entry
            hosts that may use servers of the pool.
        :param judge: makes the detector of bad versions.
        """
        self.rollout: orders.Rollout | None = None
        self.new_server_count = 0
        self.max_slots = 1
        self._source = source
        self._now = now
        self._bounds = bounds
        self._may_spend_budget = may_spend_budget
        self._reaches_all_owners = reaches_all_owners
        self._make_detector = judge
        self._started: float = 0
        self._moved_at: float = -math.inf
        self._granted_all = False
        self.budget = budget.Budget(bounds, 0, 0)
        self._evidence = evidence.Evidence(judge())

    @property
    def is_running(self) -> bool:
        """Whether a rollout is running."""
        found = self.rollout
        return found is not None and found.state is orders.State.running

    @property
    def target_version(self) -> ids.SoftwareVersion | None:
        """The version that the pool moves to, None without an order."""
        return None if self.rollout is None else self.rollout.to

    @property
    def is_ramping(self) -> bool:
        """Whether the rollout is in its ramp phase."""
        return self.is_running and self.rollout.phase is orders.Phase.ramp

    @property
    def excluded_servers(self) -> frozenset[ids.ServerId]:
        """Servers of the new version whose failures are not due to it."""
        return self._evidence.excluded_servers

    def refresh(self) -> None:
        """Apply the latest order."""
        found = self._source()
        if found is None:
            self.rollout = None
            return
        before = self.rollout
        self.rollout = found.rollout
        is_new = before is None or before.number != found.rollout.number
        if not is_new and before.phase is not found.rollout.phase:
            self._moved_at = self._now()
        if is_new:
            self._started = found.started
            self._moved_at = -math.inf
            self._granted_all = (
                self._now() - found.started <= _MAX_ORDER_DELAY_SECONDS
            )
            self.budget = budget.Budget(
                self._bounds,
                found.rollout.exposure,
                found.rollout.requests,
            )
            self._evidence = evidence.Evidence(
                self._make_detector(),
                answers=found.rollout.answers,
            )

    def role(self, version: ids.SoftwareVersion) -> orders.Role:
        """Return which requests servers of a version may get."""
        if self.rollout is None:
            return orders.Role.serves
        if self.is_running and self._evidence.bad:
            is_new = version == self.rollout.to
            return orders.Role.barred if is_new else orders.Role.serves
        return self.rollout.role(version)

    def may_grant_new_version(self, rule: str) -> bool:
        """Return whether the new version may get a request of a route."""
        is_allowed = (
            self._may_spend_budget is not None and self._may_spend_budget()
        )
        if not self.is_running or self._evidence.bad or not is_allowed:
            return False
        found = self.rollout
        return self.budget.may_grant_new_version(
            rule, found.phase, found.exposure, self.max_slots
        )

    def may_continue_at_new_version(self) -> bool:
        """Return whether a stream that the new version began may go on there.

        It counts as one more request that the version gets.
        """
        if not self.is_running or self._evidence.bad:
            return False
        found = self.rollout
        if found.phase is not orders.Phase.canary:
            return True
        return self.budget.has_canaries_left(found.exposure)

    def record_grant(self, rule: str, *, new: bool) -> None:
        """Record a request that was granted to a server of the pool."""
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
        """Record the result of a request.

        :param failed: whether the server failed to answer it.
        :param ratio: its time divided by the usual time of the pool for such a
            request, None without a meaningful time.
        """
        if not self.is_running:
            return
        observed = self._evidence
        old = version != self.rollout.to
        bad = failed
        if ratio is not None and not failed:
            bad = observed.slow_answer_detector.is_slow(server, ratio, old=old)
        if old:
            observed.detector.record_old_answer(rule, bad=bad)
            return
        if server in observed.excluded_servers:
            return
        observed.answers += 1
        detected = observed.detector.record_new_answer(rule, server, bad=bad)
        if detected is not None:
            self._handle_detection(detected)

    def next_step(self, load: Load) -> Advance | End | None:
        """Return what the log should record now, None for nothing."""
        if not self.is_running:
            return None
        elapsed = self._now() - self._started
        bad = self._evidence.bad
        if elapsed >= self.rollout.seconds and self._evidence.is_suspected:
            bad = bad or _UNDECIDED
        if bad:
            return End(orders.State.rolled_back, bad)
        planned = schedule.plan(self.rollout.seconds, load.held)
        match self.rollout.phase:
            case orders.Phase.canary:
                return self._next_canary_step(load, elapsed >= planned.ramp)
            case orders.Phase.ramp:
                may_move = elapsed >= planned.move and self._is_trusted(load)
                return self._advance(orders.Phase.moved) if may_move else None
        if self._may_complete(load, planned) and self._is_trusted(load):
            reason = f'{self._evidence.answers} answers were judged good'
            return End(orders.State.completed, reason)
        return None

    def summary(self) -> dict[str, object]:
        """Return the state of the rollout for the log."""
        observed = self._evidence
        return {
            'exposure': self.budget.consumed,
            'requests': self.budget.requests,
            'answers': observed.answers,
            'suspicion': round(observed.detector.suspicion, 2),
            'set_aside': sorted(observed.excluded_servers),
            'knows_all': self._knows_all_requests(),
        }

    def _knows_all_requests(self) -> bool:
        """Return whether all requests that run were granted here."""
        return self._granted_all and self._reaches_all_owners()

    def _may_complete(self, load: Load, planned: schedule.Schedule) -> bool:
        """Return whether the servers of old versions may stop.

        Streams that run there can't go on elsewhere, so their ends are waited
        for. That none is known to run proves nothing to a coordinator that took
        over, or that doesn't reach all entry hosts: it waits for the planned
        end.
        """
        if not load.old_running and self._knows_all_requests():
            return True
        times = (self._started, self._moved_at)
        if load.old_running:
            return self._now() >= planned.latest_end_time(*times)
        return self._now() >= planned.end_time(*times)

    def _next_canary_step(self, load: Load, due: bool) -> Advance | None:
        if due and self._is_trusted(load):
            return self._advance(orders.Phase.ramp)
        return (
            self._advance(orders.Phase.canary)
            if self._is_report_due()
            else None
        )

    def _is_report_due(self) -> bool:
        """Return whether the log should record the budget.

        That is due when more must be reserved, or when a new coordinator would
        miss too many requests or answers.
        """
        logged = self.rollout
        unlogged = self.budget.requests - logged.requests
        if (
            unlogged
            > logged.requests * _MAX_UNLOGGED_RATIO + _MAX_UNLOGGED_REQUESTS
        ):
            return True
        answers = self._evidence.count_good_answers(logged.answers)
        if answers - logged.answers >= _MAX_UNLOGGED_ANSWERS:
            return True
        unused = logged.exposure - self.budget.consumed
        additional = self.budget.canary_allowance() - logged.exposure
        return additional >= _MIN_RESERVED and unused < _LOW_RESERVE

    def _advance(self, phase: orders.Phase) -> Advance:
        target = self.budget.consumed + _RESERVED_AHEAD
        allowance = max(self.budget.canary_allowance(), self.budget.consumed)
        reserved = math.ceil(min(target, allowance))
        return Advance(
            phase,
            reserved,
            self.budget.requests,
            self._evidence.count_good_answers(self.rollout.answers),
        )

    def _is_trusted(self, load: Load) -> bool:
        """Return whether the new version may get more requests.

        Its servers must have the slots for all running requests.
        """
        observed = self._evidence
        enough = min(
            _MIN_ANSWERS,
            self.budget.canary_allowance() / 2,
            self.budget.requests,
        )
        return (
            observed.answers >= enough
            and not self._evidence.is_suspected
            and load.new_slots >= max(load.running, 1)
        )

    def _handle_detection(self, detected: detection.Detection) -> None:
        """Handle a detection.

        If a single server is failing, the server may be faulty and not the
        version: it is excluded, and the answers of the others decide. That
        happens for one server only. Once the ramp has begun, the others must
        have shown that they are good: most requests may go to one server.
        """
        observed = self._evidence
        alone = len(detected.failing_servers) == 1 and self.new_server_count > 1
        if self.rollout.phase is not orders.Phase.canary:
            alone = alone and detected.others_are_good
        if alone and not observed.excluded_servers:
            observed.excluded_servers = frozenset(detected.failing_servers)
            observed.detector.reset()
            return
        where = (
            f'on route {detected.rule}' if detected.rule else 'on all routes'
        )
        observed.bad = (
            f'{detected.bad} of {detected.answers} answers were bad {where}'
        )
