"""What an entry host has with pool leaders: places in queues, grants in use.

A request is in one place at a time. Each place has an attempt number of its
own, and only a grant for the present place counts, so that a grant that was
late, repeated or made by a former leader can't lead to a second dispatch.
"""

import asyncio
import dataclasses
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests


@dataclasses.dataclass(slots=True, eq=False)
class Place:
    """One request in the queue of one pool leader.

    :ivar host: the leader that is asked.
    :ivar home: whether it is the one of the own failure domain.
    :ivar fut: a grant or denial, or None when the place is lost.
    :ivar hint: who leads, by one that doesn't.
    :ivar reached: whether a leader had the ask in its queue.
    :ivar failed: whether a leader got the ask and failed on it.
    :ivar delivery: sends the ask until the leader has it.
    """

    slot_request: requests.SlotRequest
    host: ids.HostId
    home: bool
    attempt: int
    fut: asyncio.Future[requests.Grant | requests.Denial | None]
    hint: ids.HostId | None = None
    reached: bool = False
    failed: bool = False
    delivery: asyncio.Task[None] | None = None

    def resolve(
        self,
        answer: requests.Grant | requests.Denial | None,
    ) -> None:
        """End the waiting, unless it has ended already."""
        if not self.fut.done():
            self.fut.set_result(answer)


@dataclasses.dataclass(slots=True, eq=False)
class InUse:
    """A grant that the entry host works with.

    :ivar host: the leader that gave it.
    :ivar home: whether that was the one of the own failure domain.
    :ivar since: time of the grant in seconds.
    """

    slot_request: requests.SlotRequest
    grant: requests.Grant
    host: ids.HostId
    home: bool
    attempt: int
    since: float
    first_token: float | None = None
    output_tokens: int = 0

    def for_handover(self, now: float) -> requests.OpenGrant:
        """Give what another leader needs to take the grant over."""
        return requests.OpenGrant(
            self.slot_request,
            self.grant,
            now - self.since,
            self.first_token,
            self.output_tokens,
        )


class Owned:
    """All requests of one entry host that wait or have a grant.

    :ivar last_seen: when a leader last answered a call as such, in seconds.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.places: dict[ids.RequestId, Place] = {}
        self.in_use: dict[ids.RequestId, InUse] = {}
        self.last_seen: dict[ids.HostId, float] = {}
        self.attempt = 0
        self._numbers = itertools.count(1)

    def next_attempt(self) -> int:
        """Give a number that no place has had."""
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
