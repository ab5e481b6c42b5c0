"""Makes the pool leaders of a host that coordinates, alone or for others."""

import dataclasses
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.control import roster, spent
from geraniumweir.rollout import guiding
from geraniumweir.routing import finding
from geraniumweir.scheduling import (
    broker,
    channel,
    gating,
    notices,
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

# All pools of the hosts that reach each other are led from one place, so that
# unlike servers of several failure domains are one capacity.
AREA = ids.FailureDomain('all')
# A new leader grants nothing for so long, in seconds, while entry hosts hand
# over what they have; they do so as soon as they see it, a few milliseconds.
# What comes later is taken over all the same.
_SETTLE_SECONDS = 0.1
# Entry hosts that turn here before this host knows that it coordinates do so
# within a look at the log (0.1 s) and a ping (0.2 s), in seconds.
_EARLY_SECONDS = 1.0

Index = typing.Callable[[], finding.Index | None]
OnAsk = typing.Callable[[requests.SlotRequest], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What coordinating needs.

    :ivar share: part of quotas, and of slots, that may be granted here.
    :ivar shares_slots: whether the share applies to slots too.
    :ivar quota_seconds: length of the window over which quotas hold.
    :ivar tolerance: for what customers used before and isn't known.
    :ivar hosts: gives how many entry hosts there are, also those that were
        cut off along with the coordinator before.
    :ivar budget: what all hosts together may send again.
    :ivar retries: whom the retries of that are counted for.
    :ivar on_slot_request: told of each ask that comes.
    :ivar guide: makes what decides about versions of a pool's servers.
    :ivar said: what is known of what servers said.
    :ivar inform: told of each new leader of a pool.
    """

    link: channel.Channel
    view: views.HostView
    roster: roster.Roster
    index: Index
    share: quotas.Share
    shares_slots: bool
    quota_seconds: float
    hosts: typing.Callable[[], int]
    budget: retrybudget.Budget
    retries: retrybudget.Scope
    on_slot_request: OnAsk | None = None
    tolerance: quotas.Tolerance = quotas.Tolerance()
    guide: typing.Callable[[ids.PoolName], guiding.Guide] | None = None
    said: notices.Notices | None = None
    inform: typing.Callable[[leader.OnTimeLeader], None] | None = None

    def rates(self) -> dict[notices.ServerIncarnation, float]:
        """Give what may be granted here of the limits of servers."""
        named = self.said.limits() if self.said else {}
        share = self.share() if named else 1
        return {
            start: ratelimits.share_of_limit(
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
        """Give the servers that want nothing from a host for a while."""
        return self.said.pauses(host_id) if self.said else {}


class Counting:
    """Counts quotas and retries here, anew whenever others coordinated.

    :ivar quotas: of customers.
    :ivar retries: of pools.
    """

    def __init__(self, parts: Parts, clock: timers.TimerService) -> None:
        """Follow who coordinates."""
        self.quotas = quotas.Quotas(
            lambda customer: _allowance(parts.index(), customer),
            parts.share,
            parts.quota_seconds,
            clock.now(),
            parts.hosts,
            parts.tolerance,
        )
        self.retries = retrybudget.RetryBudgets(
            parts.budget,
            parts.retries,
            clock.now(),
        )
        self._parts = parts
        self._clock = clock
        self._coordinates = _coordinates(parts)
        self._leads = parts.retries.leads()
        self._told: dict[
            ids.HostId, tuple[recent_usage.RecentUsage, float]
        ] = {}
        parts.view.changes.subscribe(lambda _: self._look())
        parts.link.handle(ttypes.Spent, self._on_spent)

    def _look(self) -> None:
        """Count from now on, with what entry hosts have told already.

        They may see that this host coordinates before it does itself.
        """
        coordinated, led = self._coordinates, self._leads
        self._coordinates = _coordinates(self._parts)
        self._leads = self._parts.retries.leads()
        now = self._clock.now()
        begins = self._coordinates and not coordinated
        if begins:
            self.quotas.begin(now)
            for sender, told, at in self._told_lately(now):
                self.quotas.apply_report(sender, told, at)
        if begins or (self._leads and not led):
            self.retries.begin(now)
            for sender, told, at in self._told_lately(now):
                self.retries.apply_report(sender, told.retries, at)

    def _told_lately(
        self,
        now: float,
    ) -> typing.Iterator[tuple[ids.HostId, recent_usage.RecentUsage, float]]:
        for sender, (told, at) in self._told.items():
            if now - at <= _EARLY_SECONDS:
                yield sender, told, at

    async def _on_spent(
        self,
        sender: ids.HostId,
        message: ttypes.Spent,
    ) -> None:
        now = self._clock.now()
        told = spent.unpack(message)
        self._told = {
            host: found
            for host, found in self._told.items()
            if now - found[1] <= _EARLY_SECONDS
        }
        self._told[sender] = (told, now)
        self.quotas.apply_report(sender, told, now)
        self.retries.apply_report(sender, told.retries, now)


def _coordinates(parts: Parts) -> bool:
    live = parts.view.live(AREA)
    return not live or parts.link.host_id in live


def serve(
    parts: Parts,
    clock: timers.TimerService,
) -> remote.LeaderService:
    """Lead pools whenever this host coordinates."""
    counting = Counting(parts, clock)
    return remote.LeaderService(
        parts.link,
        parts.view,
        AREA,
        lambda pool, _on_preempt: _leader(parts, pool, clock),
        clock,
        gating.Gate(
            counting.quotas,
            counting.retries,
            clock.now,
            parts.on_slot_request,
        ),
    )


def ask_through(
    link: channel.Channel,
    view: views.HostView,
    clock: timers.TimerService,
    awaits_election: typing.Callable[[], bool],
) -> broker.Broker:
    """Ask whoever coordinates, on behalf of this host.

    :param awaits_election: tells whether another one is about to.
    """
    return broker.Broker(
        link,
        AREA,
        view,
        _NoOthers(),
        clock,
        awaits_election,
    )


def follow(
    service: remote.LeaderService,
    changes: reactivex.Observable[typing.Any],
) -> abc.DisposableBase:
    """Let leaders look again whenever servers or the document change."""
    return changes.subscribe(lambda _: _look_again(service))


def _look_again(service: remote.LeaderService) -> None:
    for pool in service.pools():
        found = service.leader(pool)
        if found is not None:
            found.grant_waiting()


def _leader(
    parts: Parts,
    pool: ids.PoolName,
    clock: timers.TimerService,
) -> leader.OnTimeLeader:
    cfg = settings.LeaderSettings(
        pool,
        f'{parts.link.host_id}/{pool}',
        takeover_seconds=_SETTLE_SECONDS,
    )
    made = leader.OnTimeLeader(
        cfg,
        clock.now,
        lambda: parts.roster.of_pool(
            pool,
            parts.share() if parts.shares_slots else 1,
        ),
        parts.guide(pool) if parts.guide else None,
        parts.rates,
        parts.pauses,
    )
    if parts.inform is not None:
        parts.inform(made)
    return made


def _allowance(
    index: finding.Index | None,
    name: ids.CustomerName,
) -> quotas.Allowance | None:
    customer = index and index.customer_named(name)
    quota = customer and customer.quota
    if not quota or not quota.per_second:
        return None
    return quotas.Allowance(quota.per_second, quota.burst)


class _NoOthers:
    """There are no pools elsewhere; see :class:`views.PoolDirectory`."""

    def others(
        self,
        _pool: ids.PoolName,
    ) -> typing.Sequence[views.RemotePool]:
        return ()
