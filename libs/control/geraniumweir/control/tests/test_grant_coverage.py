"""A coordinator knows whether it lacks grants of entry hosts."""

import math

from geraniumweir.common import ids
from geraniumweir.control import grant_coverage, ping_times
from geraniumweir.wire.gen.control import ttypes

_FIRST = ids.HostId('e0')
_SECOND = ids.HostId('e1')


def _covered(*host_ids: ids.HostId, at: float) -> grant_coverage.GrantCoverage:
    coverage = grant_coverage.GrantCoverage()
    for host_id in host_ids:
        coverage.record_ping(host_id, started=1, covered_until=at, now=at)
    return coverage


def test_host_with_the_oldest_ping_bounds_what_is_known() -> None:
    """One that pings another coordinator, too, covers nothing."""
    coverage = _covered(_FIRST, at=5)
    coverage.record_ping(_SECOND, started=1, covered_until=None, now=6)
    assert coverage.covered_until(6) == -math.inf
    coverage.record_ping(_SECOND, started=1, covered_until=5.5, now=6)
    assert coverage.covered_until(6) == 5
    assert coverage.uncovered(5.2, 6) == [_FIRST]
    assert not coverage.uncovered(5, 6)


def test_silent_host_is_missing_until_it_is_forgotten() -> None:
    """Its streams have ended or expired by then."""
    coverage = _covered(_FIRST, _SECOND, at=5)
    coverage.record_ping(_SECOND, started=1, covered_until=20, now=20)
    assert coverage.missing(20) == [_FIRST]
    assert coverage.covered_until(20) == 5
    assert coverage.covered_until(41) == 20
    assert coverage.count(41) == 1


def test_process_that_ended_without_a_word_may_have_begun_streams() -> None:
    """The next process of the host doesn't know them."""
    coverage = _covered(_FIRST, at=5)
    coverage.record_ping(_FIRST, started=2, covered_until=7, now=7)
    assert coverage.missing(8) == [_FIRST]
    assert coverage.covered_until(26) == -math.inf
    assert coverage.covered_until(28) == 7


def test_host_that_announced_its_end_lacks_nothing() -> None:
    """It had completed its requests."""
    coverage = _covered(_FIRST, _SECOND, at=5)
    coverage.remove(_FIRST)
    coverage.record_ping(_FIRST, started=2, covered_until=9, now=9)
    coverage.record_ping(_SECOND, started=1, covered_until=9, now=9)
    assert coverage.covered_until(9) == 9


def test_ping_that_travelled_long_covers_until_it_was_sent() -> None:
    """The clocks of both hosts differ."""
    times = ping_times.PingTimes()
    ping = ttypes.Ping()
    times.fill(_FIRST, ping, 90)
    assert ping_times.sent_at(ping) is None
    times.record(_FIRST, ttypes.Pong(stamp=ping_times.stamp(5)), 90)
    times.fill(_FIRST, ping, 90.2)
    assert math.isclose(ping_times.sent_at(ping), 5.2)
