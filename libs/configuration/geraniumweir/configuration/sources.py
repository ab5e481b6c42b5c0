"""Whom a host asks for new versions, best first.

A few delegates in each failure domain ask the recorders; all others ask the
delegates of their own domain. So a recorder is asked by a number that grows
with the domains, and a delegate by one that grows with its domain. Delegates
are chosen by rendezvous hashing over the hosts that are live, so that one
that dies is replaced without any agreement and nothing else moves.

References
==========
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import binascii
import typing

from geraniumweir.common import ids

DELEGATES = 2


class Neighbours(typing.Protocol):
    """The hosts that following needs to know of."""

    def recorders(self) -> typing.Collection[ids.HostId]:
        """List the recorders."""

    def local(self) -> typing.Collection[ids.HostId]:
        """List the live hosts of the own failure domain, itself too."""

    def distant(self) -> typing.Collection[ids.HostId]:
        """List a few hosts known in other failure domains."""


def ranked(
    host_id: ids.HostId,
    neighbours: Neighbours,
) -> list[ids.HostId]:
    """List whom a host asks, best first.

    After those that it should ask come all others that it knows: a host that
    reaches none of the better ones takes what it can get.

    :param host_id: the asking host.
    """
    local = set(neighbours.local()) | {host_id}
    delegates = chosen(local)
    recorders = sorted(
        neighbours.recorders(),
        key=lambda one: (one not in local, _score(one, host_id)),
    )
    firsts = recorders if host_id in delegates else [*delegates, *recorders]
    others = sorted(local, key=lambda one: _score(one, host_id))
    distant = sorted(
        neighbours.distant(),
        key=lambda one: _score(one, host_id),
    )
    everybody = dict.fromkeys([*firsts, *others, *distant])
    return [one for one in everybody if one != host_id]


def chosen(local: typing.Collection[ids.HostId]) -> list[ids.HostId]:
    """Choose the delegates of a failure domain.

    >>> chosen(['a', 'b', 'c']) == chosen(['c', 'b', 'a'])
    True
    """
    return sorted(local, key=lambda one: _score(one, 'delegate'))[:DELEGATES]


def _score(host_id: str, salt: str) -> tuple[int, str]:
    return binascii.crc32(f'{salt}/{host_id}'.encode()), host_id
