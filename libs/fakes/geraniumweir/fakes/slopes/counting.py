"""A network in memory that counts what goes over it, by sender."""

import collections

from geraniumweir.common import ids
from geraniumweir.fakes import countingpeers
from geraniumweir.wire import memory, peers


class CountingNetwork(memory.MemoryNetwork):
    """Counts messages and the bytes of their frames and headers.

    :ivar packets: messages by sender.
    :ivar octets: bytes by sender, with the headers of TCP over IPv4.
    """

    def __init__(self, seed: int = 1) -> None:
        """Start with nothing sent."""
        super().__init__(seed)
        self.packets: collections.Counter[ids.HostId] = collections.Counter()
        self.octets: collections.Counter[ids.HostId] = collections.Counter()

    def passes_link(
        self,
        sender: memory.MemoryPeers,
        receiver: ids.HostId,
        message: peers.Message | None,
    ) -> bool:
        """Count a message; an answer may hold none."""
        framed = 0
        if message is not None:
            framed = countingpeers.framed_size(message)
        self.packets[sender.host_id] += 1
        self.octets[sender.host_id] += (
            framed + countingpeers.PACKET_HEADER_BYTES
        )
        return super().passes_link(sender, receiver, message)

    def reset(self) -> None:
        """Begin to count anew."""
        self.packets.clear()
        self.octets.clear()
