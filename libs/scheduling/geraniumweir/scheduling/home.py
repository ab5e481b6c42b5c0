"""Pool leaders of the own failure domain, as one entry host sees them.

The set of live hosts determines the leaders. A host that requests the grants
in use thereby claims to lead, and a host that doesn't lead may name the
leader. Such a claim holds until the live hosts change, if it names one of
them.
"""

import reactivex
from geraniumweir.common import ids
from geraniumweir.scheduling import rendezvous, views


class HomeLeaders:
    """Pool leaders of one failure domain.

    :ivar changes: emits when any leader may have changed.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        view: views.HostView,
        host_id: ids.HostId,
    ) -> None:
        """Initialize from a view of the live hosts."""
        self.changes: reactivex.Subject[None] = reactivex.Subject()
        self._domain = domain
        self._view = view
        self._host_id = host_id
        self._claims: dict[ids.PoolName, ids.HostId] = {}
        self._subscription = view.changes.subscribe(
            lambda _: self._clear_claims()
        )

    def leader(self, pool: ids.PoolName) -> ids.HostId:
        """Return the leader of a pool; this host, if it knows no other."""
        claimed_leader = self._claims.get(pool)
        if claimed_leader is not None:
            return claimed_leader
        return leader_by_view(self._domain, pool, self._view, self._host_id)

    def accept_claim(self, pool: ids.PoolName, host: ids.HostId) -> bool:
        """Record a host's claim to lead; return whether it is live."""
        if host != self._host_id and not self._is_live(host):
            return False
        self._claims[pool] = host
        return True

    def reject(
        self,
        pool: ids.PoolName,
        host: ids.HostId,
        hint: ids.HostId | None,
    ) -> None:
        """Record that a host doesn't lead or doesn't answer.

        :param hint: the leader according to that host.
        """
        if self._claims.get(pool) == host:
            self._claims.pop(pool)
        if hint is not None and hint != host and self._is_live(hint):
            self._claims[pool] = hint

    def close(self) -> None:
        """Unsubscribe from the view."""
        self._subscription.dispose()

    def _is_live(self, host: ids.HostId) -> bool:
        return host in self._view.live(self._domain)

    def _clear_claims(self) -> None:
        self._claims.clear()
        self.changes.on_next(None)


def leader_by_view(
    domain: ids.FailureDomain,
    pool: ids.PoolName,
    view: views.HostView,
    host_id: ids.HostId,
) -> ids.HostId:
    """Return the leader of a pool by the live hosts alone.

    :param host_id: this host, which leads where the view has no live hosts.
    """
    found = rendezvous.leader_of(domain, pool, view.live(domain))
    return host_id if found is None else found
