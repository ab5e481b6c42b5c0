"""Exchange of servers' notices between entry hosts and their coordinator.

A notice is what a server said in its answer. An entry host sends it to its
coordinator at once, and again with its pings until one was answered. With its
answers the coordinator publishes what concerns all hosts: only what changed
since the last answer, whatever the number of hosts.
"""

import itertools
import math
import typing

from geraniumweir.common import eventlog, ids, timers
from geraniumweir.control import logevents
from geraniumweir.scheduling import notices
from geraniumweir.wire import peers
from geraniumweir.wire.gen.control import ttypes

_MS = 1000
# Durations are sent as 32-bit numbers; a longer one is cut to this.
_MAX_MS = 2_000_000_000
_NO_HOST = ids.HostId('')
_LimitStruct = ttypes.RateLimit | ttypes.RejectionLimit
_NoticeStruct = _LimitStruct | ttypes.Leaving | ttypes.Pause


class NoticeSender:
    """The entry host's end: sends notices to its coordinator."""

    def __init__(
        self,
        link: peers.Peers,
        known: notices.Notices,
        clock: timers.TimerService,
    ) -> None:
        """Initialize without a coordinator."""
        self._known = known
        self._link = link
        self._clock = clock
        self._coordinator_id = _NO_HOST
        self._acknowledged_revision = 0
        self._received_revision = 0
        known.changes.subscribe(self._send_notice)

    def set_coordinator(self, host_id: ids.HostId) -> None:
        """Set the coordinator, and send it all notices."""
        self._coordinator_id = host_id
        self._acknowledged_revision = 0
        self._received_revision = 0
        known = self._known.since(0)
        if host_id and known:
            self._link.send(host_id, pack(known, self._clock.now()))

    def fill(self, host_id: ids.HostId, ping: ttypes.Ping) -> int:
        """Add the notices that were not acknowledged yet to a ping.

        :returns: the revision up to which the host has all notices once it has
            answered.
        """
        if host_id == self._coordinator_id:
            ping.notices = self._unacknowledged()
            ping.notices_revision = self._received_revision
        return self._known.revision

    def handle_pong(
        self,
        host_id: ids.HostId,
        filled_revision: int,
        pong: ttypes.Pong,
    ) -> None:
        """Apply the answer to a ping.

        :param filled_revision: what :meth:`fill` returned.
        """
        if host_id != self._coordinator_id:
            return
        self._acknowledged_revision = max(
            self._acknowledged_revision, filled_revision
        )
        if pong.notices is not None:
            apply_notices(self._known, pong.notices, host_id, self._clock.now())
        self._received_revision = pong.notices_revision or 0

    def _send_notice(self, notice: notices.Notice) -> None:
        """Send a new notice ahead of the slot requests that follow."""
        if self._coordinator_id and notice.host_id != self._coordinator_id:
            now = self._clock.now()
            self._link.send(self._coordinator_id, pack([notice], now))

    def _unacknowledged(self) -> ttypes.Notices | None:
        if self._acknowledged_revision == self._known.revision:
            return None
        found = self._known.since(self._acknowledged_revision)
        return pack(found, self._clock.now()) if found else None


class NoticeReceiver:
    """The coordinator's end: receives notices and answers with them."""

    def __init__(
        self,
        link: peers.Peers,
        known: notices.Notices,
        clock: timers.TimerService,
    ) -> None:
        """Receive notices from now on."""
        self._known = known
        self._clock = clock
        link.handle(ttypes.Notices, self._on_notices)

    def apply_notices(self, sender: ids.HostId, ping: ttypes.Ping) -> None:
        """Apply the notices that came with a ping."""
        if ping.notices is not None:
            apply_notices(self._known, ping.notices, sender, self._clock.now())

    def fill(self, ping: ttypes.Ping, pong: ttypes.Pong) -> None:
        """Add the notices that the sender lacks to an answer."""
        if ping.notices_revision is None:
            return
        known = ping.notices_revision
        if known > self._known.revision:
            # The revision is of an earlier process of this host.
            known = 0
        # Leaving servers are published with the enrolments, and a pause
        # concerns only the host that it was sent to.
        updates = self._known.limits_since(known)
        if updates:
            pong.notices = pack(updates, self._clock.now())
        pong.notices_revision = self._known.revision

    async def _on_notices(
        self,
        sender: ids.HostId,
        message: ttypes.Notices,
    ) -> None:
        apply_notices(self._known, message, sender, self._clock.now())


def pack(
    found: typing.Iterable[notices.Notice],
    now: float,
) -> ttypes.Notices:
    """Return the message for some notices.

    :param now: in seconds.
    """
    message = ttypes.Notices([], [], [], [])
    for one in found:
        heard_ms = _to_ms(now - one.received_at)
        match one.content:
            case notices.RateLimit(per_second=per_second):
                sent_ms = _to_ms(now - one.sent_at)
                message.limits.append(
                    ttypes.RateLimit(*one.start, per_second, sent_ms, heard_ms),
                )
            case notices.RejectionLimit(per_second=per_second):
                sent_ms = _to_ms(now - one.sent_at)
                message.rejection_limits.append(
                    ttypes.RejectionLimit(
                        *one.start, per_second, sent_ms, heard_ms
                    ),
                )
            case notices.Leaving():
                message.leaving.append(ttypes.Leaving(*one.start, heard_ms))
            case notices.Pause():
                left_ms = _to_ms(one.until - now)
                message.pauses.append(ttypes.Pause(*one.start, left_ms))
    return message


def apply_notices(
    known: notices.Notices,
    received: ttypes.Notices,
    from_host: ids.HostId,
    now: float,
) -> None:
    """Apply the notices of another host; skip those that are malformed.

    :param now: in seconds.
    """
    for one in itertools.chain(*_notice_lists(received)):
        if _is_readable(one):
            known.apply(_notice(one, from_host, now))
        else:
            eventlog.emit(
                logevents.NOTICE_DISCARDED,
                teller=from_host,
                server=one.server_id or '',
            )


def _notice_lists(
    received: ttypes.Notices,
) -> typing.Iterator[typing.Iterable[_NoticeStruct]]:
    yield received.limits or ()
    yield received.rejection_limits or ()
    yield received.leaving or ()
    yield received.pauses or ()


def _is_readable(one: _NoticeStruct) -> bool:
    if one.server_id is None or one.incarnation is None:
        return False
    match one:
        case ttypes.RateLimit() | ttypes.RejectionLimit():
            return _is_readable_limit(one)
        case ttypes.Leaving():
            return one.heard_ms is not None
        case ttypes.Pause():
            return one.left_ms is not None


def _is_readable_limit(one: _LimitStruct) -> bool:
    if one.sent_ms is None or one.heard_ms is None:
        return False
    rate = one.per_second
    return rate is None or (math.isfinite(rate) and rate >= 0)


def _notice(
    one: _NoticeStruct, from_host: ids.HostId, now: float
) -> notices.Notice:
    content: notices.Content
    match one:
        case ttypes.RateLimit():
            content = notices.RateLimit(one.per_second)
            sent_at = now - one.sent_ms / _MS
            heard_at = now - one.heard_ms / _MS
        case ttypes.RejectionLimit():
            content = notices.RejectionLimit(one.per_second)
            sent_at = now - one.sent_ms / _MS
            heard_at = now - one.heard_ms / _MS
        case ttypes.Leaving():
            content = notices.Leaving()
            heard_at = now - one.heard_ms / _MS
            sent_at = heard_at
        case ttypes.Pause():
            content = notices.Pause(one.left_ms / _MS)
            heard_at = now
            sent_at = heard_at
    return notices.Notice(
        ids.ServerId(one.server_id),
        ids.Incarnation(one.incarnation),
        content,
        from_host,
        sent_at,
        heard_at,
    )


def _to_ms(seconds: float) -> int:
    return min(max(int(seconds * _MS), 0), _MAX_MS)
