"""Retries that are sent as often as allowed, over partitions and changes.

Three entry hosts and two control hosts. All requests fail, except in calm
periods; entry hosts are partitioned, reachable again and restarted, control
hosts restart, and the coordinator changes. No window holds more retries than
the budget.
"""

import dataclasses
import typing

import hypothesis
from geraniumweir.common import ids
from geraniumweir.control import reachable_hosts
from geraniumweir.scheduling import (
    requests,
    retrybudget,
    retrycounts,
)
from hypothesis import stateful
from hypothesis import strategies as st

_POOL = ids.PoolName('pool')
_BUDGET = retrybudget.Budget(ratio=0.2, window=10, slack=30)
_QUOTA_SECONDS = 8
_STEP = 0.2
_MISSED_SECONDS = 0.4
_NAMES = ('e1', 'e2', 'e3')
# Requests of each entry host in a step.
_USUAL_RATE = 2
_MAX_RATE = 6
_ASK = requests.SlotRequest(
    request_id=ids.RequestId('request'),
    owner=ids.HostId('owner'),
    pool=_POOL,
    customer=ids.CustomerName('customer'),
    rule=ids.RuleName('rule'),
    tier=ids.Tier(0),
    deadline=0,
)
_RETRY = dataclasses.replace(_ASK, sending=requests.Sending.retry)
_GRANT = requests.Grant(
    _ASK.request_id,
    ids.ServerId('server'),
    ids.Incarnation(1),
    ids.Address('10.0.0.1', 1),
)


@dataclasses.dataclass
class _Entry:
    """An entry host.

    :ivar partitioned_at: since when it is partitioned, None if reachable.
    :ivar stays: with the control host that does not lead, partitioned with it.
    :ivar reported_to: the coordinator that has its counts.
    """

    host_id: ids.HostId
    counting: retrycounts.RetryCounter = dataclasses.field(init=False)
    standalone_budgets: retrybudget.RetryBudgets = dataclasses.field(init=False)
    partitioned_at: float | None = None
    stays: bool = False
    reported_to: typing.Optional['_Control'] = None

    def granter(self) -> ids.HostId:
        """Return the host that grants its slot requests."""
        found = self.reported_to
        return self.host_id if found is None else found.host_id


class _Control:
    """A control host."""

    def __init__(
        self,
        name: str,
        now: float,
        clock: typing.Callable[[], float],
    ) -> None:
        self.host_id = ids.HostId(name)
        self.leads = False
        self.hosts = reachable_hosts.EntryHosts(_QUOTA_SECONDS)
        self.budgets = retrybudget.RetryBudgets(
            _BUDGET,
            retrybudget.Scope(
                lambda: self.leads,
                lambda: self.hosts.count(clock()),
            ),
            now,
        )


class RetriesOverChanges(stateful.RuleBasedStateMachine):
    """The hosts, and all requests and retries."""

    def __init__(self) -> None:
        """Start with all hosts reachable."""
        super().__init__()
        self.now: float = 100
        self.rate = _USUAL_RATE
        self.fails = True
        self.asked: list[float] = []
        self.sent: list[float] = []
        self.over = float('-inf')
        self.controls = [self._control(name) for name in ('c1', 'c2')]
        self.leader = 0
        self.controls[0].leads = True
        self.entries = [self._started(name) for name in _NAMES]
        self.let_pass(1)

    @stateful.rule(seconds=st.floats(0.4, 6))
    def let_pass(self, seconds: float) -> None:
        """Let all hosts work for some seconds."""
        for _ in range(round(seconds / _STEP)):
            self.now += _STEP
            self._step()

    @stateful.rule(rate=st.integers(0, _MAX_RATE))
    def set_rate(self, rate: int) -> None:
        """Set the rate of requests."""
        self.rate = rate

    @stateful.rule(fails=st.booleans())
    def fail(self, *, fails: bool) -> None:
        """Let all requests fail, or none."""
        self.fails = fails

    @stateful.rule(number=st.integers(0, 2))
    def make_unreachable(self, number: int) -> None:
        """Partition an entry host, unless it is already."""
        entry = self.entries[number]
        if entry.partitioned_at is None:
            entry.partitioned_at = self.now
            entry.reported_to = None
            entry.standalone_budgets.begin(self.now + _MISSED_SECONDS)

    @stateful.rule(number=st.integers(0, 2))
    def make_reachable(self, number: int) -> None:
        """End the partition of an entry host."""
        self.entries[number].partitioned_at = None

    @stateful.rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Restart an entry host without state."""
        before = self.entries[number]
        self.entries[number] = self._started(_NAMES[number])
        self.entries[number].partitioned_at = before.partitioned_at
        self.entries[number].stays = before.stays

    @stateful.rule()
    def restart_all(self) -> None:
        """Restart all entry hosts without state."""
        for number, _ in enumerate(_NAMES):
            self.restart(number)

    @stateful.rule()
    def change(self) -> None:
        """Make the other control host the coordinator."""
        before = self.controls[self.leader]
        before.leads = False
        self.leader = 1 - self.leader
        found = self.controls[self.leader]
        found.leads = True
        found.hosts.set_reported_count(before.hosts.count(self.now), self.now)
        found.budgets.begin(self.now)
        for entry in self.entries:
            entry.stays = False

    @stateful.rule(numbers=st.sets(st.integers(0, 2)))
    def change_with_split(self, numbers: set[int]) -> None:
        """Let some entry hosts stay with the previous coordinator."""
        self.change()
        for number in numbers:
            self.entries[number].stays = True

    @stateful.rule()
    def end_split(self) -> None:
        """Let all entry hosts that are not partitioned reach the leader."""
        for entry in self.entries:
            entry.stays = False

    @stateful.rule()
    def change_to_restarted_host(self) -> None:
        """Restart the other control host, which then coordinates."""
        other = 1 - self.leader
        name = self.controls[other].host_id
        self.controls[other] = self._control(name)
        self.change()

    @stateful.invariant()
    def no_window_holds_more_than_the_budget(self) -> None:
        """Check the largest excess so far."""
        assert self.over <= 0

    def _clock(self) -> float:
        return self.now

    def _control(self, name: str) -> _Control:
        return _Control(name, self.now, self._clock)

    def _started(self, name: str) -> _Entry:
        entry = _Entry(ids.HostId(name))
        entry.counting = retrycounts.RetryCounter(
            _BUDGET.window,
            self.now,
            entry.granter,
        )
        entry.standalone_budgets = retrybudget.RetryBudgets(
            _BUDGET,
            retrybudget.ALONE,
            self.now,
        )
        return entry

    def _step(self) -> None:
        for entry in self.entries:
            found = self.controls[self.leader ^ entry.stays]
            if entry.partitioned_at is None:
                self._exchange(found, entry)
                self._offer(entry, found.budgets)
            elif self.now - entry.partitioned_at >= _MISSED_SECONDS:
                self._offer(entry, entry.standalone_budgets)

    def _exchange(self, found: _Control, entry: _Entry) -> None:
        found.hosts.heard(entry.host_id, self.now)
        if entry.reported_to is not found:
            entry.reported_to = found
            counts = entry.counting.counts_for(found.host_id, self.now)
            found.budgets.apply_report(entry.host_id, counts, self.now)

    def _offer(
        self,
        entry: _Entry,
        budgets: retrybudget.RetryBudgets,
    ) -> None:
        """Send new requests, and all retries that are granted."""
        for _ in range(self.rate):
            self.asked.append(self.now)
            budgets.note_request(_POOL, self.now)
            entry.counting.note(_ASK, _GRANT, self.now)
        while self.fails and budgets.take(_POOL, self.now):
            budgets.granted(_POOL, self.now)
            entry.counting.note(_RETRY, _GRANT, self.now)
            self.sent.append(self.now)
            self.over = max(self.over, self._over())

    def _over(self) -> float:
        """Return by how many the window that ends now exceeds the budget."""
        window = _BUDGET.window
        asked = max(
            sum(end - window < at <= end for at in self.asked)
            for end in (self.now, self.now - window / 2, self.now - window)
        )
        sent = sum(self.now - window < at for at in self.sent)
        return sent - _BUDGET.ratio * asked - _BUDGET.slack


TestRetriesOverChanges = RetriesOverChanges.TestCase
TestRetriesOverChanges.settings = hypothesis.settings(
    deadline=None,
    derandomize=True,
    max_examples=60,
    stateful_step_count=14,
)


def test_restarts_of_all_entry_hosts_keep_to_the_budget() -> None:
    """Three times within a window, while all requests fail."""
    hosts = RetriesOverChanges()
    hosts.let_pass(6)
    for _ in range(3):
        hosts.restart_all()
        hosts.let_pass(2)
    hosts.no_window_holds_more_than_the_budget()


def test_budget_is_used_without_disturbances() -> None:
    """Four fifths of it, from a window after the start on."""
    hosts = RetriesOverChanges()
    hosts.let_pass(2 * _BUDGET.window)
    sent = sum(hosts.now - _BUDGET.window < at for at in hosts.sent)
    asked = len(_NAMES) * _USUAL_RATE * _BUDGET.window / _STEP
    allowed = _BUDGET.ratio * asked + _BUDGET.slack
    assert sent > 0.75 * allowed


def test_budget_is_used_after_a_change_of_coordinators() -> None:
    """Entry hosts report what was granted, so that nothing is held back."""
    hosts = RetriesOverChanges()
    hosts.let_pass(2 * _BUDGET.window)
    hosts.change_to_restarted_host()
    hosts.let_pass(_BUDGET.window / 2)
    sent = sum(hosts.now - _BUDGET.window < at for at in hosts.sent)
    asked = len(_NAMES) * _USUAL_RATE * _BUDGET.window / _STEP
    allowed = _BUDGET.ratio * asked + _BUDGET.slack
    assert sent > 0.6 * allowed


def test_host_that_is_partitioned_for_long_uses_only_its_share() -> None:
    """The others leave it that share while it is partitioned, and after it."""
    hosts = RetriesOverChanges()
    hosts.let_pass(2 * _BUDGET.window)
    hosts.make_unreachable(0)
    hosts.set_rate(0)
    hosts.let_pass(3.4 * _BUDGET.window)
    hosts.restart(0)
    hosts.make_reachable(0)
    hosts.let_pass(_BUDGET.window)
    hosts.no_window_holds_more_than_the_budget()
