"""Follows the backend servers that may get new work."""

import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.membership import servers
from geraniumweir.rollout import controller, orders
from geraniumweir.scheduling import logevents, notices, ratelimits
from geraniumweir.scheduling.ontime import records, state

# Servers are looked up this often at most, in seconds; a change that is told
# of is looked at at once.
_SYNC_SECONDS = 0.25
# Tokens of a prompt by which the speeds of servers are compared.
_USUAL_PROMPT = 1000
# A server whose address another one has taken is remembered for so long, in
# seconds: by then its reports have stopped for longer than any lease.
_GONE_SECONDS = 60.0
# What broke off so long before a server's last good answer may have been told
# of after it, in seconds.
_SAME_MOMENT_SECONDS = 0.5
# A server that ended is known to be gone within so long, in seconds: some of
# its reports are missed before.
_KNOWN_GONE_SECONDS = 10.0
# Of the answers that took a path so many must be held up before it is
# thought to do that: one of four.
_LEAST_TROUBLE = 0.2


def changed(leader: state.LeaderState) -> None:
    """Have the servers looked up again."""
    leader.synced = float('-inf')


def replaced(leader: state.LeaderState, server: records.Server) -> None:
    """Take that another server answers at its address."""
    leader.gone[server.start] = leader.now()
    changed(leader)


def server_of(
    leader: state.LeaderState,
    running: records.Running,
) -> records.Server | None:
    """Give the server that a grant is for; None where it started again.

    What ran on an earlier start says nothing of the present one.
    """
    server = leader.servers.get(running.grant.server_id)
    if server is None or server.start != running.start:
        return None
    return server


def sync(leader: state.LeaderState) -> None:
    """Take the servers that may get new work now."""
    now = leader.now()
    if now - leader.synced < _SYNC_SECONDS:
        return
    leader.synced = now
    known = _known(leader, now)
    live = {found.server_id: found for found in _unbarred(leader, known)}
    if live:
        leader.served_at = now
    for server_id, announcement in live.items():
        server = leader.servers.get(server_id)
        if server is not None and server.start != _start(announcement):
            _lose(leader, server)
            server = None
        if server is None:
            _appear(leader, announcement)
        else:
            server.announcement = announcement
            server.live = True
    _set_roles(leader)
    announced = {found.server_id for found in known}
    for missing in leader.servers.keys() - live.keys():
        server = leader.servers[missing]
        if server.live and missing not in announced:
            _blame(leader, server, ())
        _close(leader, server)
    _set_throttles(leader)
    leader.quickest = min(
        _judged_by(leader),
        key=lambda server: leader.learnt.first_token(
            server.speed,
            _USUAL_PROMPT,
        ),
        default=None,
    )


def _known(
    leader: state.LeaderState,
    now: float,
) -> list[servers.Announcement]:
    for start, since in list(leader.gone.items()):
        if now - since > _GONE_SECONDS:
            leader.gone.pop(start)
    leader.guide.refresh()
    return [
        found for found in leader.live() if _start(found) not in leader.gone
    ]


def _unbarred(
    leader: state.LeaderState,
    known: list[servers.Announcement],
) -> list[servers.Announcement]:
    """Leave out servers whose version may get nothing.

    While a rollout runs and nothing else is left, the old ones serve.
    """
    guide = leader.guide
    if guide.rollout is None:
        return known
    found = [
        one
        for one in known
        if guide.role(one.version) is not orders.Role.barred
    ]
    if found or not guide.is_running:
        return found
    return [one for one in known if one.version != guide.rollout.to]


def _set_roles(leader: state.LeaderState) -> None:
    guide = leader.guide
    if guide.rollout is None:
        return
    for server in leader.servers.values():
        server.canary = guide.role(server.version) is orders.Role.canary
    new = [
        one
        for one in leader.servers.values()
        if one.version == guide.target_version
    ]
    guide.new_server_count = len(new)
    guide.max_slots = max((one.slots for one in new), default=1)


def _set_throttles(leader: state.LeaderState) -> None:
    rates = leader.rates()
    now = leader.now()
    for server in leader.servers.values():
        per_second = rates.get(server.start)
        if per_second is None:
            server.throttle = None
        elif server.throttle is None:
            server.throttle = ratelimits.Throttle(per_second, now)
        else:
            server.throttle.change(per_second, now)


def _judged_by(leader: state.LeaderState) -> list[records.Server]:
    """List the servers of which the quickest shows what is possible.

    One that names a limit serves few, unless all do.
    """
    serving = [one for one in leader.servers.values() if one.serves]
    return [one for one in serving if one.throttle is None] or serving


def path_holds_up(
    leader: state.LeaderState,
    running: records.Running,
    server: records.Server,
) -> bool:
    """Tell whether the path to a server lately held answers up."""
    trouble = leader.path_quality.trouble(
        running.ask.failure_domain,
        server.announcement.failure_domain,
        leader.now(),
    )
    return trouble > _LEAST_TROUBLE


def rollout_load(leader: state.LeaderState) -> controller.Load:
    """Tell how the pool does, for its rollout."""
    to = leader.guide.target_version
    known = leader.servers.values()
    return controller.Load(
        old_running=sum(len(one.running) for one in known if one.version != to),
        running=len(leader.running),
        new_slots=sum(
            one.slots for one in known if one.live and one.version == to
        ),
        held=leader.held,
    )


def _start(announcement: servers.Announcement) -> notices.Start:
    return announcement.server_id, announcement.incarnation


def _lose(leader: state.LeaderState, server: records.Server) -> None:
    """Take that a server started again: what ran there is lost.

    Its requests are suspected of the crash, and keep no slot of the new
    start; their owners see for themselves that they broke off.
    """
    leader.servers.pop(server.server_id)
    _blame(
        leader,
        server,
        [one.ask.fingerprint for one in server.running.values()],
    )


def _blame(
    leader: state.LeaderState,
    server: records.Server,
    lost: typing.Sequence[ids.Fingerprint],
) -> None:
    """Suspect what a server ran when it ended without a word.

    Owners see that an answer broke off before the end of the server is known.

    :param lost: what still counts as running there.
    """
    since = max(
        server.last_good - _SAME_MOMENT_SECONDS,
        leader.now() - _KNOWN_GONE_SECONDS,
    )
    broken = [mark for at, mark in server.broken if at >= since]
    server.broken.clear()
    marks = [*lost, *leader.suspects.unexplained(broken)]
    if not marks:
        return
    for condemned in leader.suspects.crashed(marks, leader.now()):
        eventlog.emit(
            logevents.CONDEMNED,
            content=f'{condemned:016x}',
            server=server.server_id,
            pool=leader.pool,
            seconds=round(leader.suspects.remaining(condemned, leader.now())),
        )


def _appear(
    leader: state.LeaderState,
    announcement: servers.Announcement,
) -> None:
    server = records.Server(announcement)
    leader.servers[announcement.server_id] = server
    for running in leader.running.values():
        if running.start == _start(announcement):
            state.run(leader, server, running)


def _close(leader: state.LeaderState, server: records.Server) -> None:
    server.live = False
    if not server.running:
        leader.servers.pop(server.server_id)
