"""What a fake engine saw and did, for counting what was lost or doubled."""

import asyncio
import collections
import dataclasses
import typing


@dataclasses.dataclass(slots=True)
class Account:
    """All that an engine saw and did.

    :ivar seen: ids as their calls came.
    :ivar ran: runs by id.
    :ivar whole: ids whose last event was made.
    :ivar cancelled: ids that were cancelled by ``DELETE``.
    :ivar resumed: ids and events that streams were resumed from.
    :ivar peers: the far ends of the connections that calls came by.
    :ivar sent: the bytes of each answer as they were sent.
    :ivar prefilled: prompt tokens worked on.
    :ivar thrown: of them, for answers that nobody got whole.
    """

    seen: list[str] = dataclasses.field(default_factory=list)
    ran: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    whole: set[str] = dataclasses.field(default_factory=set)
    cancelled: list[str] = dataclasses.field(default_factory=list)
    resumed: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    peers: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    headers: dict[str, typing.Mapping[str, str]] = dataclasses.field(
        default_factory=dict,
    )
    sent: dict[str, bytearray] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(bytearray),
    )
    orders: list[typing.Any] = dataclasses.field(default_factory=list)
    prefilled: int = 0
    thrown: int = 0
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition,
    )

    async def until(self, met: typing.Callable[['Account'], bool]) -> None:
        """Wait until the account meets a condition."""
        async with self.changed:
            await self.changed.wait_for(lambda: met(self))

    async def note(self) -> None:
        """Wake who waits for a condition."""
        async with self.changed:
            self.changed.notify_all()

    def keep(self, request_id: str, part: bytes) -> None:
        """Keep bytes that were sent."""
        self.sent[request_id] += part
