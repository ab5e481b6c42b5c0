"""Interfaces that the broker and the leader service depend on.

The membership library implements the views of hosts and pools; tests use
simple ones. Any component that decides about a pool can be its pool leader.
"""

import dataclasses
import typing

import reactivex
from geraniumweir.common import ids
from geraniumweir.scheduling import requests


class HostView(typing.Protocol):
    """View of the live entry hosts on one host."""

    @property
    def changes(self) -> reactivex.Observable[typing.Any]:
        """Emits after each change of the live hosts."""

    def live(self, domain: ids.FailureDomain) -> typing.Sequence[ids.HostId]:
        """List the hosts of a failure domain that can lead a pool."""

    def owners(self, domain: ids.FailureDomain) -> typing.Sequence[ids.HostId]:
        """List the hosts that a new leader queries for open grants."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemotePool:
    """Pool in another failure domain, by its last published summary.

    :ivar leader: the host that leads it.
    """

    domain: ids.FailureDomain
    leader: ids.HostId
    summary: requests.PoolSummary


class PoolDirectory(typing.Protocol):
    """Directory of the reachable pools of other failure domains."""

    def others(self, pool: ids.PoolName) -> typing.Sequence[RemotePool]:
        """List the other failure domains' pools of a name."""


class Scheduler(typing.Protocol):
    """Component that grants slots: a pool leader, or a broker."""

    async def request_slot(
        self,
        slot_request: requests.SlotRequest,
    ) -> requests.Grant | requests.Denial:
        """Wait for a backend server; a repeated id joins the first."""

    def withdraw(self, request_id: ids.RequestId) -> None:
        """Withdraw a waiting request whose caller disconnected."""

    def progress(self, progress: requests.Progress) -> None:
        """Record the progress of granted work."""

    def release(self, release: requests.Release) -> None:
        """Release a grant; a repeated release is ignored."""


class PoolLeader(Scheduler, typing.Protocol):
    """Leader of one pool: soft state, on one host at a time."""

    def adopt(self, grants: typing.Sequence[requests.OpenGrant]) -> None:
        """Take over grants in use that another leader made."""

    def takeover_complete(self) -> None:
        """Start granting, as all owners have handed over their grants."""

    def grant_waiting(self) -> None:
        """Grant waiting requests after announcements or settings changed."""
