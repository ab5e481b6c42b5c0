"""Notices that backend servers send in headers of their answers.

A server under load sets a limit of the requests per second that it accepts
from all hosts together. A server that shuts down announces it. A server that
rejects a request may ask the host that sent it for a pause. Each notice
concerns one incarnation of a server and holds from the time it was received;
notices of other incarnations don't change it.
"""

import dataclasses

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import logevents
from reactivex import subject

ServerIncarnation = tuple[ids.ServerId, ids.Incarnation]

# Lifted limits are retained for longer than a host that still publishes them
# may be partitioned.
_ENDED_RETENTION_SECONDS = 60.0
# A pause that is extended by less than this is not published again: the host
# that was asked for it observes the full pause itself.
_MIN_EXTENSION_SECONDS = 0.05
# A server that shuts down has ended well before this time.
_LEAVING_RETENTION_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Limit of the requests that a server accepts from all hosts together.

    :ivar per_second: the limit, None for no limit.
    """

    per_second: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RejectionLimit:
    """Rejections that a server bears from all hosts together.

    A server that has to reject more requests in a second, as it has no room for
    them, fails.

    :ivar per_second: the limit, None for no limit.
    """

    per_second: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The server shuts down: it finishes its requests and accepts none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The server asked the host that it answered to send nothing.

    :ivar seconds: length of the pause, from the answer on.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """Notice that can't be parsed; it has no effect.

    :ivar said: its text, for the log.
    """

    said: str


Content = RateLimit | RejectionLimit | Leaving | Pause
_Limit = RateLimit | RejectionLimit
_Key = tuple[ServerIncarnation, ids.HostId]
_ALL_HOSTS = ids.HostId('')
_NO_LIMITS = (RateLimit(None), RejectionLimit(None))


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Notice in one answer of a server.

    :ivar host_id: the host that was answered.
    :ivar sent_at: time when the answered request was sent, in seconds.
    :ivar received_at: time when the answer began to arrive, in seconds.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    content: Content
    host_id: ids.HostId
    sent_at: float
    received_at: float

    @property
    def start(self) -> ServerIncarnation:
        """The server and its incarnation that sent the notice."""
        return self.server_id, self.incarnation

    @property
    def until(self) -> float:
        """The time when it expires by itself, in seconds."""
        match self.content:
            case Pause(seconds=seconds):
                return self.received_at + seconds
            case _:
                return float('inf')

    def supersedes(self, known: 'Notice') -> bool:
        """Return whether it replaces an earlier notice of its kind.

        An answer to a request that was sent before a limit was set may be
        older than the limit, however late it arrives.
        """
        match self.content:
            case RateLimit(per_second=None) | RejectionLimit(per_second=None):
                return self.sent_at > known.received_at
            case Pause():
                return self.until > known.until
            case _:
                return self.received_at > known.received_at

    def is_expired(self, now: float) -> bool:
        """Return whether it can be removed."""
        match self.content:
            case RateLimit(per_second=None) | RejectionLimit(per_second=None):
                return now - self.received_at > _ENDED_RETENTION_SECONDS
            case RateLimit() | RejectionLimit():
                return False
            case Leaving():
                return now - self.received_at > _LEAVING_RETENTION_SECONDS
            case Pause():
                return now >= self.until


def leaving(
    start: ServerIncarnation, host_id: ids.HostId, now: float
) -> Notice:
    """Return the notice of a server that is known to shut down.

    :param host_id: the host that detected it.
    :param now: time in seconds.
    """
    return Notice(*start, Leaving(), host_id, now, now)


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    notice: Notice
    revision: int


class Notices:
    """Table of the servers' notices on one host.

    :ivar revision: number of changes.
    """

    def __init__(self, clock: timers.TimerService) -> None:
        """Initialize without notices."""
        self.revision = 0
        self._clock = clock
        self._rows: dict[type[Content], dict[_Key, _Row]] = {
            RateLimit: {},
            RejectionLimit: {},
            Leaving: {},
            Pause: {},
        }
        self._pauses: dict[ids.HostId, dict[ServerIncarnation, float]] = {}
        self._changes: subject.Subject[Notice] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[Notice]:
        """Emits each notice that changes the table."""
        return self._changes

    def limits(self) -> dict[ServerIncarnation, float]:
        """Return the limits that hold, in requests per second."""
        return self._in_force(RateLimit)

    def rejection_limits(self) -> dict[ServerIncarnation, float]:
        """Return the limits that hold, in rejections per second."""
        return self._in_force(RejectionLimit)

    def limits_since(self, revision: int) -> list[Notice]:
        """List the limits that changed, or were lifted, after a revision."""
        return [
            row.notice
            for kind in (RateLimit, RejectionLimit)
            for row in self._rows[kind].values()
            if row.revision > revision
        ]

    def is_leaving(self, start: ServerIncarnation) -> bool:
        """Return whether a server has announced its shutdown."""
        return (start, _ALL_HOSTS) in self._rows[Leaving]

    def pauses(self, host_id: ids.HostId) -> dict[ServerIncarnation, float]:
        """Return the servers that paused a host.

        :returns: ends of the pauses, in seconds, by server.
        """
        paused = self._pauses.get(host_id)
        if not paused:
            return {}
        now = self._clock.now()
        return {start: until for start, until in paused.items() if now < until}

    def since(self, revision: int) -> list[Notice]:
        """List the notices that changed after a revision."""
        return [
            row.notice
            for rows in self._rows.values()
            for row in rows.values()
            if row.revision > revision
        ]

    def apply(self, notice: Notice) -> None:
        """Apply a notice that this or another host received."""
        if notice.content == Pause(0):
            return
        key = _key(notice)
        known = self._rows[type(notice.content)].get(key)
        if known is None:
            if notice.content not in _NO_LIMITS:
                self._store_change(key, notice)
            return
        if not notice.supersedes(known.notice):
            return
        if _is_equivalent(notice, known.notice):
            self._store(key, _Row(notice, known.revision))
            return
        self._store_change(key, notice)

    def _in_force(self, kind: type[_Limit]) -> dict[ServerIncarnation, float]:
        found = {}
        for row in self._rows[kind].values():
            per_second = getattr(row.notice.content, 'per_second', None)
            if per_second is not None:
                found[row.notice.start] = per_second
        return found

    def _store_change(self, key: _Key, notice: Notice) -> None:
        self._remove_expired()
        self.revision += 1
        self._store(key, _Row(notice, self.revision))
        _log(notice)
        self._changes.on_next(notice)

    def _store(self, key: _Key, row: _Row) -> None:
        self._rows[type(row.notice.content)][key] = row
        if isinstance(row.notice.content, Pause):
            paused = self._pauses.setdefault(row.notice.host_id, {})
            paused[row.notice.start] = row.notice.until

    def _remove_expired(self) -> None:
        now = self._clock.now()
        for rows in self._rows.values():
            old = [
                key for key, row in rows.items() if row.notice.is_expired(now)
            ]
            for key in old:
                self._remove(rows.pop(key).notice)

    def _remove(self, notice: Notice) -> None:
        if not isinstance(notice.content, Pause):
            return
        paused = self._pauses[notice.host_id]
        paused.pop(notice.start)
        if not paused:
            self._pauses.pop(notice.host_id)


def _key(notice: Notice) -> _Key:
    paused = _ALL_HOSTS
    if isinstance(notice.content, Pause):
        paused = notice.host_id
    return notice.start, paused


def _is_equivalent(notice: Notice, known: Notice) -> bool:
    if isinstance(notice.content, Pause):
        return notice.until - known.until < _MIN_EXTENSION_SECONDS
    return notice.content == known.content


def _log(notice: Notice) -> None:
    match notice.content:
        case RateLimit(per_second=None):
            eventlog.emit(logevents.LIMIT_LIFTED, server=notice.server_id)
        case RateLimit(per_second=per_second):
            eventlog.emit(
                logevents.LIMIT_SET,
                server=notice.server_id,
                per_second=per_second,
            )
        case RejectionLimit(per_second=per_second):
            eventlog.emit(
                logevents.REJECTION_LIMIT,
                server=notice.server_id,
                per_second='any' if per_second is None else per_second,
            )
        case Leaving():
            eventlog.emit(
                logevents.SERVER_LEAVING,
                server=notice.server_id,
                told=notice.host_id,
            )
        case Pause(seconds=seconds):
            eventlog.emit(
                logevents.SERVER_PAUSED,
                server=notice.server_id,
                asked=notice.host_id,
                seconds=seconds,
            )
