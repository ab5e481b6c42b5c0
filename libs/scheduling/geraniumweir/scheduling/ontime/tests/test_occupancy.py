"""A leader knows how fast its pool works while long requests still run.

A pool was taken for seven times as fast as it was for the first seconds of a
load, since only short requests had ended by then. So it didn't see that it
was overloaded, served in the order of targets, and the most important, which
have the longest ones, were late.
"""

import itertools

import pytest
from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import occupancy, records
from geraniumweir.scheduling.ontime.tests import play

_ADDRESS = ids.Address('127.0.0.1', 1)


def test_those_that_still_run_count() -> None:
    """Nine short requests have ended, and one has run for 2 s so far."""
    found = occupancy.Occupancy()
    for _ in range(9):
        found.advance(2, found.counted_at + 0.1)
        found.record_end()
    found.advance(1, 2)
    # In all 2.9 s on slots and the guess, by nine ends and the guess.
    assert found.hold_seconds(0.3) == pytest.approx(0.32, rel=0.15)


def test_important_are_on_time_in_the_first_seconds_of_overload() -> None:
    """Long and important ones keep four fifths of 20 slots, short ones more."""
    loads = {
        'long': play.Load(
            list(itertools.repeat(8, 8)),
            held=2,
            target=0.8,
            patience=3.2,
        ),
        'short': play.Load(
            list(itertools.repeat(200, 8)),
            held=0.1,
            target=0.3,
            patience=2,
            rank=2,
        ),
    }
    slots = tuple(itertools.repeat(5, 4))
    assert play.run_together(loads, slots)['long'].share(0, 1) > 95


def test_grants_given_up_are_no_ends() -> None:
    """Their slots are free again, which says nothing of the server's pace."""
    found = records.Server(play.server('a', 8))
    grant = requests.Grant(ids.RequestId('r'), *found.start, _ADDRESS)
    for number in range(40):
        made = play.slot_request('r', number)
        running = records.Running(made, grant, number, 100, 0.06, 100)
        found.add_running(running, number)
        found.remove_running(made.request_id, number, answered=False)
    pool_hold_seconds = 1
    assert found.slot_usage.hold_seconds(pool_hold_seconds) == pool_hold_seconds
