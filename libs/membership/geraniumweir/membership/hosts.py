"""Entry hosts as the rest of the product sees them.

A part asks a :class:`HostView` who is live and subscribes to its changes; it
doesn't learn how that was found out.
"""

import dataclasses
import enum
import typing

import reactivex
from geraniumweir.common import ids


class Role(enum.Flag):
    """What a host does besides serving callers."""

    none = 0
    recorder = 1
    draining = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One entry host in one life.

    :ivar address: where other hosts reach it.
    :ivar incarnation: grows at each start of the host.
    :ivar backend_address: where backend servers announce themselves.

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
        """Tell whether it takes no new calls."""
        return Role.draining in self.roles


class Departure(enum.Enum):
    """Why a host is no longer live."""

    announced = 'announced'
    silent = 'silent'
    restarted = 'restarted'
    unreachable = 'unreachable'


@dataclasses.dataclass(frozen=True, slots=True)
class HostJoined:
    """A host is live that wasn't."""

    host: Host


@dataclasses.dataclass(frozen=True, slots=True)
class HostChanged:
    """A live host has other roles."""

    host: Host


@dataclasses.dataclass(frozen=True, slots=True)
class HostSuspected:
    """A host of the own domain isn't heard; it is live until confirmed."""

    host: Host


@dataclasses.dataclass(frozen=True, slots=True)
class HostLeft:
    """A host is no longer live."""

    host: Host
    reason: Departure


@dataclasses.dataclass(frozen=True, slots=True)
class SelfStalled:
    """This host did nothing for a while, and suspects nobody for that.

    :ivar seconds: how long it stood still.
    """

    host: Host
    seconds: float


HostEvent = HostJoined | HostChanged | HostSuspected | HostLeft | SelfStalled


class HostView(typing.Protocol):
    """Who is live, as one entry host sees it."""

    changes: reactivex.Observable[HostEvent]

    @property
    def me(self) -> Host:
        """Give the host that looks."""

    def live(self, domain: ids.FailureDomain) -> tuple[Host, ...]:
        """List the live hosts of a failure domain, by id."""

    def eligible(self, domain: ids.FailureDomain) -> tuple[Host, ...]:
        """List those of them that may lead pools."""

    def all_live(self) -> tuple[Host, ...]:
        """List the live hosts of all failure domains that are reached."""

    def is_live(self, host_id: ids.HostId) -> bool:
        """Tell whether a host is live."""
