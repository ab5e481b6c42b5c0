"""What hosts make of a limit that a server names."""

import pytest
from geraniumweir.common import ids
from geraniumweir.scheduling import ratelimits, rendezvous

_SERVER = ids.ServerId('s')


@pytest.mark.parametrize('hosts', [1, 6, 40, 195])
def test_hosts_that_are_alone_keep_a_limit_together(hosts: int) -> None:
    """Each has saved up all that it may when requests come."""
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
