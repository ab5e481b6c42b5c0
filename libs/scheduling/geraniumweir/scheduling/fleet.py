"""Changes of the backend servers: announcements, classes, restarts."""

import typing

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling import (
    concurrency,
    deadline_records,
    deadline_state,
    placement,
    predicting,
    stragglers,
)

_MAX_GONE_SERVERS = 64


def sync(
    leader: deadline_state.DeadlineLeaderState,
) -> list[deadline_records.Server]:
    """Apply the list of servers that may get new work now.

    :returns: servers that crashed: known ones with a new incarnation.
    """
    leader.synced_at = leader.now()
    live = {ready.server_id: ready for ready in leader.live()}
    if live:
        leader.live_server_at = leader.now()
    crashed = []
    for announcement in live.values():
        known = leader.servers.get(announcement.server_id)
        if known is None:
            _add_server(leader, announcement)
        elif _update_server(leader, known, announcement):
            crashed.append(known)
    _close_missing(leader, live)
    leader.slots = sum(server.capacity() for server in leader.servers.values())
    _evict_gone(leader, live)
    return crashed


def readmit(
    leader: deadline_state.DeadlineLeaderState, server: deadline_records.Server
) -> None:
    """Give a server that restarted after a crash a little work at first."""
    server.health.probe()
    leader.prefixes.start(
        server.server_id,
        server.announcement.incarnation,
    )
    placement.refresh(leader, server)


def _add_server(
    leader: deadline_state.DeadlineLeaderState,
    announcement: servers.Announcement,
) -> None:
    slots = max(announcement.slots, 1)
    server = deadline_records.Server(
        announcement,
        _class_of(leader, announcement),
        concurrency.Limit(slots),
        stragglers.Health(),
    )
    leader.servers[announcement.server_id] = server
    leader.prefixes.start(announcement.server_id, announcement.incarnation)
    orphans = leader.orphans.pop(announcement.server_id, {})
    for running in orphans.values():
        attach(leader, server, running)
        leader.prefixes.record_grant(
            server.server_id, running.slot_request.blocks
        )
    placement.refresh(leader, server)


def _update_server(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    announcement: servers.Announcement,
) -> bool:
    """Apply an announcement of a known server.

    :returns: whether the server has restarted.
    """
    before = server.announcement
    if announcement is before and server.live:
        return False
    server.announcement = announcement
    server.live = True
    kind = _class_of(leader, announcement)
    if kind is not server.kind:
        leader.open_servers.discard(announcement.server_id)
        server.kind = kind
    slots = max(announcement.slots, 1)
    if slots != server.limit.slots:
        server.limit = concurrency.Limit(slots)
    placement.refresh(leader, server)
    return announcement.incarnation > before.incarnation


def _class_of(
    leader: deadline_state.DeadlineLeaderState,
    announcement: servers.Announcement,
) -> deadline_records.ServerClass:
    """Return a server's class; a new class is added to waiting requests."""
    models = (*announcement.models, *announcement.adapters)
    key = (announcement.hardware, models, announcement.max_context)
    kind = leader.classes.get(key)
    if kind is not None:
        return kind
    kind = deadline_records.ServerClass(*key)
    leader.classes[key] = kind
    for waiting in leader.waiting.values():
        if kind.serves(waiting.slot_request):
            _add_class(leader, waiting, kind)
    return kind


def _add_class(
    leader: deadline_state.DeadlineLeaderState,
    waiting: deadline_records.Waiting,
    kind: deadline_records.ServerClass,
) -> None:
    latest = predicting.latest_start(leader, waiting, kind)
    waiting.latest_starts[kind] = latest
    waiting.best_start = max(waiting.best_start, latest)
    if not waiting.held:
        leader.queue.add_class(
            waiting,
            waiting.flow,
            waiting.sequence,
            (kind, latest),
        )


def attach(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    """Record a grant at its server."""
    request_id = running.grant.request_id
    server.running[request_id] = running
    server.kv_used += running.kv_need
    server.suspects += running.suspect
    server.stuck += running.stuck
    if running.first_token is None:
        begins = max(server.prefilled_at, leader.now())
        server.prefilled_at = begins + running.prefill
        if running.slot_request.streams:
            server.prefilling[request_id] = running
            server.prefilling_seconds += running.prefill
    if server.announcement.can_cancel and running.slot_request.idempotent:
        leader.preemptible.add(
            server.kind,
            running.slot_request.tier,
            running.uncached,
            request_id,
        )
    placement.refresh(leader, server)


def detach(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    """Remove a grant from its server."""
    request_id = running.grant.request_id
    if server.running.pop(request_id, None) is None:
        return
    server.kv_used -= running.kv_need
    server.suspects -= running.suspect
    server.stuck -= running.stuck
    if running.first_token is None:
        server.prefilled_at -= running.prefill
    end_prefill(leader, server, running)
    leader.preemptible.remove(request_id)
    placement.refresh(leader, server)


def end_prefill(
    leader: deadline_state.DeadlineLeaderState,
    server: deadline_records.Server,
    running: deadline_records.Running,
) -> None:
    """Record that a prompt has been computed or will not be."""
    if server.prefilling.pop(running.slot_request.request_id, None) is None:
        return
    server.first_token_at = leader.now()
    server.prefilling_seconds -= running.prefill
    if not server.prefilling:
        # Rounding errors of the sum would accumulate.
        server.prefilling_seconds = 0


def _close_missing(
    leader: deadline_state.DeadlineLeaderState,
    live: typing.Mapping[ids.ServerId, servers.Announcement],
) -> None:
    for server_id, server in leader.servers.items():
        if server.live and server_id not in live:
            server.live = False
            placement.refresh(leader, server)


def _evict_gone(
    leader: deadline_state.DeadlineLeaderState,
    live: typing.Mapping[ids.ServerId, servers.Announcement],
) -> None:
    if len(leader.servers) <= 2 * len(live) + _MAX_GONE_SERVERS:
        return
    for server_id, server in list(leader.servers.items()):
        if not server.live and not server.running:
            leader.servers.pop(server_id)
            leader.prefixes.remove_server(server_id)
