"""Tests of the division of a server's rate limit among hosts."""

import pytest
from geraniumweir.common import ids
from geraniumweir.scheduling import ratelimits, rendezvous

_SERVER = ids.ServerId('s')


@pytest.mark.parametrize('hosts', [1, 6, 40, 195])
def test_partitioned_hosts_observe_a_limit_together(hosts: int) -> None:
    """Each has the maximum of tokens when requests arrive."""
    limit = 1.9
    throttles = [
        ratelimits.Throttle(
            ratelimits.share_of_limit(
                limit,
                1 / hosts,
                rendezvous.rand(ids.HostId(f'10.0.0.{number}'), _SERVER),
            ),
            at=0,
        )
        for number in range(hosts)
    ]
    granted = 0
    for tick in range(41):
        for throttle in throttles:
            while throttle.ready(100 + tick / 10):
                throttle.take()
                granted += 1
    assert 1 <= granted <= 1.5 * limit * 4 + 5
