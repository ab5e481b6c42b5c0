"""Choice of the delegates: the hosts that represent their failure domain.

Every host computes the delegates of a domain from its view of the live hosts
there, by rendezvous hashing: the hosts with the highest weights. When a
delegate dies, only that one is replaced. Hosts whose views differ for a
moment choose different delegates; that only costs a few messages.

References
==========
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import typing

import xxhash
from geraniumweir.common import ids
from geraniumweir.membership import hosts

DELEGATES_PER_DOMAIN = 2


def delegates(
    members: typing.Iterable[hosts.Host],
    count: int = DELEGATES_PER_DOMAIN,
) -> tuple[hosts.Host, ...]:
    """Choose the delegates among the hosts of one domain.

    A draining host is chosen only when there are too few others.

    :param members: live hosts of one failure domain.
    :param count: number of delegates.
    :returns: at most that many, highest rank first.
    """
    ranked = sorted(members, key=_rank)
    return tuple(ranked[:count])


def followed(
    chosen: typing.Sequence[hosts.Host],
    me: ids.HostId,
) -> hosts.Host | None:
    """Return the delegate from which a host gets updates of other domains.

    Each of the two delegates serves half of the hosts, which spreads load.

    :returns: None where there is no delegate or the host is a delegate.
    """
    if not chosen or any(host.host_id == me for host in chosen):
        return None
    return chosen[_weight(me) % len(chosen)]


def _rank(host: hosts.Host) -> tuple[bool, int, ids.HostId]:
    return host.draining, -_weight(host.host_id), host.host_id


def _weight(host_id: ids.HostId) -> int:
    return xxhash.xxh3_64_intdigest(host_id.encode())
