"""Adapters of membership to the protocols of scheduling and configuration.

See Also
========
geraniumweir.scheduling.views, geraniumweir.configuration.sources
"""

import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.membership import hosts, membership, poolsummaries
from geraniumweir.scheduling import rendezvous, requests, views

_MS = 1000


class LeaderView:
    """View of the hosts that may lead pools; see :class:`views.HostView`."""

    def __init__(self, members: membership.Membership) -> None:
        """Initialize over the membership of a host."""
        self._members = members

    @property
    def changes(self) -> reactivex.Observable[typing.Any]:
        """Emits after each change of the live hosts."""
        return self._members.changes

    def live(self, domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return the hosts of a domain that may lead.

        A draining host may not.
        """
        return [host.host_id for host in self._members.eligible(domain)]

    def owners(self, domain: ids.FailureDomain) -> list[ids.HostId]:
        """Return the hosts of a domain that may hold grants."""
        return self.live(domain)


class Directory:
    """Directory of remote pools; see :class:`views.PoolDirectory`."""

    def __init__(self, members: membership.Membership) -> None:
        """Initialize over the membership of a host."""
        self._members = members

    def others(self, pool: ids.PoolName) -> list[views.RemotePool]:
        """Return the pools of a name in other failure domains.

        A pool has a summary only once it received a slot request, and hosts
        fetch summaries only while they need them. Without one, the leader is
        computed from the membership and the summary is empty.
        """
        own = self._members.me.failure_domain
        found = {
            summary.failure_domain: views.RemotePool(
                summary.failure_domain,
                summary.leader,
                from_members(summary),
            )
            for summary in self._members.pools.summaries(pool)
        }
        silent = {host.failure_domain for host in self._members.all_live()}
        for domain in sorted(silent.difference(found)):
            leader = self._leader(domain, pool)
            if leader is not None:
                unknown = requests.PoolSummary(pool)
                found[domain] = views.RemotePool(domain, leader, unknown)
        found.pop(own, None)
        return list(found.values())

    def _leader(
        self,
        domain: ids.FailureDomain,
        pool: ids.PoolName,
    ) -> ids.HostId | None:
        able = [host.host_id for host in self._members.eligible(domain)]
        return rendezvous.leader_of(domain, pool, able)


class Neighbours:
    """The hosts to fetch versions from; see :class:`sources.Neighbours`."""

    def __init__(
        self,
        members: membership.Membership,
        first: typing.Iterable[ids.HostId],
    ) -> None:
        """Initialize over the membership of a host.

        :param first: the first recorders, from the settings.
        """
        self._members = members
        self._first = frozenset(first)

    def recorders(self) -> frozenset[ids.HostId]:
        """Return the hosts that are recorders by this host's membership."""
        return self._first.union(
            host.host_id
            for host in self._members.all_live()
            if hosts.Role.recorder in host.roles
        )

    def local(self) -> list[ids.HostId]:
        """Return the live hosts of the own failure domain."""
        own = self._members.me.failure_domain
        return [host.host_id for host in self._members.live(own)]

    def distant(self) -> list[ids.HostId]:
        """Return the live hosts of other failure domains."""
        own = self._members.me.failure_domain
        return [
            host.host_id
            for host in self._members.all_live()
            if host.failure_domain != own
        ]


def to_members(
    summary: requests.PoolSummary,
    domain: ids.FailureDomain,
    leader: ids.HostId,
) -> poolsummaries.PoolSummary:
    """Convert a pool leader's summary to the form that hosts exchange."""
    waits = {wait.tier: wait.expected for wait in summary.waits}
    return poolsummaries.PoolSummary(
        domain,
        summary.pool,
        leader,
        capacity=tuple((part.model, part.slots) for part in summary.capacity),
        wait_ms=tuple(int(waits.get(tier, 0) * _MS) for tier in ids.Tier),
        free=tuple(part.free for part in summary.capacity),
        lowest_tier=summary.lowest_served,
    )


def from_members(found: poolsummaries.PoolSummary) -> requests.PoolSummary:
    """Convert a summary received from another host."""
    return requests.PoolSummary(
        found.pool,
        capacity=tuple(
            requests.ModelCapacity(model, slots, free)
            for (model, slots), free in zip(found.capacity, found.free)
        ),
        waits=tuple(
            requests.TierWait(tier, 0, 0, wait / _MS)
            for tier, wait in zip(ids.Tier, found.wait_ms)
        ),
        lowest_served=found.lowest_tier,
    )
