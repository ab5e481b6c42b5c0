"""State of a pool leader for requests with a deadline.

The decisions are free functions over it, in other modules.
"""

import asyncio
import collections
import dataclasses
import random
import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import (
    deadline_records,
    estimating,
    fairqueue,
    limits,
    openings,
    prefix,
    requests,
    retries,
    settings,
    suspects,
    victims,
)


@dataclasses.dataclass(slots=True, eq=False)
class DeadlineLeaderState:
    """State of a pool leader.

    :ivar takeover_complete: all owners have handed over their grants, so the
        leader may grant.
    :ivar takeover_ends_at: when it grants even without that, in seconds.
    :ivar live: returns the servers that may get new work.
    :ivar live_server_at: when the pool last had a live server.
    :ivar held: waiting suspects, by request id.
    :ivar orphans: adopted grants of servers that are not announced here yet.
    :ivar preemptible: running streams that may be preempted.
    :ivar due: heap of the times at which grants are checked for progress.
    :ivar slots: requests that all servers may run at a time.
    :ivar sequence: last number given to a request or a check.
    :ivar too_late_count: requests that looked too late since the start.
    :ivar synced_at: when the list of servers was last applied.
    """

    cfg: settings.LeaderSettings
    now: typing.Callable[[], float]
    live: typing.Callable[[], typing.Sequence[servers.Announcement]]
    on_preempt: typing.Callable[[requests.Preempt], None]
    takeover_complete: bool
    takeover_ends_at: float
    live_server_at: float
    rng: random.Random
    suspects: suspects.Suspects
    waiting: dict[ids.RequestId, deadline_records.Waiting] = dataclasses.field(
        default_factory=dict,
    )
    by_tier: dict[ids.Tier, dict[ids.RequestId, deadline_records.Waiting]] = (
        dataclasses.field(
            default_factory=lambda: {tier: {} for tier in ids.Tier},
        )
    )
    cost_by_tier: dict[ids.Tier, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(ids.Tier, float(0)),
    )
    queue: fairqueue.FairQueue[
        deadline_records.ServerClass, deadline_records.Waiting
    ] = dataclasses.field(
        default_factory=fairqueue.FairQueue,
    )
    held: dict[ids.RequestId, deadline_records.Waiting] = dataclasses.field(
        default_factory=dict,
    )
    running: dict[ids.RequestId, deadline_records.Running] = dataclasses.field(
        default_factory=dict,
    )
    running_by_tier: dict[ids.Tier, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(ids.Tier, 0),
    )
    orphans: dict[
        ids.ServerId, dict[ids.RequestId, deadline_records.Running]
    ] = dataclasses.field(default_factory=dict)
    running_fingerprints: collections.Counter[ids.Fingerprint] = (
        dataclasses.field(
            default_factory=collections.Counter,
        )
    )
    cost_by_flow: collections.Counter[fairqueue.Flow] = dataclasses.field(
        default_factory=collections.Counter,
    )
    rules: dict[ids.RuleName, deadline_records.RuleCount] = dataclasses.field(
        default_factory=dict,
    )
    rates: limits.Rates = dataclasses.field(default_factory=limits.Rates)
    servers: dict[ids.ServerId, deadline_records.Server] = dataclasses.field(
        default_factory=dict,
    )
    classes: dict[tuple[typing.Any, ...], deadline_records.ServerClass] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    open_servers: openings.Openings[deadline_records.ServerClass] = (
        dataclasses.field(
            default_factory=openings.Openings,
        )
    )
    preemptible: victims.Victims[deadline_records.ServerClass] = (
        dataclasses.field(
            default_factory=victims.Victims,
        )
    )
    lengths: estimating.OutputLengthEstimates = dataclasses.field(
        default_factory=estimating.OutputLengthEstimates,
    )
    speeds: estimating.SpeedEstimates = dataclasses.field(
        default_factory=estimating.SpeedEstimates,
    )
    prefixes: prefix.PrefixIndex = dataclasses.field(
        default_factory=prefix.PrefixIndex,
    )
    budgets: retries.Retries = dataclasses.field(
        default_factory=retries.Retries,
    )
    due: list[tuple[float, int, ids.RequestId]] = dataclasses.field(
        default_factory=list,
    )
    slots: int = 0
    sequence: int = 0
    too_late_count: int = 0
    synced_at: float = float('-inf')
    ticker: asyncio.TimerHandle | None = None
