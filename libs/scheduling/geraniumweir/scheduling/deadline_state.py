"""All that a pool leader knows; the decisions are free functions over it."""

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
    """All that a pool leader knows."""

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
    too_late_in_row: int = 0
    synced_at: float = float('-inf')
    ticker: asyncio.TimerHandle | None = None
