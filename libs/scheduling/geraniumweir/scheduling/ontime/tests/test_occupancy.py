"""The hold time of slots is estimated right while long requests still run.

The fault: in the first seconds of a load only short requests had ended, so the
pool was estimated as seven times as fast as it was. It didn't detect its
overload, served in the order of targets, and the most important requests, which
have the longest targets, were late.
"""

import itertools

import pytest
from geraniumweir.common import ids
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.ontime import occupancy, records
from geraniumweir.scheduling.ontime.tests import play

_ADDRESS = ids.Address('127.0.0.1', 1)


def test_running_requests_count_for_the_hold_time() -> None:
    """Nine short requests have ended, and one has run for 2 s so far."""
    usage = occupancy.Occupancy()
    for _ in range(9):
        usage.advance(2, usage.counted_at + 0.1)
        usage.record_end()
    usage.advance(1, 2)
    # 2.9 s of slot time and the guess, divided by nine ends and the guess.
    assert usage.hold_seconds(0.3) == pytest.approx(0.32, rel=0.15)


def test_important_are_on_time_in_the_first_seconds_of_overload() -> None:
    """Long, important requests need four fifths of 20 slots, short ones more.

    In all that is more than the pool has.
    """
    loads = {
        'long': play.Load(
            list(itertools.repeat(8, 8)),
            hold_seconds=2,
            target=0.8,
            patience=3.2,
        ),
        'short': play.Load(
            list(itertools.repeat(200, 8)),
            hold_seconds=0.1,
            target=0.3,
            patience=2,
            rank=2,
        ),
    }
    slots = tuple(itertools.repeat(5, 4))
    assert play.run_loads(loads, slots)['long'].share(0, 1) > 95


def test_grants_given_up_do_not_count_as_ends() -> None:
    """Their slots get free, which says nothing about the server's speed."""
    server_record = records.Server(play.server('a', 8))
    grant = requests.Grant(ids.RequestId('r'), *server_record.start, _ADDRESS)
    for number in range(40):
        slot_request = play.make_request('r', number)
        running = records.Running(slot_request, grant, number, 100, 0.06, 100)
        server_record.add_running(running, number)
        server_record.remove_running(
            slot_request.request_id, number, answered=False
        )
    pool_hold_seconds = 1
    assert (
        server_record.slot_usage.hold_seconds(pool_hold_seconds)
        == pool_hold_seconds
    )
