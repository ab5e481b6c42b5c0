"""Bounds on what membership costs; the counts are the same on every run."""

import pytest
from geraniumweir.common import virtual
from geraniumweir.fakes import bench_membership


@pytest.mark.parametrize(
    ('domains', 'per_domain', 'loaded', 'sent', 'most'),
    [
        (1, 8, False, 650, 700),
        (2, 4, False, 320, 390),
        (2, 4, True, 700, 1130),
    ],
)
def test_cost_stays_in_bounds(
    domains: int,
    per_domain: int,
    *,
    loaded: bool,
    sent: float,
    most: float,
) -> None:
    """Bytes a second, on average and of the busiest host."""
    cost = virtual.run(
        bench_membership.measure(domains, per_domain, loaded=loaded),
    )
    assert cost.sent <= sent
    assert cost.most_sent <= most
