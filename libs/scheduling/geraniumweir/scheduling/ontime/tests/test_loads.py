"""What callers get under load; figures with the rule that each one guards."""

import itertools
import typing

from geraniumweir.scheduling.ontime.tests import play

# Slots for 40 requests a second: 20 slots of half a second.
_USUAL = 36


def _for(seconds: int, times: int = 1) -> typing.Iterator[int]:
    """Give the usual rate, or several times it, for some seconds."""
    return itertools.repeat(times * _USUAL, seconds)


def test_usual_load_is_served_on_time() -> None:
    """Nine tenths of what the slots take leave no one waiting for long."""
    result = play.run(play.Load(list(_for(10))))
    assert result.share(1, 9) > 98


def test_burst_is_over_when_it_is_over() -> None:
    """A burst of 3 s must not make the usual load behind it late.

    With late requests served just before their callers left, and repeats
    taken for newcomers, the four seconds behind it had 0.03 to 0.08 of their
    worth; with them behind whatever can be on time 0.9 and more here.
    """
    load = (*_for(3), *_for(3, times=3), *_for(8))
    result = play.run(play.Load(load))
    assert result.share(8, 12) > 90


def test_slots_are_used_in_overload() -> None:
    """At three times the load a third can be on time; most of it is."""
    load = (*_for(3), *_for(5, times=3), *_for(1))
    result = play.run(play.Load(load))
    assert result.share(4, 6) > 25


def test_grants_given_up_leave_the_pool_its_slots() -> None:
    """One in five callers leaves as it is granted a slot, in overload.

    20 slots of 0.3 s serve 66 a second, and 130 come. Taken for servers that
    couldn't be reached, the grants that owners gave up shut them one after
    the other: 47 of 100 callers were on time. 53 are, as many as where nobody
    leaves.
    """
    rates = (52, 52, *itertools.repeat(130, 6), 52)
    load = play.Load(rates, held=0.3, given_up=0.2)
    slots = tuple(itertools.repeat(2, 10))
    result = play.run_together({'': load}, slots)['']
    assert result.share(2, 7) > 50


def test_large_pool_sees_its_newcomers_in_overload() -> None:
    """Hundreds may wait and be on time; what is late keeps none from it.

    280 slots of half a second serve 560 a second, and 1,000 come. With the
    oldest 256 planned 6 of 100 callers in the overload were on time, and 51
    with all of them.
    """
    rates = (450, 450, *itertools.repeat(1000, 5), 450)
    result = play.run(play.Load(rates, slots=280))
    assert result.share(4, 6) > 45
