"""Fencing numbers for orders to backend servers.

A number grows with each reservation. Some servers ignore it, so a new issuer
must also wait until the last one's lease has surely run out. The wait is told
as a length, the longest lease ever given, to be measured on the new issuer's
own monotonic clock from the moment it has the answer; the old issuer counts
its lease from before it asked. So no two clocks are compared.

References
==========
.. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism
   for distributed file cache consistency", SOSP 1989.
"""

from geraniumweir.wire.gen.configuration import ttypes


class Fences:
    """The last fencing number and who has it."""

    def __init__(self) -> None:
        """Start before the first number."""
        self.number = 0
        self.issuer = ''
        self._longest_lease_ms = 0

    def reserve(self, fence: ttypes.ReserveFence) -> ttypes.FenceAnswer:
        """Give the next number to an issuer.

        :param fence: its issuer is one run of a process, not a host: a
            restarted one doesn't know what it ordered before.
        """
        is_new = fence.issuer != self.issuer
        wait_ms = self._longest_lease_ms if is_new else 0
        self.number += 1
        self.issuer = fence.issuer
        self._longest_lease_ms = max(self._longest_lease_ms, fence.lease_ms)
        return ttypes.FenceAnswer(self.number, wait_ms)

    def save(self, stored: ttypes.StoredState) -> None:
        """Write everything into a snapshot."""
        stored.fence_number = self.number
        stored.fence_issuer = self.issuer
        stored.longest_lease_ms = self._longest_lease_ms

    def load(self, stored: ttypes.StoredState) -> None:
        """Take everything from a snapshot."""
        self.number = stored.fence_number
        self.issuer = stored.fence_issuer
        self._longest_lease_ms = stored.longest_lease_ms
