"""Keeps an entry host and the pool leaders agreed, whatever got lost.

Once a second the owner tells each leader what it has there. What the leader
doesn't know is asked, or handed over, again; what the owner doesn't name is
dropped by the leader. A new leader of the own failure domain asks for it all
before it grants.
"""

import collections

from geraniumweir.common import ids, timers
from geraniumweir.scheduling import (
    channel,
    home,
    owned,
    requesting,
    translation,
)
from geraniumweir.wire import errors
from geraniumweir.wire.gen.scheduling import ttypes

_PERIOD = 1.0
_TIMEOUT = 0.5
_MOST_MISSES = 2

_Seat = tuple[ids.HostId, ids.PoolName]


class Upkeep:
    """The periodic and the occasional exchange with leaders."""

    def __init__(
        self,
        link: channel.Channel,
        mine: owned.Owned,
        leaders: home.HomeLeaders,
        asker: requesting.SlotRequester,
        clock: timers.TimerService,
    ) -> None:
        """Start the period and answer new leaders."""
        self._link = link
        self._mine = mine
        self._home = leaders
        self._asker = asker
        self._clock = clock
        self._touched: set[_Seat] = set()
        self._misses: collections.Counter[_Seat] = collections.Counter()
        self._subscriptions = (
            leaders.changes.subscribe(lambda _: self._moved()),
            clock.every(_PERIOD).subscribe(lambda _: self._sync_all()),
        )
        link.handle(ttypes.HandoverRequest, self._on_handover_request)

    def touch(self, host: ids.HostId, pool: ids.PoolName) -> None:
        """Note that a leader has, or had, something of this host."""
        self._touched.add((host, pool))

    def close(self) -> None:
        """Stop."""
        self._home.close()
        for subscription in self._subscriptions:
            subscription.dispose()

    def _moved(self) -> None:
        for pool in self._mine.pools():
            self._move(pool)
        self._sync_all()

    def _move(self, pool: ids.PoolName) -> None:
        host = self._home.leader(pool)
        self.touch(host, pool)
        for place in self._mine.home_places(pool):
            if place.host != host:
                self._asker.move(place, host)

    async def _on_handover_request(
        self,
        sender: ids.HostId,
        message: ttypes.HandoverRequest,
    ) -> ttypes.Handover:
        pool = ids.PoolName(message.pool)
        waiting = []
        if self._home.accept_claim(pool, sender):
            # From here on no grant of the former leader is taken.
            self._move(pool)
            waiting = self._mine.home_places(pool)
        now = self._clock.now()
        return ttypes.Handover(
            pool,
            self._packed(self._mine.home_grants(pool)),
            [
                translation.pack_ask(place.slot_request, place.attempt, now)
                for place in waiting
            ],
        )

    def _packed(self, grants: list[owned.InUse]) -> list[ttypes.OpenGrant]:
        now = self._clock.now()
        return [
            translation.pack_open(
                found.for_handover(now),
                found.attempt,
                now,
            )
            for found in grants
        ]

    def _sync_all(self) -> None:
        for pool in self._mine.pools():
            self.touch(self._home.leader(pool), pool)
        for seat in sorted(self._touched):
            self._link.start(self._sync(seat))

    async def _sync(self, seat: _Seat) -> None:
        places = self._places(seat)
        grants = self._grants(seat)
        attempt = self._mine.attempt
        message = ttypes.Sync(
            pool=seat[1],
            attempt=attempt,
            waiting=[place.slot_request.request_id for place in places],
            open=[found.slot_request.request_id for found in grants],
        )
        try:
            reply = await self._link.call(seat[0], message, _TIMEOUT)
        except errors.PeerError:
            self._missed(seat)
            return
        self._misses.pop(seat, None)
        if reply.leads:
            self._mine.last_seen[seat[0]] = self._clock.now()
        self._repair(seat, reply, places)
        if not places and not grants and attempt == self._mine.attempt:
            self._touched.discard(seat)

    def _missed(self, seat: _Seat) -> None:
        if self._heard_lately(seat[0]):
            # The message was lost, not the leader.
            self._misses.pop(seat, None)
            return
        self._misses[seat] += 1
        if self._misses[seat] < _MOST_MISSES:
            return
        self._misses.pop(seat)
        self._mine.last_seen.pop(seat[0], None)
        for place in self._places(seat):
            place.resolve(None)
        if not self._grants(seat):
            self._touched.discard(seat)

    def _heard_lately(self, host: ids.HostId) -> bool:
        at = self._mine.last_seen.get(host)
        return at is not None and self._clock.now() - at < _PERIOD

    def _repair(
        self,
        seat: _Seat,
        reply: ttypes.SyncReply,
        places: list[owned.Place],
    ) -> None:
        if not reply.leads:
            for place in places:
                place.resolve(None)
            self._touched.discard(seat)
            return
        lost = frozenset(reply.waiting)
        for place in places:
            if place.slot_request.request_id in lost and not place.fut.done():
                self._asker.deliver(place)
        unknown = frozenset(reply.open)
        grants = [
            found
            for found in self._grants(seat)
            if found.slot_request.request_id in unknown
        ]
        if grants:
            message = ttypes.Handover(seat[1], self._packed(grants), [])
            self._link.send(seat[0], message)

    def _places(self, seat: _Seat) -> list[owned.Place]:
        return [
            place
            for place in self._mine.places.values()
            if (place.host, place.slot_request.pool) == seat
        ]

    def _grants(self, seat: _Seat) -> list[owned.InUse]:
        return [
            found
            for found in self._mine.in_use.values()
            if found.slot_request.pool == seat[1]
            and self._holder(found) == seat[0]
        ]

    def _holder(self, found: owned.InUse) -> ids.HostId:
        return (
            self._home.leader(found.slot_request.pool)
            if found.home
            else found.host
        )
