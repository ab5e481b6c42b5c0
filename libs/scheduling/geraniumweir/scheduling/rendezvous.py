"""Rendezvous hashing of pools to hosts.

Every host that has the same list of hosts computes the same leader. Each host
gets a weight from a hash of its id with the pool's key, and the host of the
highest weight leads. When a host joins or leaves, only the pools that it leads
or will lead move.

References
==========
.. [1] D. G. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to
   Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import typing

import xxhash
from geraniumweir.common import ids

_HASH_BITS = 32
_HASH_RANGE = 1 << _HASH_BITS


def leader_of(
    domain: ids.FailureDomain,
    pool: ids.PoolName,
    hosts: typing.Iterable[ids.HostId],
) -> ids.HostId | None:
    """Choose the leader of a pool in a failure domain.

    :param hosts: the live hosts of the domain, in any order.
    :returns: None when there are no hosts.

    >>> leader_of('milano-a', 'lm-advisori', ['entry-1', 'entry-2'])
    'entry-2'
    >>> leader_of('milano-a', 'lm-advisori', ['entry-1'])
    'entry-1'
    """
    # The id breaks ties between equal weights.
    return max(
        hosts,
        key=lambda host: (_weight(domain, pool, host), host),
        default=None,
    )


def rand(host_id: ids.HostId, server_id: ids.ServerId) -> float:
    """Return a constant pseudo-random number from 0 to 1 for two ids.

    >>> rand('entry-1', 's1') == rand('entry-1', 's1') != rand('entry-2', 's1')
    True
    """
    text = f'{host_id} {server_id}'.encode()
    return xxhash.xxh32_intdigest(text) / _HASH_RANGE


def _weight(
    domain: ids.FailureDomain,
    pool: ids.PoolName,
    host: ids.HostId,
) -> int:
    text = '\0'.join((domain, pool, host))
    return xxhash.xxh3_64_intdigest(text.encode())
