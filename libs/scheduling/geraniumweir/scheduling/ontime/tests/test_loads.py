"""Responses in time under load, each with the rule that the figure guards."""

import itertools
import typing

from geraniumweir.scheduling.ontime.tests import play

# Requests a second, for slots that serve 40: 20 slots of half a second.
_USUAL_RATE = 36


def _rates(seconds: int, times: int = 1) -> typing.Iterator[int]:
    """Return the usual rate, or a multiple of it, for some seconds."""
    return itertools.repeat(times * _USUAL_RATE, seconds)


def test_usual_load_is_served_on_time() -> None:
    """At nine tenths of the capacity no request waits for long."""
    result = play.run(play.Load(list(_rates(10))))
    assert result.share(1, 9) > 98


def test_burst_does_not_delay_the_usual_load_after_it() -> None:
    """A burst of 3 s must not make the usual load after it late.

    When late requests were served just before their callers left, and repeats
    counted as new requests, the four seconds after it had 0.03 to 0.08 of their
    worth; with late requests after all that can be on time it is 0.9 and more
    here.
    """
    load = (*_rates(3), *_rates(3, times=3), *_rates(8))
    result = play.run(play.Load(load))
    assert result.share(8, 12) > 90


def test_slots_are_used_in_overload() -> None:
    """At three times the load a third can be on time; most of it must be."""
    load = (*_rates(3), *_rates(5, times=3), *_rates(1))
    result = play.run(play.Load(load))
    assert result.share(4, 6) > 25


def test_grants_given_up_start_no_cooldowns() -> None:
    """One in five callers leaves as it is granted a slot, in overload.

    20 slots of 0.3 s serve 66 a second, and 130 come. When grants given up by
    their owners counted as unreachable servers, one server after the other got
    a cooldown, and 47 of 100 callers were on time. Now 53 are, as many as where
    no caller leaves.
    """
    rates = (52, 52, *itertools.repeat(130, 6), 52)
    load = play.Load(rates, hold_seconds=0.3, given_up_ratio=0.2)
    slots = tuple(itertools.repeat(2, 10))
    result = play.run_loads({'': load}, slots)['']
    assert result.share(2, 7) > 50


def test_large_pool_plans_new_requests_in_overload() -> None:
    """Hundreds may wait and be on time; late requests must not displace them.

    280 slots of half a second serve 560 a second, and 1,000 come. With only the
    oldest 256 planned 6 of 100 callers in the overload were on time, and 51
    with all of them.
    """
    rates = (450, 450, *itertools.repeat(1000, 5), 450)
    result = play.run(play.Load(rates, slots=280))
    assert result.share(4, 6) > 45
