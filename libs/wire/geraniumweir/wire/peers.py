"""What the rest of the product sees of the peer layer.

A part registers a handler for a message type and sends messages to hosts by
id; how connections are made, kept and lost is this library's matter. The TCP
implementation and the in-memory one for tests have this same face.
"""

import typing

from geraniumweir.common import ids

Message = typing.Any
Handler = typing.Callable[
    [ids.HostId, Message],
    typing.Awaitable[Message | None],
]


class Peers(typing.Protocol):
    """The peer layer as one entry host sees it."""

    host_id: ids.HostId

    def handle(self, message_type: type, handler: Handler) -> None:
        """Let a handler answer all messages of a type.

        :param message_type: a generated thrift struct.
        :param handler: gets the sender and the message, gives the answer to
            a call, or None for a message that was only sent.
        """

    def learn(self, host_id: ids.HostId, address: ids.Address) -> None:
        """Remember where a host listens."""

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Connect to a seed and learn who it is.

        :raises errors.UnreachableError: when nobody answers there.
        """

    async def call(
        self,
        to: ids.HostId,
        message: Message,
        timeout: float,
    ) -> Message:
        """Send a message and wait for its answer.

        :param timeout: in seconds.
        :raises errors.UnreachableError: when it can't have been sent.
        :raises errors.PeerTimeoutError: when no answer came in time.
        :raises errors.RemoteError: when the peer's handler failed.
        """

    def send(self, to: ids.HostId, message: Message) -> None:
        """Send a message without an answer; it may be lost."""
