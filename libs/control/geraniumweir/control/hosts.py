"""The control hosts, as any host of the system knows them.

Each has a fixed address; a host that isn't heard for long is forgotten,
unless it is a seed.
"""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.wire.gen.control import ttypes

# A control host that isn't heard for so long is asked no more, in seconds.
# Hosts that were replaced stay away for good; cuts of some seconds must not
# make a host forget the way back.
EVICT_SECONDS = 60.0

# Gives some control hosts by id; they may change from call to call.
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
        """Make the struct."""
        return ttypes.ControlHost(
            self.host_id,
            str(self.address),
            str(self.control_address),
            self.failure_domain,
        )


def from_wire(found: ttypes.ControlHost) -> ControlHost:
    """Read the struct.

    :raises ValueError: when an address is malformed.
    """
    return ControlHost(
        ids.HostId(found.host_id),
        ids.parse_address(found.address),
        ids.parse_address(found.control_address),
        ids.FailureDomain(found.failure_domain),
    )


def seed(host_id: ids.HostId, address: ids.Address) -> ControlHost:
    """Describe a host of which only the address is known."""
    return ControlHost(host_id, address, address, ids.FailureDomain(''))


class ControlHosts:
    """The control hosts that one host knows."""

    def __init__(self) -> None:
        """Know of none."""
        self._known: dict[ids.HostId, ControlHost] = {}
        self._last_seen: dict[ids.HostId, float] = {}

    def register(self, host: ControlHost, now: float) -> bool:
        """Take that there is such a host; tell whether it was news.

        One that is known in full stays so where only its address is told.
        """
        known = self._known.get(host.host_id)
        is_address_only = known is not None and not host.failure_domain
        is_new = known != host and not is_address_only
        if is_new:
            self._known[host.host_id] = host
        self._last_seen.setdefault(host.host_id, now)
        return is_new

    def record_seen(self, host_id: ids.HostId, now: float) -> None:
        """Note a sign of life."""
        if host_id in self._known:
            self._last_seen[host_id] = now

    def seconds_unseen(self, host_id: ids.HostId, now: float) -> float:
        """Give the seconds since the last sign of life."""
        return now - self._last_seen.get(host_id, float('-inf'))

    def unseen_for(self, now: float, seconds: float) -> frozenset[ids.HostId]:
        """List those that weren't heard for some seconds."""
        return frozenset(
            host_id
            for host_id, seen_at in self._last_seen.items()
            if now - seen_at > seconds
        )

    def evict_old(self, now: float) -> None:
        """Forget those that weren't heard for very long."""
        for host_id in self.unseen_for(now, EVICT_SECONDS):
            self._known.pop(host_id)
            self._last_seen.pop(host_id)

    def get(self, host_id: ids.HostId) -> ControlHost | None:
        """Give one that is known."""
        return self._known.get(host_id)

    def known(self) -> list[ControlHost]:
        """List them by id."""
        return [host for _, host in sorted(self._known.items())]

    def nearest_first(
        self,
        domain: ids.FailureDomain,
    ) -> typing.Sequence[ControlHost]:
        """List them, those of a failure domain first."""
        return sorted(
            self._known.values(),
            key=lambda host: (host.failure_domain != domain, host.host_id),
        )
