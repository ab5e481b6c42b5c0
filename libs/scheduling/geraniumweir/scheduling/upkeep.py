"""Periodic synchronization of an entry host with the pool leaders.

Once a second the owner of requests sends each leader the ids of those it has
there. What the leader does not have is sent, or handed over, again; what the
owner does not name is discarded by the leader. A new leader of the own failure
domain requests everything before it grants.
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

_SYNC_INTERVAL_SECONDS = 1.0
_SYNC_TIMEOUT_SECONDS = 0.5
_MAX_MISSES = 2

_LeaderKey = tuple[ids.HostId, ids.PoolName]


class Upkeep:
    """Periodic synchronization with leaders, and handover to new ones."""

    def __init__(
        self,
        link: channel.Channel,
        own_requests: owned.Owned,
        leaders: home.HomeLeaders,
        asker: requesting.SlotRequester,
        clock: timers.TimerService,
    ) -> None:
        """Start the periodic synchronization and the answers to new leaders."""
        self._link = link
        self._requests = own_requests
        self._home = leaders
        self._asker = asker
        self._clock = clock
        self._leaders_in_use: set[_LeaderKey] = set()
        self._misses: collections.Counter[_LeaderKey] = collections.Counter()
        self._subscriptions = (
            leaders.changes.subscribe(lambda _: self._on_leader_change()),
            clock.every(_SYNC_INTERVAL_SECONDS).subscribe(
                lambda _: self._sync_all()
            ),
        )
        link.handle(ttypes.HandoverRequest, self._on_handover_request)

    def touch(self, host: ids.HostId, pool: ids.PoolName) -> None:
        """Record that a leader has, or had, requests of this host."""
        self._leaders_in_use.add((host, pool))

    def close(self) -> None:
        """Cancel the subscriptions."""
        self._home.close()
        for subscription in self._subscriptions:
            subscription.dispose()

    def _on_leader_change(self) -> None:
        for pool in self._requests.pools():
            self._move_to_leader(pool)
        self._sync_all()

    def _move_to_leader(self, pool: ids.PoolName) -> None:
        host = self._home.leader(pool)
        self.touch(host, pool)
        for place in self._requests.home_places(pool):
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
            # From here on grants of the former leader are ignored.
            self._move_to_leader(pool)
            waiting = self._requests.home_places(pool)
        now = self._clock.now()
        return ttypes.Handover(
            pool,
            self._pack_open(self._requests.home_grants(pool)),
            [
                translation.pack_ask(place.slot_request, place.attempt, now)
                for place in waiting
            ],
        )

    def _pack_open(self, grants: list[owned.InUse]) -> list[ttypes.OpenGrant]:
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
        for pool in self._requests.pools():
            self.touch(self._home.leader(pool), pool)
        for leader_key in sorted(self._leaders_in_use):
            self._link.start(self._sync(leader_key))

    async def _sync(self, leader_key: _LeaderKey) -> None:
        places = self._places(leader_key)
        grants = self._grants(leader_key)
        attempt = self._requests.attempt
        message = ttypes.Sync(
            pool=leader_key[1],
            attempt=attempt,
            waiting=[place.slot_request.request_id for place in places],
            open=[found.slot_request.request_id for found in grants],
        )
        try:
            reply = await self._link.call(
                leader_key[0], message, _SYNC_TIMEOUT_SECONDS
            )
        except errors.PeerError:
            self._record_miss(leader_key)
            return
        self._misses.pop(leader_key, None)
        if reply.leads:
            self._requests.last_seen[leader_key[0]] = self._clock.now()
        self._resend_missing(leader_key, reply, places)
        if not places and not grants and attempt == self._requests.attempt:
            self._leaders_in_use.discard(leader_key)

    def _record_miss(self, leader_key: _LeaderKey) -> None:
        if self._is_recently_seen(leader_key[0]):
            # Only the message was lost; the leader is reachable.
            self._misses.pop(leader_key, None)
            return
        self._misses[leader_key] += 1
        if self._misses[leader_key] < _MAX_MISSES:
            return
        self._misses.pop(leader_key)
        self._requests.last_seen.pop(leader_key[0], None)
        for place in self._places(leader_key):
            place.resolve(None)
        if not self._grants(leader_key):
            self._leaders_in_use.discard(leader_key)

    def _is_recently_seen(self, host: ids.HostId) -> bool:
        last_seen_at = self._requests.last_seen.get(host)
        return (
            last_seen_at is not None
            and self._clock.now() - last_seen_at < _SYNC_INTERVAL_SECONDS
        )

    def _resend_missing(
        self,
        leader_key: _LeaderKey,
        reply: ttypes.SyncReply,
        places: list[owned.Place],
    ) -> None:
        if not reply.leads:
            for place in places:
                place.resolve(None)
            self._leaders_in_use.discard(leader_key)
            return
        missing_places = frozenset(reply.waiting)
        for place in places:
            if (
                place.slot_request.request_id in missing_places
                and not place.fut.done()
            ):
                self._asker.deliver(place)
        missing_grants = frozenset(reply.open)
        grants = [
            found
            for found in self._grants(leader_key)
            if found.slot_request.request_id in missing_grants
        ]
        if grants:
            message = ttypes.Handover(
                leader_key[1], self._pack_open(grants), []
            )
            self._link.send(leader_key[0], message)

    def _places(self, leader_key: _LeaderKey) -> list[owned.Place]:
        return [
            place
            for place in self._requests.places.values()
            if (place.host, place.slot_request.pool) == leader_key
        ]

    def _grants(self, leader_key: _LeaderKey) -> list[owned.InUse]:
        return [
            found
            for found in self._requests.in_use.values()
            if found.slot_request.pool == leader_key[1]
            and self._leader_of(found) == leader_key[0]
        ]

    def _leader_of(self, found: owned.InUse) -> ids.HostId:
        return (
            self._home.leader(found.slot_request.pool)
            if found.home
            else found.host
        )
