"""In which order other failure domains are asked when the own can't serve.

Summaries are old by the time they are read, so they only order the pools;
none is left out for what its summary says. Each failure domain is asked at
most once for one request, and no leader passes an ask on, so there are no
loops.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, views

_REASONS = frozenset(
    (
        requests.DenialReason.shed,
        requests.DenialReason.too_late,
        requests.DenialReason.queue_full,
        requests.DenialReason.no_server,
        requests.DenialReason.not_leader,
    ),
)


def is_for_capacity(denial: requests.Denial) -> bool:
    """Tell whether another pool may still serve what was denied."""
    return denial.reason in _REASONS


def in_order(
    slot_request: requests.SlotRequest,
    pools: typing.Iterable[views.RemotePool],
) -> list[views.RemotePool]:
    """Sort pools, the best for an ask first.

    First those with free capacity for its model, then those that serve a
    lower tier, which can make room, then by expected wait.

    :param pools: one for each failure domain.
    """
    return sorted(
        pools,
        key=lambda pool: (
            -_free(slot_request, pool.summary),
            not _serves_lower(slot_request, pool.summary),
            _expected_wait(slot_request.tier, pool.summary),
            pool.domain,
        ),
    )


def _free(
    slot_request: requests.SlotRequest, summary: requests.PoolSummary
) -> int:
    return sum(
        capacity.free
        for capacity in summary.capacity
        if slot_request.model is None
        or capacity.model in ('', slot_request.model)
    )


def _serves_lower(
    slot_request: requests.SlotRequest, summary: requests.PoolSummary
) -> bool:
    lowest = summary.lowest_served
    return lowest is not None and lowest > slot_request.tier


def _expected_wait(tier: ids.Tier, summary: requests.PoolSummary) -> float:
    return sum(wait.expected for wait in summary.waits if wait.tier == tier)
