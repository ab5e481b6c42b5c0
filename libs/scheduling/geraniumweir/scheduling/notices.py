"""What backend servers say of themselves in their answers.

A server that is in need names the requests a second that it takes from all
hosts together. One that leaves says so. One that turns a request away may ask
the host that sent it for a pause. Each is said of one start of a server, and
holds from when it was heard; what another start says changes nothing.
"""

import dataclasses

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import logevents
from reactivex import subject

ServerIncarnation = tuple[ids.ServerId, ids.Incarnation]

# What no longer holds is kept for so long, in seconds: longer than any host may
# be cut off that still tells of it.
_ENDED_RETENTION_SECONDS = 60.0
# A pause that ends later by less than this isn't told again, in seconds: the
# host that was asked for it keeps to the whole of it itself.
_MIN_EXTENSION_SECONDS = 0.05
# A server that leaves is gone well before that, in seconds.
_LEAVING_RETENTION_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The requests that a server takes from all hosts together.

    :ivar per_second: None where it names no limit.
    """

    per_second: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The server leaves: it finishes what it has and wants nothing more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The server wants nothing from the host that it answered for a while.

    :ivar seconds: from its answer on.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """Something that can't be read; it changes nothing.

    :ivar said: for the log.
    """

    said: str


Content = RateLimit | Leaving | Pause
_Key = tuple[ServerIncarnation, ids.HostId]
_ALL_HOSTS = ids.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What one answer of a server said.

    :ivar host_id: that was answered.
    :ivar sent_at: when the request that it answers was sent, in seconds.
    :ivar received_at: when the answer began to come, in seconds.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    content: Content
    host_id: ids.HostId
    sent_at: float
    received_at: float

    @property
    def start(self) -> ServerIncarnation:
        """The start of the server that said it."""
        return self.server_id, self.incarnation

    @property
    def until(self) -> float:
        """When it ends by itself, in seconds."""
        match self.content:
            case Pause(seconds=seconds):
                return self.received_at + seconds
            case _:
                return float('inf')

    def supersedes(self, known: 'Notice') -> bool:
        """Tell whether it holds in place of an earlier one of its kind.

        An answer to a request that was sent before a limit was named may be
        older than the limit, however late it comes.
        """
        match self.content:
            case RateLimit(per_second=None):
                return self.sent_at > known.received_at
            case Pause():
                return self.until > known.until
            case _:
                return self.received_at > known.received_at

    def is_expired(self, now: float) -> bool:
        """Tell whether nobody needs to know of it any more."""
        match self.content:
            case RateLimit(per_second=None):
                return now - self.received_at > _ENDED_RETENTION_SECONDS
            case RateLimit():
                return False
            case Leaving():
                return now - self.received_at > _LEAVING_RETENTION_SECONDS
            case Pause():
                return now >= self.until


def leaving(
    start: ServerIncarnation, host_id: ids.HostId, now: float
) -> Notice:
    """Make the notice of a server that is known to leave.

    :param host_id: that knows it.
    :param now: in seconds.
    """
    return Notice(*start, Leaving(), host_id, now, now)


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    notice: Notice
    revision: int


class Notices:
    """What one host knows of what servers said.

    :ivar revision: counts the changes.
    """

    def __init__(self, clock: timers.TimerService) -> None:
        """Know of nothing."""
        self.revision = 0
        self._clock = clock
        self._rows: dict[type[Content], dict[_Key, _Row]] = {
            RateLimit: {},
            Leaving: {},
            Pause: {},
        }
        self._pauses: dict[ids.HostId, dict[ServerIncarnation, float]] = {}
        self._changes: subject.Subject[Notice] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[Notice]:
        """Gives each notice that changes what is known."""
        return self._changes

    def limits(self) -> dict[ServerIncarnation, float]:
        """Give the limits that hold, in requests a second."""
        found = {}
        for notice in self.limits_since(0):
            content = notice.content
            if (
                isinstance(content, RateLimit)
                and content.per_second is not None
            ):
                found[notice.start] = content.per_second
        return found

    def limits_since(self, revision: int) -> list[Notice]:
        """List the limits that changed, or were lifted, after a revision."""
        return [
            row.notice
            for row in self._rows[RateLimit].values()
            if row.revision > revision
        ]

    def is_leaving(self, start: ServerIncarnation) -> bool:
        """Tell whether a server said that it leaves."""
        return (start, _ALL_HOSTS) in self._rows[Leaving]

    def pauses(self, host_id: ids.HostId) -> dict[ServerIncarnation, float]:
        """Give the servers that want nothing from a host, and until when.

        :returns: times in seconds.
        """
        asked = self._pauses.get(host_id)
        if not asked:
            return {}
        now = self._clock.now()
        return {start: until for start, until in asked.items() if now < until}

    def since(self, revision: int) -> list[Notice]:
        """List what changed after a revision."""
        return [
            row.notice
            for rows in self._rows.values()
            for row in rows.values()
            if row.revision > revision
        ]

    def apply(self, notice: Notice) -> None:
        """Take what an answer said, heard here or by another host."""
        if notice.content == Pause(0):
            return
        key = _key(notice)
        known = self._rows[type(notice.content)].get(key)
        if known is None:
            if notice.content != RateLimit(None):
                self._store_change(key, notice)
            return
        if not notice.supersedes(known.notice):
            return
        if _is_equivalent(notice, known.notice):
            self._store(key, _Row(notice, known.revision))
            return
        self._store_change(key, notice)

    def _store_change(self, key: _Key, notice: Notice) -> None:
        self._remove_expired()
        self.revision += 1
        self._store(key, _Row(notice, self.revision))
        _log(notice)
        self._changes.on_next(notice)

    def _store(self, key: _Key, row: _Row) -> None:
        self._rows[type(row.notice.content)][key] = row
        if isinstance(row.notice.content, Pause):
            asked = self._pauses.setdefault(row.notice.host_id, {})
            asked[row.notice.start] = row.notice.until

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
        asked = self._pauses[notice.host_id]
        asked.pop(notice.start)
        if not asked:
            self._pauses.pop(notice.host_id)


def _key(notice: Notice) -> _Key:
    asked = _ALL_HOSTS
    if isinstance(notice.content, Pause):
        asked = notice.host_id
    return notice.start, asked


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
