"""Counts the messages and bytes that hosts on the in-memory network send."""

import functools
import typing

from geraniumweir.common import ids
from geraniumweir.wire import memory, peers
from geraniumweir.wire.gen.peering import ttypes
from thrift import TSerialization
from thrift.protocol import TCompactProtocol

# Addresses, sequence numbers and options of TCP over IPv4, for each message.
PACKET_HEADER_BYTES = 52
_FRAME_LENGTH_BYTES = 4
_CALL_ID = 0x100000
_MESSAGE_TYPE = 0x7FFFFFFF


class CountingPeers:
    """Counts what a host sends and gets; the network does the rest."""

    def __init__(
        self,
        inner: memory.MemoryPeers,
        weigh: typing.Callable[[peers.Message], int],
    ) -> None:
        """Start at nothing.

        :param weigh: gives the bytes of a message in its frame.
        """
        self.host_id = inner.host_id
        self._weigh = weigh
        self.received = 0
        self.messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._inner = inner

    def handle(self, message_type: type, handler: peers.Handler) -> None:
        """Pass a handler on."""
        counted = functools.partial(self._receive, handler)
        self._inner.handle(message_type, counted)

    def learn(self, host_id: ids.HostId, address: ids.Address) -> None:
        """Remember nothing; the network knows."""

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Ask the network."""
        return await self._inner.introduce(address)

    async def call(
        self,
        to: ids.HostId,
        message: peers.Message,
        timeout: float,
        on_late: peers.HandleLate | None = None,
    ) -> peers.Message:
        """Count the message and call."""
        self._count(message)
        return await self._inner.call(to, message, timeout, on_late)

    def send(self, to: ids.HostId, message: peers.Message) -> None:
        """Count the message and send it."""
        self._count(message)
        self._inner.send(to, message)

    def reset(self) -> None:
        """Begin to count anew."""
        self.received = 0
        self.messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    async def _receive(
        self,
        handler: peers.Handler,
        sender: ids.HostId,
        message: peers.Message,
    ) -> peers.Message | None:
        self.received += 1
        self.received_bytes += self._weigh(message)
        return await handler(sender, message)

    def _count(self, message: peers.Message) -> None:
        self.messages += 1
        self.sent_bytes += self._weigh(message)


def framed_size(message: peers.Message) -> int:
    """Give the bytes of a message in its frame."""
    envelope = ttypes.Envelope(1, _CALL_ID, _MESSAGE_TYPE, _encode(message))
    return _FRAME_LENGTH_BYTES + len(_encode(envelope))


def _encode(message: peers.Message) -> bytes:
    factory = TCompactProtocol.TCompactProtocolAcceleratedFactory()
    return TSerialization.serialize(message, factory)
