"""Interface of the peer layer.

A component registers a handler for a message type and sends messages to hosts
by id; this library manages the connections. The TCP implementation and the
in-memory one for tests implement this interface.
"""

import typing

from geraniumweir.common import ids

Message = typing.Any
Handler = typing.Callable[
    [ids.HostId, Message],
    typing.Awaitable[Message | None],
]
HandleLate = typing.Callable[[Message], None]


class Peers(typing.Protocol):
    """The peer layer as one entry host sees it."""

    host_id: ids.HostId

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type.

        :param message_type: a generated thrift struct.
        :param handler: gets the sender and the message, gives the answer to
            a call, or None for a message that was only sent.
        """

    def learn(self, host_id: ids.HostId, address: ids.Address) -> None:
        """Record the address at which a host listens."""

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Connect to a seed and return its host id.

        :raises errors.UnreachableError: when no host answers there.
        """

    async def call(
        self,
        to: ids.HostId,
        message: Message,
        timeout: float,
        on_late: HandleLate | None = None,
    ) -> Message:
        """Send a message and wait for its answer.

        :param timeout: in seconds.
        :param on_late: called with an answer that comes after the timeout.
        :raises errors.UnreachableError: when it can't have been sent.
        :raises errors.PeerTimeoutError: when no answer came in time.
        :raises errors.RemoteError: when the peer's handler failed.
        """

    def send(self, to: ids.HostId, message: Message) -> None:
        """Send a message without an answer; it may be lost."""
