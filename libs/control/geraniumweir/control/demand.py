"""How much of all requests comes by each entry host.

Callers are spread unevenly over entry hosts, so a quota that has to be split
among hosts that can't reach each other is split by what came by each before.
"""

import dataclasses
import math

from geraniumweir.common import ids

# Over about so many seconds: longer than the waves in which callers come (11
# s), so that a cut finds the usual parts.
_DECAY_SECONDS = 20.0
# A host that asked for little may ask for more after a cut, when callers are
# led to it; it gets at least this part of an even share.
_MIN_EVEN_RATIO = 0.25


@dataclasses.dataclass(slots=True)
class _Count:
    amount: float = 0
    at: float = 0

    def add(self, amount: float, now: float) -> None:
        self.amount = self.decayed(now) + amount
        self.at = now

    def decayed(self, now: float) -> float:
        return self.amount * math.exp(-max(now - self.at, 0) / _DECAY_SECONDS)


class Demand:
    """Decaying counts by entry host.

    All decay alike, so that their sum is a count of its own: a host's part is
    asked for at each ping and took 253 µs with 390 hosts, 5 µs with this.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._counts: dict[ids.HostId, _Count] = {}
        self._total = _Count()

    def record(self, host_id: ids.HostId, amount: float, now: float) -> None:
        """Count what a host asked for."""
        self._counts.setdefault(host_id, _Count()).add(amount, now)
        self._total.add(amount, now)

    def remove(self, host_id: ids.HostId) -> None:
        """Drop a host that has gone."""
        gone = self._counts.pop(host_id, None)
        if gone is not None:
            self._total.amount -= gone.decayed(self._total.at)

    def share(self, host_id: ids.HostId, hosts: int, now: float) -> float:
        """Give a host's part of all.

        :param hosts: how many there are.

        >>> some = Demand()
        >>> for name, amount in (('a', 30), ('b', 10)):
        ...     some.record(ids.HostId(name), amount, 0)
        >>> some.share(ids.HostId('a'), 2, 0)
        0.75
        """
        even = 1 / max(hosts, 1)
        found = self._counts.get(host_id)
        if found is None:
            return even
        total = self._total.decayed(now)
        if not total:
            return even
        return max(found.decayed(now) / total, even * _MIN_EVEN_RATIO)
