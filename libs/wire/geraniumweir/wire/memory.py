"""In-memory implementation of the peer layer, for tests.

Links have a delay and can lose, duplicate or reorder messages or be
partitioned, each direction separately. Thrift structs are encoded and decoded
on the way, so that a field of a wrong type is found here too. All random
choices come from a seeded generator, so that a failing run can be repeated.
"""

import asyncio
import contextlib
import copy
import random
import typing

from geraniumweir.common import ids
from geraniumweir.wire import errors, framing, peers

_DEFAULT_DELAY_SECONDS = 0.0005
_Result = typing.TypeVar('_Result')


class MemoryNetwork:
    """Hosts and the links between them.

    :ivar delay: one way, in seconds.
    :ivar jitter: maximum extra delay in seconds, drawn per message, so
        that one may overtake another.
    :ivar loss: fraction of lost messages, from 0 to 1.
    :ivar repeats: fraction of messages that arrive twice, from 0 to 1.
    :ivar sent: messages by sender and type name, for counting.
    :ivar sized: names of the types whose bytes are counted.
    :ivar sizes: bytes of the messages of these types, by sender and type name.
    """

    def __init__(
        self, seed: int = 0, delay: float = _DEFAULT_DELAY_SECONDS
    ) -> None:
        """Initialize without hosts.

        :param seed: of every random choice.
        :param delay: one way, in seconds.
        """
        self.delay = delay
        self.jitter = float(0)
        self.loss = float(0)
        self.repeats = float(0)
        self.sent: dict[tuple[ids.HostId, str], int] = {}
        self.sized: set[str] = set()
        self.sizes: dict[tuple[ids.HostId, str], int] = {}
        self._random = random.Random(seed)  # noqa: S311
        self._hosts: dict[ids.HostId, MemoryPeers] = {}
        self._addresses: dict[ids.Address, ids.HostId] = {}
        self._partitions: set[tuple[ids.HostId, ids.HostId]] = set()

    def join(self, host_id: ids.HostId, address: ids.Address) -> 'MemoryPeers':
        """Add a host, or replace a dead one."""
        self._hosts[host_id] = MemoryPeers(self, host_id)
        self._addresses[address] = host_id
        return self._hosts[host_id]

    def leave(self, host_id: ids.HostId) -> None:
        """Remove a host; messages to it are lost."""
        self._hosts.pop(host_id, None)

    def cut(self, sender: ids.HostId, receiver: ids.HostId) -> None:
        """Lose all messages in one direction."""
        self._partitions.add((sender, receiver))

    def is_partitioned(self, sender: ids.HostId, receiver: ids.HostId) -> bool:
        """Return whether messages in one direction are lost."""
        return (sender, receiver) in self._partitions

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitions.clear()

    def host_at(self, address: ids.Address) -> ids.HostId | None:
        """Return the host that listens at an address."""
        return self._addresses.get(address)

    def passes_link(
        self,
        sender: 'MemoryPeers',
        receiver: ids.HostId,
        message: peers.Message,
    ) -> bool:
        """Count a message and return whether it is delivered."""
        key = (sender.host_id, type(message).__name__)
        self.sent[key] = self.sent.get(key, 0) + 1
        if key[1] in self.sized:
            size = len(framing.encode(message))
            self.sizes[key] = self.sizes.get(key, 0) + size
        # A host that was replaced is dead; it sends nothing any more.
        if self._hosts.get(sender.host_id) is not sender:
            return False
        if (sender.host_id, receiver) in self._partitions:
            return False
        return self._random.random() >= self.loss

    def draw_duplicate(self) -> bool:
        """Return whether a message arrives a second time."""
        return self.repeats > 0 and self._random.random() < self.repeats

    def draw_delay_seconds(self) -> float:
        """Return the random delay of a message, in seconds."""
        if self.jitter:
            return self.delay + self._random.random() * self.jitter
        return self.delay

    def host(self, host_id: ids.HostId) -> typing.Optional['MemoryPeers']:
        """Return a live host."""
        return self._hosts.get(host_id)


class MemoryPeers:
    """The peer layer of one host in a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, host_id: ids.HostId) -> None:
        """Initialize without handlers."""
        self.host_id = host_id
        self._network = network
        self._handlers: dict[type, peers.Handler] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def handle(self, message_type: type, handler: peers.Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def learn(self, host_id: ids.HostId, address: ids.Address) -> None:
        """Ignore the address; the network has it already."""

    async def introduce(self, address: ids.Address) -> ids.HostId:
        """Return the host that listens at an address.

        :raises errors.UnreachableError: when none does.
        """
        await asyncio.sleep(2 * self._network.delay)
        found = self._network.host_at(address)
        if found is None or self._network.host(found) is None:
            raise errors.UnreachableError(f'nobody answers at {address}')
        return found

    async def call(
        self,
        to: ids.HostId,
        message: peers.Message,
        timeout: float,
        on_late: peers.HandleLate | None = None,
    ) -> peers.Message:
        """Send a message and wait for its answer.

        :param on_late: not called; late answers are lost here.
        :raises errors.OversizeError: when it is too long for a frame.
        :raises errors.UnreachableError: when the host is gone.
        :raises errors.PeerTimeoutError: when no answer came in time.
        :raises errors.RemoteError: when the handler failed.
        """
        if self._network.host(to) is None:
            await asyncio.sleep(self._network.delay)
            raise errors.UnreachableError(f'{to} is not connected')
        _check_length(message)
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(to, message)
        except TimeoutError as exc:
            raise errors.PeerTimeoutError(f'{to} did not answer') from exc

    def send(self, to: ids.HostId, message: peers.Message) -> None:
        """Send a message without an answer; it may be lost."""
        with contextlib.suppress(errors.OversizeError):
            _check_length(message)
            self.start(self._deliver_one_way(to, message))

    async def receive(
        self,
        sender: ids.HostId,
        message: peers.Message,
    ) -> peers.Message | None:
        """Run the handler of a message that arrived.

        :raises errors.RemoteError: when there is none or it failed, or its
            answer is too long for a frame.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.RemoteError(f'no handler of {type(message).__name__}')
        try:
            answer = await handler(sender, _round_trip(message))
            _check_length(answer)
        except Exception as exc:
            raise errors.RemoteError(repr(exc)) from exc
        return answer

    def start(
        self,
        work: typing.Coroutine[typing.Any, typing.Any, _Result],
    ) -> asyncio.Task[_Result]:
        """Run a task of this host."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _deliver_duplicate(
        self, to: ids.HostId, message: peers.Message
    ) -> None:
        """Deliver a duplicate later and discard its answer."""
        await asyncio.sleep(2 * self._network.draw_delay_seconds())
        receiver = self._network.host(to)
        if receiver is not None:
            with contextlib.suppress(errors.RemoteError):
                await receiver.receive(self.host_id, message)

    async def _exchange(
        self,
        to: ids.HostId,
        message: peers.Message,
    ) -> peers.Message:
        # Bound before the answer: one made by a host that was replaced since
        # is lost with it.
        receiver = self._network.host(to)
        answer = await self._deliver(to, message)
        if receiver is None or not self._network.passes_link(
            receiver,
            self.host_id,
            answer,
        ):
            await asyncio.Event().wait()
        await asyncio.sleep(self._network.draw_delay_seconds())
        return _round_trip(answer)

    async def _deliver_one_way(
        self, to: ids.HostId, message: peers.Message
    ) -> None:
        """Deliver a message that needs no answer."""
        receiver = await self._transmit(to, message)
        if receiver is not None:
            with contextlib.suppress(errors.RemoteError):
                await receiver.receive(self.host_id, message)

    async def _deliver(
        self,
        to: ids.HostId,
        message: peers.Message,
    ) -> peers.Message | None:
        receiver = await self._transmit(to, message)
        if receiver is None:
            # The sender can't tell a loss from a slow answer.
            return await asyncio.Event().wait()
        # As over TCP, a caller that gives up doesn't stop the handler.
        handled = receiver.start(receiver.receive(self.host_id, message))
        return await asyncio.shield(handled)

    async def _transmit(
        self,
        to: ids.HostId,
        message: peers.Message,
    ) -> typing.Optional['MemoryPeers']:
        """Return the host that a message reaches, or None when it is lost."""
        passes_link = self._network.passes_link(self, to, message)
        if passes_link and self._network.draw_duplicate():
            self.start(self._deliver_duplicate(to, message))
        await asyncio.sleep(self._network.draw_delay_seconds())
        return self._network.host(to) if passes_link else None


def _check_length(message: peers.Message) -> None:
    """Refuse what a real connection could not send.

    :raises errors.OversizeError: when it is too long for a frame.
    """
    if hasattr(message, 'thrift_spec'):
        framing.pack(framing.encode(message))


def _round_trip(message: peers.Message) -> peers.Message:
    """Return a copy as a real connection would deliver it."""
    if hasattr(message, 'thrift_spec'):
        return framing.decode(type(message), framing.encode(message))
    return copy.deepcopy(message)
