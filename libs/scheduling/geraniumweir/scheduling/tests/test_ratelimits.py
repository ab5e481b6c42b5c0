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


# A pool whose servers bear no rejection got no request any more, also after
# they had ceased to say so.
@pytest.mark.parametrize('per_second', [0, 1, 5])
def test_server_that_bears_no_rejection_is_asked_by_the_coordinator(
    per_second: int,
) -> None:
    """One request at a time; only an answer can lift the limit."""
    share = ratelimits.share_of_rejections(per_second, 1, 0.5)
    budget = ratelimits.RejectionBudget(share)
    most = max(per_second, 1)
    assert budget.allowed(0, now=100) == most
    assert budget.allowed(most, now=100) == 0


def test_hosts_that_are_alone_share_the_request_of_such_a_server() -> None:
    """Each draws its part of one request."""
    shares = [
        ratelimits.share_of_rejections(0, 1 / 390, number / 390)
        for number in range(390)
    ]
    assert sum(shares) == 1
