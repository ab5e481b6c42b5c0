"""Entry hosts that dispatch requests for others, as a coordinator assigns them.

An entry host that reaches no backend server sends its requests through relays:
other entry hosts, in its own failure domain if possible. Each host is assigned
its successors in the order of ids, so that the hosts of a failure domain that
is cut off are spread evenly over the others.
"""

import binascii
import bisect
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.wire.gen.control import ttypes

# Two relays of its own failure domain serve a host if one of them fails.
_MAX_NEAR = 2
_MAX_FAR = 4
# Each other failure domain has one of them before another has a second one.
_FAR_PER_DOMAIN = 2

IsReachable = typing.Callable[[ids.HostId], bool]


class RelayHosts:
    """The relays by failure domain, ordered by id.

    >>> some = RelayHosts()
    >>> for name in ('a', 'b', 'c'):
    ...     some.record(ids.HostId(name), ids.FailureDomain('one'), True)
    >>> some.record(ids.HostId('d'), ids.FailureDomain('two'), True)
    >>> found = some.assign(
    ...     ids.HostId('b'), ids.FailureDomain('one'), lambda _: True
    ... )
    >>> found.near, found.far
    (['c', 'a'], ['d'])
    """

    def __init__(self) -> None:
        """Initialize without relays."""
        self._by_domain: dict[ids.FailureDomain, list[ids.HostId]] = {}
        self._domain_of: dict[ids.HostId, ids.FailureDomain] = {}

    def record(
        self,
        host_id: ids.HostId,
        domain: ids.FailureDomain,
        relays: bool,
    ) -> None:
        """Record whether an entry host dispatches for others."""
        if relays and self._domain_of.get(host_id) != domain:
            self.remove(host_id)
            bisect.insort(self._by_domain.setdefault(domain, []), host_id)
            self._domain_of[host_id] = domain
        elif not relays:
            self.remove(host_id)

    def remove(self, host_id: ids.HostId) -> None:
        """Remove an entry host."""
        domain = self._domain_of.pop(host_id, None)
        if domain is not None:
            self._by_domain[domain].remove(host_id)

    def assign(
        self,
        host_id: ids.HostId,
        domain: ids.FailureDomain,
        is_reachable: IsReachable,
    ) -> ttypes.Relays:
        """Return the relays of an entry host."""
        near = self._successors(host_id, domain, is_reachable)
        others = sorted(self._by_domain.keys() - {domain})
        first = bisect.bisect(others, domain)
        found = [
            list(
                itertools.islice(
                    self._successors(host_id, other, is_reachable),
                    _FAR_PER_DOMAIN,
                )
            )
            for other in (others[first:] + others[:first])[:_MAX_FAR]
        ]
        far = itertools.chain.from_iterable(itertools.zip_longest(*found))
        return ttypes.Relays(
            list(itertools.islice(near, _MAX_NEAR)),
            list(itertools.islice(filter(None, far), _MAX_FAR)),
        )

    def _successors(
        self,
        host_id: ids.HostId,
        domain: ids.FailureDomain,
        is_reachable: IsReachable,
    ) -> typing.Iterator[ids.HostId]:
        """Generate the relays of a domain that follow a host."""
        ring = self._by_domain.get(domain, [])
        first = bisect.bisect(ring, host_id)
        for found in itertools.chain(ring[first:], ring[:first]):
            if found != host_id and is_reachable(found):
                yield found


def digest(relays: ttypes.Relays) -> int:
    """Return a number that differs, most likely, for other relays.

    >>> digest(ttypes.Relays([], []))
    0
    """
    names = '\n'.join((*relays.near, '', *relays.far)) if _any(relays) else ''
    signed = binascii.crc32(names.encode()).to_bytes(4, 'big')
    return int.from_bytes(signed, 'big', signed=True)


def _any(relays: ttypes.Relays) -> bool:
    return bool(relays.near or relays.far)
