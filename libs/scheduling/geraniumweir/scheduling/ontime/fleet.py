"""Synchronization with the backend servers that may get requests."""

import typing

from geraniumweir.common import eventlog, ids
from geraniumweir.membership import servers
from geraniumweir.rollout import controller, orders
from geraniumweir.scheduling import logevents, notices, ratelimits
from geraniumweir.scheduling.ontime import (
    distance,
    records,
    server_memory,
    state,
)

# Minimum time between two look-ups of the servers; a notified change is looked
# up at once.
_SYNC_SECONDS = 0.25
# Prompt length by which the speeds of servers are compared.
_REFERENCE_PROMPT_TOKENS = 1000
# A server whose address another one took is remembered for this time: by then
# its reports have stopped for longer than any lease.
_REPLACED_KEPT_SECONDS = 60.0
# Reports of entry hosts may be out of order by this time: an incomplete
# response recorded so long before the last good one may have come after it.
_REPORT_DELAY_SECONDS = 0.5
# The end of a server is detected within this time; some of its reports are
# missed first.
_MAX_DETECTION_SECONDS = 10.0
# A path counts as delaying responses when more than this fraction is delayed,
# one of four.
_MIN_DELAYED_RATIO = 0.2


def request_sync(leader: state.OnTimeLeaderState) -> None:
    """Make the next synchronization look up the servers at once."""
    leader.synced_at = float('-inf')


def server_replaced(
    leader: state.OnTimeLeaderState, server: records.Server
) -> None:
    """Record that another server answers at a server's address."""
    leader.replaced_at[server.start] = leader.now()
    leader.parts.crashes.confirm(server.start)
    request_sync(leader)


def server_of(
    leader: state.OnTimeLeaderState,
    running: records.Running,
) -> records.Server | None:
    """Return the server of a grant; None if it restarted since.

    What ran in an earlier incarnation says nothing about the present one.
    """
    server = leader.servers.get(running.grant.server_id)
    if server is None or server.start != running.start:
        return None
    return server


def sync(leader: state.OnTimeLeaderState) -> None:
    """Update the servers that may get requests."""
    now = leader.now()
    if now - leader.synced_at < _SYNC_SECONDS:
        return
    leader.synced_at = now
    announcements = _current_announcements(leader, now)
    live = {
        found.server_id: found
        for found in _eligible_announcements(leader, announcements)
    }
    if live:
        leader.server_seen_at = now
    _suspect_replaced(leader, live)
    for server_id, announcement in live.items():
        server = leader.servers.get(server_id)
        if server is not None and server.start != _start(announcement):
            _handle_restart(leader, server)
            server = None
        if server is None:
            _add_server(leader, announcement)
        else:
            server.announcement = announcement
            server.live = True
    _set_roles(leader)
    announced = {found.server_id for found in announcements}
    for missing in leader.servers.keys() - live.keys():
        server = leader.servers[missing]
        if server.live and missing not in announced:
            _suspect_requests(leader, server, ())
        _close_server(leader, server)
    _set_throttles(leader)
    leader.max_memory_tokens = server_memory.max_tokens(
        server for server in leader.servers.values() if server.live
    )
    leader.serving = [one for one in leader.servers.values() if one.serves]
    leader.throttled = [one for one in leader.serving if one.throttle]
    leader.by_domain = distance.index(leader.serving)
    leader.quickest = min(
        _reference_servers(leader),
        key=lambda server: leader.estimates.first_token_seconds(
            server.speed,
            _REFERENCE_PROMPT_TOKENS,
        ),
        default=None,
    )


def _current_announcements(
    leader: state.OnTimeLeaderState,
    now: float,
) -> list[servers.Announcement]:
    for start, since in list(leader.replaced_at.items()):
        if now - since > _REPLACED_KEPT_SECONDS:
            leader.replaced_at.pop(start)
    leader.guide.refresh()
    return [
        found
        for found in leader.live()
        if _start(found) not in leader.replaced_at
    ]


def _eligible_announcements(
    leader: state.OnTimeLeaderState,
    announcements: list[servers.Announcement],
) -> list[servers.Announcement]:
    """Return the servers whose version may get requests.

    If there are none while a rollout runs, those of the old version may.
    """
    guide = leader.guide
    if guide.rollout is None:
        return announcements
    found = [
        one
        for one in announcements
        if guide.role(one.version) is not orders.Role.barred
    ]
    if found or not guide.is_running:
        return found
    return [one for one in announcements if one.version != guide.rollout.to]


def _set_roles(leader: state.OnTimeLeaderState) -> None:
    guide = leader.guide
    if guide.rollout is None:
        return
    new = [
        one
        for one in leader.servers.values()
        if one.version == guide.target_version
    ]
    has_new = any(one.live for one in new)
    for server in leader.servers.values():
        server.role = guide.role(server.version)
        if server.role is orders.Role.draining and not has_new:
            server.role = orders.Role.serves
    guide.new_server_count = len(new)
    guide.max_slots = max((one.slots for one in new), default=1)


def _set_throttles(leader: state.OnTimeLeaderState) -> None:
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
    _set_rejection_budgets(leader)


def _set_rejection_budgets(leader: state.OnTimeLeaderState) -> None:
    limits = leader.rejections()
    for server in leader.servers.values():
        per_second = limits.get(server.start)
        if per_second is None:
            server.rejection_budget = None
        elif server.rejection_budget is None:
            server.rejection_budget = ratelimits.RejectionBudget(per_second)
        else:
            server.rejection_budget.per_second = per_second


def _reference_servers(leader: state.OnTimeLeaderState) -> list[records.Server]:
    """List the servers whose quickest one shows what is possible.

    Servers with a rate limit serve few requests and are left out, unless all
    have one.
    """
    serving = [one for one in leader.servers.values() if one.serves]
    return [one for one in serving if one.throttle is None] or serving


def path_delays(
    leader: state.OnTimeLeaderState,
    running: records.Running,
    server: records.Server,
) -> bool:
    """Return whether the path to a server delayed responses lately."""
    delay_ratio = leader.path_quality.delay_ratio(
        running.slot_request.failure_domain,
        server.announcement.failure_domain,
        leader.now(),
    )
    return delay_ratio > _MIN_DELAYED_RATIO


def rollout_load(leader: state.OnTimeLeaderState) -> controller.Load:
    """Return the load of the pool, for its rollout."""
    to = leader.guide.target_version
    all_servers = leader.servers.values()
    return controller.Load(
        # Of grants, as servers that get no requests may be unknown here.
        old_running=sum(
            one.grant.version != to for one in leader.running.values()
        ),
        running=len(leader.running),
        new_slots=sum(
            one.slots for one in all_servers if one.live and one.version == to
        ),
        held=leader.hold_seconds,
    )


def _start(announcement: servers.Announcement) -> notices.ServerIncarnation:
    return announcement.server_id, announcement.incarnation


def _handle_restart(
    leader: state.OnTimeLeaderState, server: records.Server
) -> None:
    """Discard the old incarnation of a server; what ran there is lost.

    Its requests are suspected of the crash and hold no slot of the new
    incarnation; their owners find the connections closed.
    """
    leader.servers.pop(server.server_id)
    _suspect_requests(
        leader,
        server,
        [one.slot_request.fingerprint for one in server.running.values()],
    )


def _suspect_replaced(
    leader: state.OnTimeLeaderState,
    live: typing.Mapping[ids.ServerId, servers.Announcement],
) -> None:
    """Suspect the requests of servers whose address another one took.

    A server that starts again under a new id sends nothing about its end, and
    its reports are missed much later. It stays announced until then: a delayed
    first report may be of the server that ended.
    """
    new = [found for name, found in live.items() if name not in leader.servers]
    if not new:
        return
    known = {
        server.announcement.address: server
        for server in leader.servers.values()
        if server.incomplete_answers
    }
    for found in new:
        replaced = known.get(found.address)
        if replaced is not None:
            _suspect_requests(leader, replaced, ())


def _suspect_requests(
    leader: state.OnTimeLeaderState,
    server: records.Server,
    lost: typing.Sequence[ids.Fingerprint],
) -> None:
    """Suspect the requests of a server that ended without notice.

    Owners report incomplete responses before the end of the server is detected.

    :param lost: contents of the requests that still count as running there.
    """
    since = max(
        server.last_success_at - _REPORT_DELAY_SECONDS,
        leader.now() - _MAX_DETECTION_SECONDS,
    )
    incomplete_answers = [
        content_id
        for truncated_at, content_id in server.incomplete_answers
        if truncated_at >= since
    ]
    server.incomplete_answers.clear()
    leader.parts.crashes.confirm(server.start)
    content_ids = [*lost, *leader.suspects.unexplained(incomplete_answers)]
    if not content_ids:
        return
    for condemned in leader.suspects.record_crash(content_ids, leader.now()):
        eventlog.emit(
            logevents.CONTENT_QUARANTINED,
            content=f'{condemned:016x}',
            server=server.server_id,
            pool=leader.pool,
            seconds=round(
                leader.suspects.remaining_seconds(condemned, leader.now())
            ),
        )


def _add_server(
    leader: state.OnTimeLeaderState,
    announcement: servers.Announcement,
) -> None:
    server = records.Server(announcement)
    leader.servers[announcement.server_id] = server
    for running in leader.running.values():
        if running.start == _start(announcement):
            state.register_running(leader, server, running)


def _close_server(
    leader: state.OnTimeLeaderState, server: records.Server
) -> None:
    server.live = False
    if not server.running:
        leader.servers.pop(server.server_id)
