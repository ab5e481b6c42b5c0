"""Summaries of the load and capacity of pools, for other failure domains.

A pool leader may publish its summary at any rate; only a significant change
gets a new version in the table, and a reader requests what is newer than its
version. A pool without such changes therefore costs no messages between
domains.
"""

import dataclasses
import functools
import typing

from geraniumweir.common import ids
from geraniumweir.wire.gen.membership import ttypes

MAX_POOLS = 4096
MAX_MODELS = 64
_RELATIVE_STEP = 0.5
_WAIT_STEP_MS = 50
_SLOT_STEP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSummary:
    """Load and capacity of a pool in one failure domain.

    :ivar leader: host of the pool leader that published the summary.
    :ivar capacity: concurrent requests, by model.
    :ivar wait_ms: expected wait of a new request, by tier, highest tier first.
    :ivar free: requests that could start at once, by model as in capacity.
    :ivar lowest_tier: lowest tier being served or admitted; None without any.
    """

    failure_domain: ids.FailureDomain
    pool: ids.PoolName
    leader: ids.HostId
    capacity: tuple[tuple[str, int], ...] = ()
    wait_ms: tuple[int, ...] = ()
    free: tuple[int, ...] = ()
    lowest_tier: ids.Tier | None = None

    @property
    def free_slots(self) -> int:
        """Return the free slots of the model with the most."""
        return max(self.free, default=0)


PoolKey = tuple[ids.FailureDomain, ids.PoolName]


def key_of(summary: PoolSummary) -> PoolKey:
    """Return the failure domain and pool of a summary."""
    return summary.failure_domain, summary.pool


def is_significant(before: PoolSummary, after: PoolSummary) -> bool:
    """Return whether a change is significant enough to send.

    Waits and free slots must change by half. A change of the leader, the
    capacity or the lowest tier, or of whether there is a free slot, always is.
    """
    exact = ('leader', 'capacity', 'lowest_tier')
    if any(getattr(before, name) != getattr(after, name) for name in exact):
        return True
    if _any_changed(before.free, after.free, _SLOT_STEP):
        return True
    if list(map(bool, before.free)) != list(map(bool, after.free)):
        return True
    return _any_changed(before.wait_ms, after.wait_ms, _WAIT_STEP_MS)


def best_first(
    found: typing.Iterable[PoolSummary],
    tier: ids.Tier = ids.Tier.urgent,
) -> list[PoolSummary]:
    """Return summaries sorted: free slots first, then the shortest wait.

    :param tier: tier whose waits are compared.
    """

    return sorted(found, key=functools.partial(_order, tier))


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A summary and the versions of its last changes.

    :ivar full_version: of the last change of leader or capacity.
    """

    summary: PoolSummary
    version: int
    full_version: int


class SummaryTable:
    """Table of summaries with a version for each change.

    :ivar epoch: identifies this table; versions of different epochs can't be
        compared.
    :ivar version: of the last change.
    """

    def __init__(self, epoch: int) -> None:
        """Initialize without summaries."""
        self.epoch = epoch
        self.version = 0
        self._entries: dict[PoolKey, _Entry] = {}

    def record(self, summary: PoolSummary) -> bool:
        """Record a summary.

        :returns: whether it is a significant change and got a new version.
        """
        known = self._entries.get(key_of(summary))
        if known is None and len(self._entries) >= MAX_POOLS:
            return False
        if known is not None and not is_significant(known.summary, summary):
            return False
        self.version += 1
        full_version = self.version
        if known is not None and _same_leader_and_capacity(
            known.summary, summary
        ):
            full_version = known.full_version
        entry = _Entry(summary, self.version, full_version)
        self._entries[key_of(summary)] = entry
        return True

    def changes_since(
        self, epoch: int, version: int
    ) -> list[ttypes.PoolSummary]:
        """Return messages with the changes after a version of an epoch."""
        after = version if epoch == self.epoch else 0
        return [
            write(entry.summary, complete=entry.full_version > after)
            for entry in self._entries.values()
            if entry.version > after
        ]

    def merge(self, message: ttypes.PoolSummary) -> PoolSummary | None:
        """Read a message and complete it from the table.

        :returns: None where the table has no entry to complete it from.
        :raises ValueError: when the tier is unknown.
        """
        summary = read(message)
        if message.leader is not None:
            return summary
        known = self._entries.get(key_of(summary))
        if known is None:
            return None
        return dataclasses.replace(
            summary,
            leader=known.summary.leader,
            capacity=known.summary.capacity,
        )

    def of_pool(self, pool: ids.PoolName) -> list[PoolSummary]:
        """Return the summaries of a pool in all domains."""
        return [
            entry.summary
            for entry in self._entries.values()
            if entry.summary.pool == pool
        ]


def write(
    summary: PoolSummary,
    *,
    complete: bool = True,
) -> ttypes.PoolSummary:
    """Return the message of a summary.

    :param complete: with leader and capacity, which seldom change.
    """
    capacity = [
        ttypes.ModelCapacity(model, slots)
        for model, slots in summary.capacity[:MAX_MODELS]
    ]
    return ttypes.PoolSummary(
        failure_domain=summary.failure_domain,
        pool=summary.pool,
        wait_ms=list(summary.wait_ms),
        free=list(summary.free),
        lowest_tier=summary.lowest_tier,
        leader=summary.leader if complete else None,
        capacity=capacity if complete else None,
    )


def read(message: ttypes.PoolSummary) -> PoolSummary:
    """Return the summary in a message.

    :raises ValueError: when the tier is unknown.
    """
    lowest = message.lowest_tier
    return PoolSummary(
        failure_domain=ids.FailureDomain(message.failure_domain),
        pool=ids.PoolName(message.pool),
        leader=ids.HostId(message.leader or ''),
        capacity=tuple(
            (entry.model, entry.slots)
            for entry in (message.capacity or [])[:MAX_MODELS]
        ),
        wait_ms=tuple(message.wait_ms[: len(ids.Tier)]),
        free=tuple(message.free[:MAX_MODELS]),
        lowest_tier=None if lowest is None else ids.Tier(lowest),
    )


def _same_leader_and_capacity(before: PoolSummary, after: PoolSummary) -> bool:
    return before.leader == after.leader and before.capacity == after.capacity


def _any_changed(
    before: tuple[int, ...],
    after: tuple[int, ...],
    min_step: int,
) -> bool:
    if len(before) != len(after):
        return True
    return any(
        abs(new - old) >= max(min_step, int(old * _RELATIVE_STEP))
        for old, new in zip(before, after, strict=True)
    )


def _order(
    tier: ids.Tier,
    summary: PoolSummary,
) -> tuple[bool, int, int, str]:
    waits = summary.wait_ms
    wait = waits[min(tier, len(waits) - 1)] if waits else 0
    free = summary.free_slots
    return free <= 0, wait, -free, summary.failure_domain
