"""Sharing of the leases of backend servers inside a failure domain.

The host that receives an announcement publishes it to the other hosts of the
domain: a changed announcement at once as a card, an unchanged one in the next
heartbeat as its key and the time left. A host that doesn't have the key
requests the card. Only leases renewed by a direct announcement are shared, so
that hosts can't keep renewing a lease among themselves.
"""

import asyncio
import dataclasses
import functools
import typing

import xxhash
from geraniumweir.common import ids
from geraniumweir.membership import (
    hosts,
    limits,
    members,
    servercards,
    servers,
    shared_state,
)
from geraniumweir.wire.gen.membership import ttypes

ANNOUNCE_PERIOD_MS = 1000
MAX_ANNOUNCE_TO = 3
MAX_IN_MESSAGE = 512
_BATCH_SECONDS = 0.02
_LEAVING_REPEAT_SECONDS = (0.4, 0.8, 1.2, 1.6)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply to the announcement of a server.

    :ivar next_ms: time until the next announcement, in milliseconds.
    :ivar announce_to: backend addresses of hosts to announce to.
    """

    next_ms: int
    announce_to: tuple[ids.Address, ...]


class Sharing:
    """Receiver of announcements that shares their leases.

    :ivar registry: backend servers of the domain.
    """

    def __init__(self, shared: shared_state.SharedState) -> None:
        """Register the handlers."""
        self._shared = shared
        self.registry = servers.Registry(shared.me.failure_domain)
        self._renewed: set[ids.ServerId] = set()
        self._changed: set[ids.ServerId] = set()
        self._update_timer: asyncio.TimerHandle | None = None
        shared.peers.handle(ttypes.ServerLeases, self._on_leases)
        shared.peers.handle(ttypes.ServersRequest, self._on_request)

    def announce(self, announcement: servers.Announcement) -> Reply:
        """Apply an announcement from a server.

        :raises errors.AnnouncementError: when it is invalid, of another
            failure domain, or beyond the limit of servers.
        """
        limits.check(announcement)
        server_id = announcement.server_id
        before = self.registry.lease(server_id)
        self.registry.announce(announcement, self._shared.now())
        after = self.registry.lease(server_id)
        self._renewed.add(server_id)
        if before is None or after is None or before.key != after.key:
            self._publish(server_id, after)
        return Reply(ANNOUNCE_PERIOD_MS, self._announce_to(server_id))

    def renewals(self) -> list[ttypes.Renewal]:
        """Return the leases renewed by announcements since the last call."""
        now = self._shared.now()
        self.registry.sweep(now)
        renewed_ids = sorted(self._renewed)[:MAX_IN_MESSAGE]
        self._renewed.difference_update(renewed_ids)
        return [
            ttypes.Renewal(lease.key, servercards.left_ms(lease, now))
            for lease in self._leases(renewed_ids)
        ]

    def apply_renewals(
        self,
        sender: ids.HostId,
        renewed: list[ttypes.Renewal],
    ) -> None:
        """Renew leases; request the cards of unknown keys."""
        now = self._shared.now()
        unknown = [
            renewal.key
            for renewal in renewed[:MAX_IN_MESSAGE]
            if not self.registry.renew(
                renewal.key,
                renewal.left_ms / servercards.MS_PER_SECOND,
                now,
            )
        ]
        if unknown:
            self._shared.peers.send(sender, ttypes.ServersRequest(unknown))

    def _publish(
        self, server_id: ids.ServerId, lease: servers.Lease | None
    ) -> None:
        self._queue_update(server_id)
        announced = lease.announcement if lease else None
        if announced and announced.state is servers.ServerState.leaving:
            # Messages may be lost, and every host must have this state within
            # two seconds.
            for delay_seconds in _LEAVING_REPEAT_SECONDS:
                self._shared.timers.after(
                    delay_seconds,
                    functools.partial(self._queue_update, server_id),
                )

    def _queue_update(self, server_id: ids.ServerId) -> None:
        # Changes of servers that start together go out in one message.
        self._changed.add(server_id)
        if self._update_timer is None:
            self._update_timer = self._shared.timers.after(
                _BATCH_SECONDS,
                self._send_updates,
            )

    def _send_updates(self) -> None:
        self._update_timer = None
        pending = sorted(self._changed)
        self._changed.clear()
        now = self._shared.now()
        changed = [
            servercards.write(lease, now) for lease in self._leases(pending)
        ]
        self._send(ttypes.ServerLeases(changed))

    def _leases(
        self,
        server_ids: typing.Iterable[ids.ServerId],
    ) -> list[servers.Lease]:
        found = map(self.registry.lease, server_ids)
        return [lease for lease in found if lease is not None]

    def _send(self, message: ttypes.ServerLeases) -> None:
        view_states = (members.State.live, members.State.suspected)
        for host in self._shared.members.others(*view_states):
            self._shared.peers.send(host.host_id, message)

    def _announce_to(
        self,
        server_id: ids.ServerId,
    ) -> tuple[ids.Address, ...]:
        candidates = [
            host
            for host in self._shared.members.live()
            if host.backend_address is not None and not host.draining
        ]
        weight = functools.partial(_weight, server_id)
        chosen = sorted(candidates, key=weight)[:MAX_ANNOUNCE_TO]
        return tuple(
            host.backend_address
            for host in chosen
            if host.backend_address is not None
        )

    async def _on_leases(
        self,
        sender: ids.HostId,
        message: ttypes.ServerLeases,
    ) -> None:
        now = self._shared.now()
        for card in message.changed[:MAX_IN_MESSAGE]:
            left = card.left_ms / servercards.MS_PER_SECOND
            self.registry.apply(servercards.read(card), left, now)

    async def _on_request(
        self,
        sender: ids.HostId,
        message: ttypes.ServersRequest,
    ) -> None:
        now = self._shared.now()
        found = map(self.registry.by_key, message.keys[:MAX_IN_MESSAGE])
        changed = [
            servercards.write(lease, now)
            for lease in found
            if lease is not None
        ]
        if changed:
            self._shared.peers.send(sender, ttypes.ServerLeases(changed))


def _weight(server_id: ids.ServerId, host: hosts.Host) -> int:
    text = f'{server_id} {host.host_id}'
    return xxhash.xxh3_64_intdigest(text.encode())
