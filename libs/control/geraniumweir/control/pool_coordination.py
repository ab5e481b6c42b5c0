"""Creates the pool leaders of a coordinator, for itself or for other hosts."""

import dataclasses
import types
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.control import (
    enrolments,
    pool_servers,
    usage_codec,
)
from geraniumweir.rollout import controller
from geraniumweir.routing import finding
from geraniumweir.scheduling import (
    broker,
    channel,
    gating,
    notices,
    part_evidence,
    quotas,
    ratelimits,
    recent_usage,
    remote,
    rendezvous,
    requests,
    retrybudget,
    settings,
    views,
)
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire.gen.control import ttypes
from reactivex import abc

# All pools of hosts that reach each other are led in one place, so that
# different servers of several failure domains form one capacity.
ALL_DOMAINS = ids.FailureDomain('all')
# A new pool leader grants nothing for this time, while entry hosts hand over
# their grants; they do so within a few milliseconds after they find it. Later
# ones are taken over all the same.
_TAKEOVER_SECONDS = 0.1
# Entry hosts that contact this host before it detects that it coordinates do so
# within a check of the log (0.1 s) and a ping (0.2 s).
_EARLY_REPORT_SECONDS = 1.0

_NO_WEIGHTS: typing.Final[typing.Mapping[ids.CustomerName, float]] = (
    types.MappingProxyType({})
)

Index = typing.Callable[[], finding.Index | None]
OnSlotRequest = typing.Callable[[requests.SlotRequest], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What pool leaders on this host depend on.

    :ivar share: share of quotas, and of slots, that may be granted here.
    :ivar shares_slots: whether the share applies to slots too.
    :ivar quota_seconds: length of the window over which quotas hold.
    :ivar tolerance: for unknown usage of customers in the past.
    :ivar hosts: returns the number of entry hosts, also of those that were
        partitioned along with the previous coordinator.
    :ivar budget: the retries that all hosts together may send.
    :ivar retries: the hosts whose retries are counted here.
    :ivar on_slot_request: called with each slot request that arrives.
    :ivar guide: creates what decides about versions of a pool's servers.
    :ivar server_notices: notices of servers.
    :ivar on_new_leader: called with each new leader of a pool.
    :ivar on_stream_begin: called with each stream that begins.
    :ivar parts: what crashes show about prompt parts, for all pools.
    """

    link: channel.Channel
    view: views.HostView
    pool_servers: pool_servers.PoolServers
    index: Index
    share: quotas.Share
    shares_slots: bool
    quota_seconds: float
    hosts: typing.Callable[[], int]
    budget: retrybudget.Budget
    retries: retrybudget.Scope
    on_slot_request: OnSlotRequest | None = None
    tolerance: quotas.Tolerance = quotas.Tolerance()
    guide: (
        typing.Callable[[ids.PoolName], controller.RolloutController] | None
    ) = None
    server_notices: notices.Notices | None = None
    on_new_leader: typing.Callable[[leader.OnTimePoolLeader], None] | None = (
        None
    )
    on_stream_begin: remote.OnStreamBegin | None = None
    parts: part_evidence.PartEvidence = dataclasses.field(
        default_factory=part_evidence.PartEvidence
    )

    def rates(self) -> dict[notices.ServerIncarnation, float]:
        """Return the share of servers' rate limits that may be granted here."""
        named = self.server_notices.limits() if self.server_notices else {}
        share = self.share() if named else 1
        return {
            start: ratelimits.share_of_limit(
                per_second,
                share,
                rendezvous.rand(self.link.host_id, start[0]),
            )
            for start, per_second in named.items()
        }

    def rejections(self) -> dict[notices.ServerIncarnation, int]:
        """Return the share of servers' rejection limits to cause here."""
        if self.server_notices is None:
            return {}
        named = self.server_notices.rejection_limits()
        share = self.share() if named else 1
        return {
            start: ratelimits.share_of_rejections(
                per_second,
                share,
                rendezvous.rand(self.link.host_id, start[0]),
            )
            for start, per_second in named.items()
        }

    def pauses(
        self,
        host_id: ids.HostId,
    ) -> typing.Mapping[notices.ServerIncarnation, float]:
        """Return the servers that asked a host to pause, with end times."""
        return (
            self.server_notices.pauses(host_id) if self.server_notices else {}
        )


class UsageAccounting:
    """Counts quotas and retries, afresh whenever others coordinated before.

    :ivar quotas: of customers.
    :ivar retries: of pools.
    """

    def __init__(self, deps: Dependencies, clock: timers.TimerService) -> None:
        """Initialize from the present coordinator, and follow its changes."""
        self.quotas = quotas.Quotas(
            lambda customer: _allowance(deps.index(), customer),
            deps.share,
            deps.quota_seconds,
            clock.now(),
            deps.hosts,
            deps.tolerance,
        )
        self.retries = retrybudget.RetryBudgets(
            deps.budget,
            deps.retries,
            clock.now(),
        )
        self._deps = deps
        self._clock = clock
        self._is_coordinator = _is_coordinator(deps)
        self._is_log_leader = deps.retries.leads()
        self._reports: dict[
            ids.HostId, tuple[recent_usage.RecentUsage, float]
        ] = {}
        deps.view.changes.subscribe(lambda _: self._restart_windows())
        deps.link.handle(ttypes.Spent, self._on_spent)

    def _restart_windows(self) -> None:
        """Restart counting when this host becomes the coordinator.

        Reports that arrived shortly before count too, as entry hosts may detect
        that this host coordinates before it does itself.
        """
        was_coordinator, was_log_leader = (
            self._is_coordinator,
            self._is_log_leader,
        )
        self._is_coordinator = _is_coordinator(self._deps)
        self._is_log_leader = self._deps.retries.leads()
        now = self._clock.now()
        begins = self._is_coordinator and not was_coordinator
        if begins:
            self.quotas.begin(now)
            for sender, usage, received_at in self._recent_reports(now):
                self.quotas.apply_report(sender, usage, received_at)
        if begins or (self._is_log_leader and not was_log_leader):
            self.retries.begin(now)
            for sender, usage, received_at in self._recent_reports(now):
                self.retries.apply_report(sender, usage.retries, received_at)

    def _recent_reports(
        self,
        now: float,
    ) -> typing.Iterator[tuple[ids.HostId, recent_usage.RecentUsage, float]]:
        for sender, (usage, received_at) in self._reports.items():
            if now - received_at <= _EARLY_REPORT_SECONDS:
                yield sender, usage, received_at

    async def _on_spent(
        self,
        sender: ids.HostId,
        message: ttypes.Spent,
    ) -> None:
        now = self._clock.now()
        usage = usage_codec.unpack(message)
        self._reports = {
            host: found
            for host, found in self._reports.items()
            if now - found[1] <= _EARLY_REPORT_SECONDS
        }
        self._reports[sender] = (usage, now)
        self.quotas.apply_report(sender, usage, now)
        self.retries.apply_report(sender, usage.retries, now)


def _is_coordinator(deps: Dependencies) -> bool:
    live = deps.view.live(ALL_DOMAINS)
    return not live or deps.link.host_id in live


def make_leader_service(
    deps: Dependencies,
    clock: timers.TimerService,
) -> remote.LeaderService:
    """Return the service that leads pools whenever this host coordinates."""
    counting = UsageAccounting(deps, clock)
    return remote.LeaderService(
        deps.link,
        deps.view,
        ALL_DOMAINS,
        lambda pool, _on_preempt: _leader(deps, pool, clock),
        clock,
        gating.Gate(
            counting.quotas,
            counting.retries,
            clock.now,
            deps.on_slot_request,
        ),
        deps.on_stream_begin,
    )


def make_pool_servers(
    table: enrolments.Enrolments, index: Index
) -> pool_servers.PoolServers:
    """Return the servers of pools as a control host knows them."""
    return pool_servers.PoolServers(table, index)


def make_broker(
    link: channel.Channel,
    view: views.HostView,
    clock: timers.TimerService,
    awaits_election: typing.Callable[[], bool],
) -> broker.Broker:
    """Return the broker that requests slots from the current coordinator.

    :param awaits_election: returns whether another one is about to.
    """
    return broker.Broker(
        link,
        ALL_DOMAINS,
        view,
        _NoRemotePools(),
        clock,
        awaits_election,
    )


def grant_on_changes(
    service: remote.LeaderService,
    changes: reactivex.Observable[typing.Any],
) -> abc.DisposableBase:
    """Let pool leaders grant again when servers or the document change."""
    return changes.subscribe(lambda _: _grant_all(service))


def _grant_all(service: remote.LeaderService) -> None:
    for pool in service.pools():
        found = service.leader(pool)
        if found is not None:
            found.grant_waiting()


def _leader(
    deps: Dependencies,
    pool: ids.PoolName,
    clock: timers.TimerService,
) -> leader.OnTimePoolLeader:
    leader_settings = settings.LeaderSettings(
        pool,
        f'{deps.link.host_id}/{pool}',
        takeover_seconds=_TAKEOVER_SECONDS,
    )
    new_leader = leader.OnTimePoolLeader(
        leader_settings,
        clock.now,
        lambda: deps.pool_servers.of_pool(
            pool,
            deps.share() if deps.shares_slots else 1,
        ),
        deps.guide(pool) if deps.guide else None,
        deps.rates,
        deps.pauses,
        deps.rejections,
    )
    new_leader.use_parts(deps.parts)
    new_leader.use_weights(lambda: _weights(deps.index()))
    if deps.on_new_leader is not None:
        deps.on_new_leader(new_leader)
    return new_leader


def _weights(
    index: finding.Index | None,
) -> typing.Mapping[ids.CustomerName, float]:
    return index.customer_weights if index else _NO_WEIGHTS


def _allowance(
    index: finding.Index | None,
    name: ids.CustomerName,
) -> quotas.Allowance | None:
    customer = index and index.customer_named(name)
    quota = customer and customer.quota
    if not quota or not quota.per_second:
        return None
    return quotas.Allowance(quota.per_second, quota.burst)


class _NoRemotePools:
    """A directory without pools elsewhere; see :class:`views.PoolDirectory`."""

    def others(
        self,
        _pool: ids.PoolName,
    ) -> typing.Sequence[views.RemotePool]:
        return ()
