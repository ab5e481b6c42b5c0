"""Entry hosts: their roles, membership events and the view of live hosts.

Other packages query a :class:`HostView` and subscribe to its changes; how
failures are detected is hidden behind it.
"""

import dataclasses
import enum
import typing

import reactivex
from geraniumweir.common import ids


class Role(enum.Flag):
    """Roles of a host besides serving callers."""

    none = 0
    recorder = 1
    draining = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One incarnation of an entry host.

    :ivar address: peer address for connections from other hosts.
    :ivar incarnation: higher at each start of the host.
    :ivar backend_address: address for announcements of backend servers.

    >>> host = Host(
    ...     ids.HostId('a'), ids.FailureDomain('d'), ids.Region('r'),
    ...     ids.parse_address('127.0.0.1:1'), ids.Incarnation(7),
    ... )
    >>> host.draining
    False
    """

    host_id: ids.HostId
    failure_domain: ids.FailureDomain
    region: ids.Region
    address: ids.Address
    incarnation: ids.Incarnation
    backend_address: ids.Address | None = None
    roles: Role = Role.none

    @property
    def draining(self) -> bool:
        """Return whether the host accepts no new requests."""
        return Role.draining in self.roles


class Departure(enum.Enum):
    """Reason why a host is no longer live."""

    announced = 'announced'
    silent = 'silent'
    restarted = 'restarted'
    unreachable = 'unreachable'


@dataclasses.dataclass(frozen=True, slots=True)
class HostJoined:
    """Event: a host became live."""

    host: Host


@dataclasses.dataclass(frozen=True, slots=True)
class HostChanged:
    """Event: the roles of a live host changed."""

    host: Host


@dataclasses.dataclass(frozen=True, slots=True)
class HostSuspected:
    """Event: a host of the own domain is suspected; it still counts as live."""

    host: Host


@dataclasses.dataclass(frozen=True, slots=True)
class HostLeft:
    """Event: a host is no longer live."""

    host: Host
    reason: Departure


@dataclasses.dataclass(frozen=True, slots=True)
class SelfStalled:
    """Event: the process of this host stalled.

    The gap doesn't count as silence of other hosts.

    :ivar seconds: length of the stall.
    """

    host: Host
    seconds: float


HostEvent = HostJoined | HostChanged | HostSuspected | HostLeft | SelfStalled


class HostView(typing.Protocol):
    """Live hosts as one entry host sees them."""

    changes: reactivex.Observable[HostEvent]

    @property
    def me(self) -> Host:
        """Return the host that has this view."""

    def live(self, domain: ids.FailureDomain) -> tuple[Host, ...]:
        """Return the live hosts of a failure domain, sorted by id."""

    def eligible(self, domain: ids.FailureDomain) -> tuple[Host, ...]:
        """Return the live hosts of a domain that may lead pools."""

    def all_live(self) -> tuple[Host, ...]:
        """Return the live hosts of all reachable failure domains."""

    def is_live(self, host_id: ids.HostId) -> bool:
        """Return whether a host is live."""
