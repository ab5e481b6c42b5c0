"""Tests that quotas hold over every window, also when coordinators change."""

import collections

from geraniumweir.common import ids
from geraniumweir.scheduling import quotas
from hypothesis import given
from hypothesis import strategies as st

_NAME = ids.CustomerName('customer')
_RATE = 100
_BURST = 50
_SECONDS = 8
# Bins of a window end a moment before or after it.
_SLACK = 2 * _RATE


def _quotas(share: float = 1, start: float = 100) -> quotas.Quotas:
    return quotas.Quotas(
        lambda _: quotas.Allowance(_RATE, _BURST),
        lambda: share,
        _SECONDS,
        start,
    )


def _full_at(now: float) -> quotas.Quotas:
    """Return the quotas of a coordinator that has served for a long time."""
    counted = _quotas()
    counted.take(_NAME, 1, now - 10 * _SECONDS)
    return counted


@given(
    st.lists(
        st.tuples(st.floats(0, 1), st.integers(1, 200), st.integers(0, 2)),
        max_size=80,
    ),
)
def test_no_window_holds_more_than_the_quota(
    asks: list[tuple[float, int, int]],
) -> None:
    """It holds for all arrival times, costs and ranks."""
    counted = _quotas()
    now = float(100)
    taken: collections.deque[tuple[float, int]] = collections.deque()
    for pause, cost, rank in asks:
        now += pause
        if not counted.take(_NAME, cost, now, rank):
            taken.append((now, cost))
        while taken and taken[0][0] <= now - _SECONDS:
            taken.popleft()
        used = sum(amount for _, amount in taken)
        assert used <= _RATE * _SECONDS + _BURST + _SLACK


def test_new_coordinator_grants_no_second_window() -> None:
    """It assumes full usage for the time before its start."""
    before, after = _quotas(start=100), _quotas(start=110)
    granted = 0
    for now in range(100, 120):
        counted = before if now < 110 else after
        while not counted.take(_NAME, 10, now):
            if now >= 102:
                granted += 10
    assert granted <= 18 * _RATE + 2 * (_BURST + _RATE)


def test_customer_that_starts_late_has_its_full_window() -> None:
    """Its usage since the host coordinates is known to be zero."""
    counted = _quotas(start=100)
    full_window = _RATE * _SECONDS + _BURST
    assert not counted.take(_NAME, full_window, 100 + _SECONDS)
    assert counted.take(_NAME, 1, 100 + _SECONDS)


def test_each_side_of_a_partition_grants_its_share() -> None:
    """The shares add up to the full quota."""
    side, other = _quotas(0.25), _quotas(0.75)
    granted = 0
    for now in range(100, 140):
        for counted in (side, other):
            while not counted.take(_NAME, 5, now):
                granted += 5
    assert granted <= 40 * _RATE + 2 * _BURST + _SLACK


def test_last_part_of_a_quota_is_reserved_for_high_ranks() -> None:
    """Small requests of low rank would otherwise use up the quota."""
    counted = _full_at(200)
    taken = [not counted.take(_NAME, 1, 200, 2) for _ in range(1000)]
    assert not all(taken)
    assert not counted.take(_NAME, 100, 200, 0)


def test_request_that_was_not_served_is_refunded() -> None:
    """A refused request costs its customer nothing."""
    counted = _full_at(200)
    full_window = _RATE * _SECONDS + _BURST
    assert not counted.take(_NAME, full_window, 200)
    assert counted.take(_NAME, 1, 200)
    counted.refund(_NAME, full_window, 200)
    assert not counted.take(_NAME, 1, 200)


def test_late_refund_gives_no_credit() -> None:
    """A charge that is refunded after a wait allows no excess later."""
    counted = _full_at(200)
    full_window = _RATE * _SECONDS + _BURST
    assert not counted.take(_NAME, full_window - 10, 200)
    assert not counted.take(_NAME, 10, 207)
    counted.refund(_NAME, full_window - 10, 200)
    granted = 10
    while not counted.take(_NAME, 10, 208.5):
        granted += 10
    assert granted <= full_window
