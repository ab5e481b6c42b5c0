"""A pool that lost servers while callers of several classes press."""

import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling.ontime import classes
from geraniumweir.scheduling.ontime.tests import play

# Of each class in lasting overload callers ask for so much, in percent.
_ASKED_FOR = 30
# A class may be served more often than one of more importance by so much, in
# percent.
_AHEAD = 5
_SECONDS = 40
# What is most important has a third of the slots whatever else comes, in
# percent of its callers where they could take all of them.
_THIRD = 33
# From here on counts have seen the overload.
_FROM = 10
_SLOTS = (13, 13, 13)


def _loads(long: float, middle: float, short: float) -> dict[str, play.Load]:
    """Make three classes; rates are callers a second."""
    return {
        'long': _load(long, 1.3, target=0.6, rank=0, tokens=380),
        'middle': _load(middle, 1.0, target=0.3, rank=1, tokens=290),
        'short': _load(short, 0.16, target=0.3, rank=2, tokens=24),
    }


def _load(rate: float, held: float, **changes: typing.Any) -> play.Load:
    return play.Load(tuple(itertools.repeat(rate, _SECONDS)), held, **changes)


def test_no_class_starves_in_lasting_overload() -> None:
    """Each has the part that is asked for, and none overtakes another."""
    for long in (10, 15, 20, 30):
        found = play.run_together(_loads(long, 40, 40), _SLOTS)
        shares = {
            name: result.share(_FROM, _SECONDS - 1)
            for name, result in found.items()
        }
        assert min(shares.values()) >= _ASKED_FOR, shares
        most = shares['long'] + _AHEAD
        assert max(shares.values()) <= most, shares
        assert shares['long'] >= _THIRD, shares


def test_tiers_stay_strict() -> None:
    """A class of a lower tier is owed nothing, however little it gets."""
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


def test_class_that_needs_few_slots_is_not_kept_from_them() -> None:
    """The part of the slots that is owed is used up by another class."""
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


def test_late_grants_are_no_service() -> None:
    """A class that is served late only is owed slots all the same."""
    shares = classes.Shares()
    first = classes.Class(ids.Tier.normal, 0)
    second = classes.Class(ids.Tier.normal, 1)
    for _ in range(100):
        shares.record_arrival(first, 0)
        shares.record_arrival(second, 0)
        shares.record_grant(first, 1, late=False, now=0)
        shares.record_grant(second, 1, late=True, now=0)
    assert list(shares.deficits(0)) == [second]


def test_class_that_got_nothing_is_forgotten_as_overload_ends() -> None:
    """Counts are of the last seconds, whenever the clock began."""
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
