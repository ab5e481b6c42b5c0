"""What the broker and the leaders' host need, as narrow interfaces.

The membership library gives the views of hosts and pools; tests give simple
ones. A pool leader is whatever decides about a pool.
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


class Scheduler(typing.Protocol):
    """Grants capacity: a pool leader, or the broker that finds it."""

    async def request_slot(
        self,
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        """Wait for a backend server; a repeated id joins the first."""

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Drop a request whose caller went away while it waited."""

    def progress(self, progress: requests.Progress) -> None:
        """Take how granted work goes on."""

    def release(self, release: requests.Release) -> None:
        """Take back a grant; a repeat is ignored."""


class PoolLeader(Scheduler, typing.Protocol):
    """Decides about one pool; soft state, on one host at a time."""

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants in use that another leader gave."""

    def takeover_complete(self) -> None:
        """Start granting: all owners have handed over their grants."""

    def grant_waiting(self) -> None:
        """Take that announcements or the configuration changed."""
