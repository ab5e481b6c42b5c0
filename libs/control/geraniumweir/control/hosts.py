"""The control hosts, as any host of the system has them.

Each has a fixed address; a host that was not seen for long is evicted, unless
it is a seed.
"""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.wire.gen.control import ttypes

# A control host that was not seen for this long is no longer contacted.
# Replaced hosts never return; partitions of some seconds must not make a host
# lose the addresses that it needs afterwards.
EVICT_SECONDS = 60.0

# Returns some control hosts by id; they may change from call to call.
Seeds = typing.Callable[[], typing.Mapping[ids.HostId, ids.Address]]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlHost:
    """One control host.

    :ivar address: for hosts of the system.
    :ivar control_address: for backend servers and operators.
    :ivar failure_domain: empty for a seed that hasn't answered yet.
    """

    host_id: ids.HostId
    address: ids.Address
    control_address: ids.Address
    failure_domain: ids.FailureDomain

    def to_wire(self) -> ttypes.ControlHost:
        """Return the thrift struct."""
        return ttypes.ControlHost(
            self.host_id,
            str(self.address),
            str(self.control_address),
            self.failure_domain,
        )


def from_wire(found: ttypes.ControlHost) -> ControlHost:
    """Return what a thrift struct describes.

    :raises ValueError: when an address is malformed.
    """
    return ControlHost(
        ids.HostId(found.host_id),
        ids.parse_address(found.address),
        ids.parse_address(found.control_address),
        ids.FailureDomain(found.failure_domain),
    )


def seed(host_id: ids.HostId, address: ids.Address) -> ControlHost:
    """Return a host of which only the address is known."""
    return ControlHost(host_id, address, address, ids.FailureDomain(''))


class ControlHosts:
    """The control hosts that one host has in memory."""

    def __init__(self) -> None:
        """Initialize without any host."""
        self._known: dict[ids.HostId, ControlHost] = {}
        self._last_seen: dict[ids.HostId, float] = {}

    def register(self, host: ControlHost, now: float) -> bool:
        """Add or update a host; return whether that changed anything.

        A complete entry is not replaced by one that has only the address.
        """
        known = self._known.get(host.host_id)
        is_address_only = known is not None and not host.failure_domain
        is_new = known != host and not is_address_only
        if is_new:
            self._known[host.host_id] = host
        self._last_seen.setdefault(host.host_id, now)
        return is_new

    def record_seen(self, host_id: ids.HostId, now: float) -> None:
        """Record that a message of a host arrived."""
        if host_id in self._known:
            self._last_seen[host_id] = now

    def seconds_unseen(self, host_id: ids.HostId, now: float) -> float:
        """Return the seconds since a host was last seen."""
        return now - self._last_seen.get(host_id, float('-inf'))

    def unseen_for(self, now: float, seconds: float) -> frozenset[ids.HostId]:
        """Return the hosts that were not seen for some seconds."""
        return frozenset(
            host_id
            for host_id, seen_at in self._last_seen.items()
            if now - seen_at > seconds
        )

    def evict_old(self, now: float) -> None:
        """Evict the hosts that were not seen for :data:`EVICT_SECONDS`."""
        for host_id in self.unseen_for(now, EVICT_SECONDS):
            self._known.pop(host_id)
            self._last_seen.pop(host_id)

    def get(self, host_id: ids.HostId) -> ControlHost | None:
        """Return a host by its id, None if it is unknown."""
        return self._known.get(host_id)

    def known(self) -> list[ControlHost]:
        """Return all hosts, ordered by id."""
        return [host for _, host in sorted(self._known.items())]

    def nearest_first(
        self,
        domain: ids.FailureDomain,
    ) -> typing.Sequence[ControlHost]:
        """Return all hosts, those of a failure domain first."""
        return sorted(
            self._known.values(),
            key=lambda host: (host.failure_domain != domain, host.host_id),
        )
