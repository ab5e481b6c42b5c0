"""What membership knows, in the words that scheduling and following use.

See Also
========
geraniumweir.scheduling.views, geraniumweir.configuration.sources
"""

import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.membership import membership, poolsummaries
from geraniumweir.scheduling import requests, views

_MS = 1000


class LeaderView:
    """The entry hosts that may lead pools; see :class:`views.HostView`."""

    def __init__(self, members: membership.Membership) -> None:
        """Look at a host's membership."""
        self._members = members

    @property
    def changes(self) -> reactivex.Observable[typing.Any]:
        """Fires after each change of the live hosts."""
        return self._members.changes

    def live(self, domain: ids.FailureDomain) -> list[ids.HostId]:
        """List the hosts of a domain that may lead; one that drains may not."""
        return [host.host_id for host in self._members.eligible(domain)]


class Directory:
    """Pools of other failure domains; see :class:`views.PoolDirectory`."""

    def __init__(self, members: membership.Membership) -> None:
        """Look at a host's membership."""
        self._members = members

    def others(self, pool: ids.PoolName) -> list[views.RemotePool]:
        """List the other failure domains' pools of a name."""
        own = self._members.me.failure_domain
        return [
            views.RemotePool(
                found.failure_domain,
                found.leader,
                from_members(found),
            )
            for found in self._members.pools.summaries(pool)
            if found.failure_domain != own
        ]


class Neighbours:
    """Whom following asks; see :class:`sources.Neighbours`."""

    def __init__(
        self,
        members: membership.Membership,
        recorders: typing.Callable[[], typing.Collection[ids.HostId]],
    ) -> None:
        """Look at a host's membership.

        :param recorders: gives the recorders that are known.
        """
        self._members = members
        self._recorders = recorders

    def recorders(self) -> typing.Collection[ids.HostId]:
        """List the recorders."""
        return self._recorders()

    def local(self) -> list[ids.HostId]:
        """List the live hosts of the own failure domain."""
        own = self._members.me.failure_domain
        return [host.host_id for host in self._members.live(own)]

    def distant(self) -> list[ids.HostId]:
        """List live hosts of other failure domains."""
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
    """Give a pool leader's summary the form that hosts exchange."""
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
    """Read a summary that came from another host."""
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
