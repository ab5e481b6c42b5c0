"""Summary of a pool for other hosts: capacity, waits, lowest tier served."""

import collections

from geraniumweir.common import ids
from geraniumweir.scheduling import deadline_state, requests, shedding


def summarize(
    leader: deadline_state.DeadlineLeaderState,
) -> requests.PoolSummary:
    """Return the summary of a pool."""
    waits = tuple(_wait(leader, tier) for tier in ids.Tier)
    return requests.PoolSummary(
        leader.cfg.pool,
        _model_capacity(leader),
        waits,
        _lowest_served(leader),
        max(wait.oldest for wait in waits),
    )


def _model_capacity(
    leader: deadline_state.DeadlineLeaderState,
) -> tuple[requests.ModelCapacity, ...]:
    slots: collections.Counter[str] = collections.Counter()
    free: collections.Counter[str] = collections.Counter()
    for server in leader.servers.values():
        capacity = server.capacity()
        for model in server.kind.models or ('',):
            slots[model] += capacity
            free[model] += max(capacity - len(server.running), 0)
    return tuple(
        requests.ModelCapacity(name, slots[name], free[name])
        for name in sorted(slots)
    )


def _wait(
    leader: deadline_state.DeadlineLeaderState, tier: ids.Tier
) -> requests.TierWait:
    queue = leader.by_tier[tier]
    oldest = float(0)
    if queue:
        # In order of arrival: the first is the oldest.
        oldest = leader.now() - next(iter(queue.values())).arrived
    return requests.TierWait(
        tier,
        len(queue),
        oldest,
        shedding.expected_wait(leader, tier),
        leader.running_by_tier[tier],
    )


def _lowest_served(
    leader: deadline_state.DeadlineLeaderState,
) -> ids.Tier | None:
    served = [
        tier
        for tier in ids.Tier
        if leader.running_by_tier[tier] or leader.by_tier[tier]
    ]
    return max(served, default=None)
