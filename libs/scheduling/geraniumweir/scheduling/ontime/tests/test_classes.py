"""A pool that lost servers, with callers of several classes in overload."""

import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling.ontime import classes
from geraniumweir.scheduling.ontime.tests import play

# Required percentage of each class's callers served in time in lasting
# overload.
_MIN_IN_TIME_PERCENT = 30
# A class may be served more often than a more important one by so much.
_MAX_AHEAD_PERCENT = 5
_SECONDS = 40
# The most important class gets a third of the slots, whatever else arrives, as
# a percentage of its callers where they could take all slots.
_MIN_MOST_IMPORTANT_PERCENT = 33
# From this second on the counts cover the overload.
_FIRST_MEASURED_SECOND = 10
_SLOTS = (13, 13, 13)


def _loads(long: float, middle: float, short: float) -> dict[str, play.Load]:
    """Return loads of three classes; rates are callers a second."""
    return {
        'long': _load(long, 1.3, target=0.6, rank=0, tokens=380),
        'middle': _load(middle, 1.0, target=0.3, rank=1, tokens=290),
        'short': _load(short, 0.16, target=0.3, rank=2, tokens=24),
    }


def _load(rate: float, hold_seconds: float, **changes: typing.Any) -> play.Load:
    return play.Load(
        tuple(itertools.repeat(rate, _SECONDS)), hold_seconds, **changes
    )


def test_no_class_starves_in_lasting_overload() -> None:
    """Each class gets its share, and none overtakes a more important one."""
    for long in (10, 15, 20, 30):
        results = play.run_loads(_loads(long, 40, 40), _SLOTS)
        shares = {
            name: result.share(_FIRST_MEASURED_SECOND, _SECONDS - 1)
            for name, result in results.items()
        }
        assert min(shares.values()) >= _MIN_IN_TIME_PERCENT, shares
        most = shares['long'] + _MAX_AHEAD_PERCENT
        assert max(shares.values()) <= most, shares
        assert shares['long'] >= _MIN_MOST_IMPORTANT_PERCENT, shares


def test_tiers_stay_strict() -> None:
    """A class of a lower tier has no deficit against a higher tier."""
    shares = classes.Shares()
    high = classes.Class(ids.Tier.high, 0)
    low = classes.Class(ids.Tier.normal, 0)
    lowest = classes.Class(ids.Tier.normal, 1)
    for _ in range(100):
        for one in (high, low, lowest):
            shares.record_arrival(one, 0)
        shares.record_grant(high, 1, late=False, now=0)
    assert not shares.deficits(0)
    for _ in range(50):
        shares.record_grant(low, 1, late=False, now=0)
    assert list(shares.deficits(0)) == [lowest]


def test_class_that_needs_few_slots_is_not_starved_by_another() -> None:
    """Another class uses up the slot time for deficits."""
    shares = classes.Shares()
    first, large, small = (
        classes.Class(ids.Tier.normal, rank) for rank in range(3)
    )
    for _ in range(100):
        for one in (first, large, small):
            shares.record_arrival(one, 0)
        shares.record_grant(first, 1, late=False, now=0)
    for _ in range(30):
        shares.record_grant(large, 10, late=False, now=0, for_deficit=True)
    assert list(shares.deficits(0)) == [small]


def test_late_grants_do_not_count_as_served() -> None:
    """A class that is only served late has a deficit all the same."""
    shares = classes.Shares()
    first = classes.Class(ids.Tier.normal, 0)
    second = classes.Class(ids.Tier.normal, 1)
    for _ in range(100):
        shares.record_arrival(first, 0)
        shares.record_arrival(second, 0)
        shares.record_grant(first, 1, late=False, now=0)
        shares.record_grant(second, 1, late=True, now=0)
    assert list(shares.deficits(0)) == [second]


def test_deficit_ends_after_overload() -> None:
    """Counts cover the last seconds, whatever the clock's origin."""
    shares = classes.Shares()
    first = classes.Class(ids.Tier.normal, 0)
    second = classes.Class(ids.Tier.normal, 1)
    for at in range(1_000_000, 1_001_000):
        shares.record_arrival(first, at)
        shares.record_grant(first, 1, late=False, now=at)
        shares.record_arrival(second, at)
    assert list(shares.deficits(1_001_000)) == [second]
    for at in range(1_001_000, 1_001_020):
        shares.record_arrival(second, at)
        shares.record_grant(second, 1, late=False, now=at)
    assert not shares.deficits(1_001_020)
