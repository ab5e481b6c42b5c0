"""A customer that requests all it can get stays within its quota.

One entry host is partitioned from the coordinator and reachable again,
repeatedly. While it is partitioned it grants by itself.
"""

import dataclasses

import pytest
from geraniumweir.common import ids
from geraniumweir.control import reachable_hosts
from geraniumweir.scheduling import quotas
from hypothesis import given, settings
from hypothesis import strategies as st

_CUSTOMER = ids.CustomerName('customer')
_UNREACHABLE = ids.HostId('cut-off')
_NEAR = ids.HostId('near')
_SECONDS = 8
_ALLOWANCE = quotas.Allowance(per_second=100, burst=200)
_QUOTA = _ALLOWANCE.per_second * _SECONDS + _ALLOWANCE.burst
# Grants allowed beyond a quota, as a fraction of it: both sides grant from when
# the host misses an answer until the coordinator misses the host, 0.8 s of 8 s,
# and a host that begins to grant has its share of the burst.
_EXCESS_RATIO = 0.2
_STEP = 0.2
_COST = 5
# A host detects a missed answer of its coordinator after this time.
_MISSED_SECONDS = 0.4


@dataclasses.dataclass
class _Bed:
    """A coordinator and an entry host that may be partitioned from it."""

    now: float = 100
    granted_share: float = 0
    partitioned_at: float | None = None

    def __post_init__(self) -> None:
        self.hosts = reachable_hosts.EntryHosts(_SECONDS)
        self.hosts.start_term(self.now)
        self.granted: list[tuple[float, float]] = []
        self.central = self._quotas(
            lambda: self.hosts.reachable_share(self.now),
        )
        self.standalone_quotas = self._quotas(lambda: self.granted_share)

    def play(self, seconds: float, *, cut: bool) -> None:
        """Let time pass with the host reachable or partitioned."""
        self.partitioned_at = self.now if cut else None
        if cut:
            self.standalone_quotas.begin(self.now + _MISSED_SECONDS)
        for _ in range(round(seconds / _STEP)):
            self.now += _STEP
            self._step()

    def max_in_a_window(self) -> float:
        """Return the largest amount that was granted in any window."""
        max_granted: float = 0
        within: float = 0
        oldest = 0
        for at, cost in self.granted:
            within += cost
            while self.granted[oldest][0] <= at - _SECONDS:
                within -= self.granted[oldest][1]
                oldest += 1
            max_granted = max(max_granted, within)
        return max_granted

    def _step(self) -> None:
        self.hosts.heard(_NEAR, self.now)
        if self.partitioned_at is None:
            self._exchange()
            self._take_all(self.central, (_NEAR, _UNREACHABLE))
            return
        self._take_all(self.central, (_NEAR,))
        if self.now - self.partitioned_at >= _MISSED_SECONDS:
            self._take_all(self.standalone_quotas, ())

    def _exchange(self) -> None:
        self.hosts.heard(_UNREACHABLE, self.now)
        self.granted_share = self.hosts.share_of(_UNREACHABLE, self.now)
        self.hosts.set_share(_UNREACHABLE, self.granted_share)

    def _take_all(
        self,
        counted: quotas.Quotas,
        requesters: tuple[ids.HostId, ...],
    ) -> None:
        while not counted.take(_CUSTOMER, _COST, self.now):
            self.granted.append((self.now, _COST))
            for host_id in requesters:
                part = _COST / len(requesters)
                self.hosts.demand.record(host_id, part, self.now)

    def _quotas(self, share: quotas.Share) -> quotas.Quotas:
        return quotas.Quotas(lambda _: _ALLOWANCE, share, _SECONDS, self.now)


_PHASES = st.lists(
    st.tuples(st.floats(0.2, 12), st.floats(0.2, 14)),
    min_size=1,
    max_size=4,
)


@settings(deadline=None)
@given(_PHASES)
def test_no_window_holds_more_than_the_quota(
    phases: list[tuple[float, float]],
) -> None:
    """However long the partitions are, and the times between them."""
    bed = _Bed()
    bed.play(10, cut=False)
    for cut, whole in phases:
        bed.play(cut, cut=True)
        bed.play(whole, cut=False)
    assert bed.max_in_a_window() <= _QUOTA * (1 + _EXCESS_RATIO)


@pytest.mark.parametrize('cut', [3, 7, 12])
def test_all_of_the_quota_is_granted_again(cut: float) -> None:
    """A window after the partition has ended."""
    bed = _Bed()
    bed.play(10, cut=False)
    bed.play(cut, cut=True)
    bed.play(_SECONDS + _STEP, cut=False)
    assert bed.hosts.reachable_share(bed.now) == pytest.approx(1)


def test_new_coordinator_assumes_no_earlier_partitions() -> None:
    """Messages from before it coordinated do not indicate partitions."""
    hosts = reachable_hosts.EntryHosts(_SECONDS)
    hosts.heard(_NEAR, 0)
    hosts.start_term(5)
    hosts.heard(_NEAR, 5.1)
    assert hosts.reachable_share(5.1) == 1
