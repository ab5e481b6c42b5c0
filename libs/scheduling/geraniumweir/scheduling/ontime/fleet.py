"""Follows the backend servers that may get new work."""

from geraniumweir.common import ids
from geraniumweir.membership import servers
from geraniumweir.scheduling.ontime import records, state

# Servers are looked up this often at most, in seconds; a change that is told
# of is looked at at once.
_SYNC_SECONDS = 0.25
# A server of whose run another one has taken the place is remembered for so
# long, in seconds: by then its reports have stopped for longer than any lease.
_GONE_SECONDS = 60.0


def changed(leader: state.LeaderState) -> None:
    """Have the servers looked up again."""
    leader.synced = float('-inf')


def replaced(leader: state.LeaderState, server: records.Server) -> None:
    """Take that another run of a server answers at its address."""
    leader.gone[server.server_id] = leader.now()
    changed(leader)


def sync(leader: state.LeaderState) -> None:
    """Take the servers that may get new work now."""
    now = leader.now()
    if now - leader.synced < _SYNC_SECONDS:
        return
    leader.synced = now
    live = _live(leader, now)
    if live:
        leader.served_at = now
    for server_id, announcement in live.items():
        server = leader.servers.get(server_id)
        if server is None:
            _appear(leader, announcement)
        else:
            server.announcement = announcement
            server.live = True
    for missing in leader.servers.keys() - live.keys():
        _close(leader, leader.servers[missing])


def _live(
    leader: state.LeaderState,
    now: float,
) -> dict[ids.ServerId, servers.Announcement]:
    for server_id, since in list(leader.gone.items()):
        if now - since > _GONE_SECONDS:
            leader.gone.pop(server_id)
    return {
        found.server_id: found
        for found in leader.live()
        if found.server_id not in leader.gone
    }


def _appear(
    leader: state.LeaderState,
    announcement: servers.Announcement,
) -> None:
    server = records.Server(announcement)
    leader.servers[announcement.server_id] = server
    for running in leader.running.values():
        if running.grant.server_id == announcement.server_id:
            state.run(leader, server, running)


def _close(leader: state.LeaderState, server: records.Server) -> None:
    server.live = False
    if not server.running:
        leader.servers.pop(server.server_id)
