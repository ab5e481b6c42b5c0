"""What callers get under load; figures with the rule that each one guards."""

from geraniumweir.scheduling.ontime.tests import play

# Slots for 40 requests a second: 20 slots of half a second.
_USUAL = 36


def test_usual_load_is_served_on_time() -> None:
    """Nine tenths of what the slots take leave no one waiting for long."""
    result = play.run(play.Load([_USUAL] * 10))
    assert result.share(1, 9) > 0.98


def test_burst_is_over_when_it_is_over() -> None:
    """A burst of 3 s must not make the usual load behind it late.

    With late requests served just before their callers left, and repeats
    taken for newcomers, the four seconds behind it had 0.03 to 0.08 of their
    worth; with them behind whatever can be on time 0.9 and more here.
    """
    load = [_USUAL] * 3 + [3 * _USUAL] * 3 + [_USUAL] * 8
    result = play.run(play.Load(load))
    assert result.share(8, 12) > 0.9


def test_slots_are_used_in_overload() -> None:
    """At three times the load a third can be on time; most of it is."""
    load = [_USUAL] * 3 + [3 * _USUAL] * 5 + [_USUAL]
    result = play.run(play.Load(load))
    assert result.share(4, 6) > 0.25
