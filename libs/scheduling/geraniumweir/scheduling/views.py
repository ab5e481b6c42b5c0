"""What the broker needs to know of the system, as narrow interfaces.

The membership library gives both; tests give simple ones.
"""

import dataclasses
import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.scheduling import requests


class HostView(typing.Protocol):
    """The live entry hosts, as one host sees them."""

    @property
    def changes(self) -> reactivex.Observable[typing.Any]:
        """Fires after each change of the live hosts."""

    def live(self, domain: ids.FailureDomain) -> typing.Sequence[ids.HostId]:
        """List the hosts of a failure domain that can lead a pool."""

    def owners(self, domain: ids.FailureDomain) -> typing.Sequence[ids.HostId]:
        """List the hosts that a new leader asks for what they have."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemotePool:
    """A pool in another failure domain, by the last word from there.

    :ivar leader: the host that leads it.
    """

    domain: ids.FailureDomain
    leader: ids.HostId
    summary: requests.PoolSummary


class PoolDirectory(typing.Protocol):
    """The pools of other failure domains that can be reached."""

    def others(self, pool: ids.PoolName) -> typing.Sequence[RemotePool]:
        """List the other failure domains' pools of a name."""
