"""Places in pool leaders' queues and grants in use of an entry host.

A request has one place at a time. Each place has its own attempt number, and
only a grant for the current place is accepted, so that a late or repeated
grant, or one of a former leader, can't lead to a second dispatch.
"""

import asyncio
import dataclasses
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import ask_limits, requests


@dataclasses.dataclass(slots=True, eq=False)
class Place:
    """Place of one request in the queue of one pool leader.

    :ivar host: host of the pool leader.
    :ivar home: whether it leads the pool in the own failure domain.
    :ivar fut: resolves to a grant or denial, or None when the place is lost.
    :ivar wait: until when the request may wait.
    :ivar hint: the leader's host according to a host that doesn't lead.
    :ivar reached: whether a leader had the slot request in its queue.
    :ivar failed: whether a leader got the slot request and raised an error.
    :ivar delivery: task that sends the slot request until the leader has it.
    """

    slot_request: requests.SlotRequest
    host: ids.HostId
    home: bool
    attempt: int
    fut: asyncio.Future[requests.Grant | requests.Denial | None]
    wait: ask_limits.Wait
    hint: ids.HostId | None = None
    reached: bool = False
    failed: bool = False
    delivery: asyncio.Task[None] | None = None

    def is_being_sent(self) -> bool:
        """Return whether the slot request, or a repeat of it, is sent."""
        return self.delivery is not None and not self.delivery.done()

    def resolve(
        self,
        answer: requests.Grant | requests.Denial | None,
    ) -> None:
        """Set the result, unless it is set already."""
        if not self.fut.done():
            self.fut.set_result(answer)


@dataclasses.dataclass(slots=True, eq=False)
class InUse:
    """Grant that the entry host uses.

    :ivar host: host of the leader that granted it.
    :ivar home: whether it leads the pool in the own failure domain.
    :ivar granted_at: time of the grant in seconds.
    """

    slot_request: requests.SlotRequest
    grant: requests.Grant
    host: ids.HostId
    home: bool
    attempt: int
    granted_at: float
    first_token: float | None = None
    output_tokens: int = 0

    def for_handover(self, now: float) -> requests.OpenGrant:
        """Return the grant as another leader needs it for its takeover."""
        return requests.OpenGrant(
            self.slot_request,
            self.grant,
            now - self.granted_at,
            self.first_token,
            self.output_tokens,
        )


class Owned:
    """Requests of one entry host that wait or have a grant.

    :ivar last_seen: time in seconds at which each host last answered a call
        as leader.
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self.places: dict[ids.RequestId, Place] = {}
        self.in_use: dict[ids.RequestId, InUse] = {}
        self.last_seen: dict[ids.HostId, float] = {}
        self.attempt = 0
        self._numbers = itertools.count(1)

    def next_attempt(self) -> int:
        """Return an attempt number that no place has had."""
        self.attempt = next(self._numbers)
        return self.attempt

    def home_places(self, pool: ids.PoolName) -> list[Place]:
        """List places in the own failure domain's queue of a pool."""
        return [
            place
            for place in self.places.values()
            if place.home
            and place.slot_request.pool == pool
            and not place.fut.done()
        ]

    def home_grants(self, pool: ids.PoolName) -> list[InUse]:
        """List grants from the own failure domain's leader of a pool."""
        return [
            found
            for found in self.in_use.values()
            if found.home and found.slot_request.pool == pool
        ]

    def pools(self) -> set[ids.PoolName]:
        """List the pools of all home places and grants."""
        everything: typing.Iterable[Place | InUse] = itertools.chain(
            self.places.values(),
            self.in_use.values(),
        )
        return {found.slot_request.pool for found in everything if found.home}
