"""Order of other failure domains for requests that the own can't serve.

Summaries are out of date by the time they are read, so they only order the
pools; none is excluded because of its summary. Each failure domain gets at
most one slot request for a request, and no leader forwards slot requests, so
there are no loops.
"""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, views

_CAPACITY_REASONS = frozenset(
    (
        requests.DenialReason.shed,
        requests.DenialReason.too_late,
        requests.DenialReason.queue_full,
        requests.DenialReason.no_server,
        requests.DenialReason.not_leader,
        requests.DenialReason.no_answer,
        requests.DenialReason.leader_busy,
    ),
)


def is_for_capacity(denial: requests.Denial) -> bool:
    """Return whether another pool may still serve the denied request."""
    return denial.reason in _CAPACITY_REASONS


def in_order(
    slot_request: requests.SlotRequest,
    pools: typing.Iterable[views.RemotePool],
) -> list[views.RemotePool]:
    """Sort pools, the best for a slot request first.

    Pools with free capacity for its model come first, then those that serve
    a lower tier, which can be preempted, then by expected wait.

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
