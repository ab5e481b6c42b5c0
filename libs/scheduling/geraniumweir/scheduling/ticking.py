"""Periodic work of a pool leader: server list, stalls, ended cooldowns."""

import asyncio
import heapq

from geraniumweir.scheduling import (
    crashes,
    deadline_granting,
    deadline_records,
    deadline_state,
    placement,
    shedding,
    stragglers,
)

_TICK_SECONDS = 0.25
_MIN_SYNC_SECONDS = 0.02


def start_ticking(leader: deadline_state.DeadlineLeaderState) -> None:
    """Start the periodic timer unless it runs."""
    if leader.ticker is None:
        leader.ticker = asyncio.get_running_loop().call_later(
            _TICK_SECONDS,
            _tick,
            leader,
        )


def servers_changed(leader: deadline_state.DeadlineLeaderState) -> None:
    """Apply changed servers or settings.

    Announcements arrive by the hundred per second, so most of them are left
    to the next tick.
    """
    if leader.now() - leader.synced_at >= _MIN_SYNC_SECONDS:
        crashes.synced(leader)
        deadline_granting.fill_open(leader)


def sync_if_stale(leader: deadline_state.DeadlineLeaderState) -> None:
    """Apply the list of servers unless that was done within a tick."""
    if leader.now() - leader.synced_at > _TICK_SECONDS:
        crashes.synced(leader)
        deadline_granting.fill_open(leader)


def run_tick(leader: deadline_state.DeadlineLeaderState) -> None:
    """Run the work that is due at a tick."""
    if leader.now() >= leader.takeover_ends_at:
        leader.takeover_complete = True
    if leader.now() - leader.synced_at >= _TICK_SECONDS:
        crashes.synced(leader)
    shedding.deny_unservable(leader)
    _find_stalls(leader)
    for server in leader.servers.values():
        if server.health.end_cooldown(leader.now()):
            placement.refresh(leader, server)
    deadline_granting.fill_open(leader)


def _tick(leader: deadline_state.DeadlineLeaderState) -> None:
    leader.ticker = None
    run_tick(leader)
    if leader.waiting or leader.running:
        start_ticking(leader)


def _find_stalls(leader: deadline_state.DeadlineLeaderState) -> None:
    while leader.due and leader.due[0][0] <= leader.now():
        _, _, request_id = heapq.heappop(leader.due)
        running = leader.running.get(request_id)
        if running is None:
            continue
        if running.due > leader.now():
            deadline_granting.watch_progress(leader, running)
        else:
            _handle_stall(leader, running)


def _handle_stall(
    leader: deadline_state.DeadlineLeaderState,
    running: deadline_records.Running,
) -> None:
    server = leader.servers.get(running.grant.server_id)
    if server is None or running.stuck:
        return
    running.stuck = True
    server.stuck += 1
    server.health.stall(leader.now())
    if server.health.standing is stragglers.Standing.stalled:
        placement.refresh(leader, server)
