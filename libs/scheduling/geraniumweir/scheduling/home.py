"""Who leads a pool in the own failure domain, as one entry host sees it.

The live hosts decide. A host that asks for the grants in use says by it that
it leads, and one that doesn't lead may name another: such word counts until
the live hosts change, if it names one of them.
"""

import reactivex
from geraniumweir.common import ids
from geraniumweir.scheduling import rendezvous, views


class HomeLeaders:
    """The pool leaders of one failure domain.

    :ivar changes: fires when any leader may have changed.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        view: views.HostView,
        host_id: ids.HostId,
    ) -> None:
        """Follow a view of the live hosts."""
        self.changes: reactivex.Subject[None] = reactivex.Subject()
        self._domain = domain
        self._view = view
        self._host_id = host_id
        self._said: dict[ids.PoolName, ids.HostId] = {}
        self._subscription = view.changes.subscribe(lambda _: self._forget())

    def leader(self, pool: ids.PoolName) -> ids.HostId:
        """Give the leader of a pool; alone, this host leads them all."""
        said = self._said.get(pool)
        if said is not None:
            return said
        return leader_by_view(self._domain, pool, self._view, self._host_id)

    def accept_claim(self, pool: ids.PoolName, host: ids.HostId) -> bool:
        """Hear from a host that it leads; tell whether it may."""
        if host != self._host_id and not self._is_live(host):
            return False
        self._said[pool] = host
        return True

    def reject(
        self,
        pool: ids.PoolName,
        host: ids.HostId,
        hint: ids.HostId | None,
    ) -> None:
        """Hear that a host doesn't lead, or doesn't answer.

        :param hint: who leads, by that host.
        """
        if self._said.get(pool) == host:
            self._said.pop(pool)
        if hint is not None and hint != host and self._is_live(hint):
            self._said[pool] = hint

    def close(self) -> None:
        """Stop following."""
        self._subscription.dispose()

    def _is_live(self, host: ids.HostId) -> bool:
        return host in self._view.live(self._domain)

    def _forget(self) -> None:
        self._said.clear()
        self.changes.on_next(None)


def leader_by_view(
    domain: ids.FailureDomain,
    pool: ids.PoolName,
    view: views.HostView,
    host_id: ids.HostId,
) -> ids.HostId:
    """Give the leader of a pool by the live hosts alone.

    :param host_id: this host, which leads when it knows of none.
    """
    found = rendezvous.leader_of(domain, pool, view.live(domain))
    return host_id if found is None else found
