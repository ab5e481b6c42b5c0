"""Request rates that backend servers in need name.

A server names in its answers how many requests a second it takes from all
hosts together, for as long as it says so. Whichever host hears it tells the
coordinator, which tells the others; the newest word on a start of a server
counts, wherever it was heard.
"""

import dataclasses

import reactivex
from geraniumweir.common import eventlog, ids, timers
from geraniumweir.scheduling import logevents
from reactivex import subject

Start = tuple[ids.ServerId, ids.Incarnation]

# Where a server takes none at all, one request tries so often whether it still
# says so, by the second: no other answer of it would tell.
_TRIAL_PER_SECOND = 0.1
# A host whose part of a limit comes to less than a request in so long, in
# seconds, takes part by lot: what each of hundreds saves up for its first
# request would together be many times the limit.
_LOT_SECONDS = 4.0
# Of the limit so much goes to those that the lot falls on: how many they are is
# by chance, and each has saved up a request.
_LOT_PART = 0.5
# What servers said that name no limit any more is kept for so long, in
# seconds: longer than any host may be cut off that still tells of one.
_KEPT_SECONDS = 60.0
# So much of a limit may be saved up for requests that come at once, in seconds.
_BURST_SECONDS = 0.5
# Tokens are sums of fractions; a whole one may come short by so much.
_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What an answer of a server says of the rate that it takes.

    :ivar per_second: requests, None where it names no limit.
    :ivar sent_at: when the request that it answers was sent, in seconds.
    :ivar heard_at: when the answer began to come, in seconds.
    """

    server_id: ids.ServerId
    incarnation: ids.Incarnation
    per_second: float | None
    sent_at: float
    heard_at: float

    @property
    def start(self) -> Start:
        """The start of the server that said it."""
        return self.server_id, self.incarnation

    def supersedes(self, known: 'Said') -> bool:
        """Tell whether it holds in place of what was known.

        An answer to a request that was sent before a limit was named may be
        older than the limit, however late it comes.
        """
        if self.per_second is None:
            return self.sent_at > known.heard_at
        return self.heard_at > known.heard_at


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    said: Said
    revision: int


class RateLimits:
    """What one host knows of the limits that servers name.

    :ivar revision: counts the changes.
    """

    def __init__(self, clock: timers.TimerService) -> None:
        """Know of none."""
        self.revision = 0
        self._clock = clock
        self._rows: dict[Start, _Row] = {}
        self._changes: subject.Subject[None] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[None]:
        """Fires when a limit is named, changed or lifted."""
        return self._changes

    def named(self) -> dict[Start, float]:
        """Give the limits that hold, in requests a second."""
        return {
            start: row.said.per_second
            for start, row in self._rows.items()
            if row.said.per_second is not None
        }

    def since(self, revision: int) -> list[Said]:
        """List what changed after a revision."""
        return [
            row.said for row in self._rows.values() if row.revision > revision
        ]

    def hear(self, said: Said) -> None:
        """Take what an answer said, heard here or by another host."""
        row = self._rows.get(said.start)
        if row is None and said.per_second is None:
            return
        if row is not None and not said.supersedes(row.said):
            return
        if row is not None and row.said.per_second == said.per_second:
            self._rows[said.start] = _Row(said, row.revision)
            return
        self._forget_old()
        self.revision += 1
        self._rows[said.start] = _Row(said, self.revision)
        _tell(said)
        self._changes.on_next(None)

    def _forget_old(self) -> None:
        now = self._clock.now()
        old = [
            start
            for start, row in self._rows.items()
            if row.said.per_second is None
            and now - row.said.heard_at > _KEPT_SECONDS
        ]
        for start in old:
            self._rows.pop(start)


def part_of(per_second: float, share: float, lot: float) -> float:
    """Give the requests a second that one host may grant of a limit.

    :param share: the host's part of all requests.
    :param lot: drawn once for this host and server, from 0 to 1.

    >>> part_of(2, 1, 0.9), part_of(2, 0.5, 0.9)
    (2, 1.0)
    >>> part_of(1, 0.01, 0.9), part_of(1, 0.01, 0.01)
    (0, 0.25)
    """
    part = max(per_second, _TRIAL_PER_SECOND) * share
    if share >= 1 or part * _LOT_SECONDS >= 1:
        return part
    chance = part * _LOT_SECONDS * _LOT_PART
    return 1 / _LOT_SECONDS if lot < chance else 0


@dataclasses.dataclass(slots=True)
class Throttle:
    """Spaces out the requests that a server gets, as a token bucket does.

    It starts empty: what others granted a moment before isn't known.

    >>> one = Throttle(2, at=10)
    >>> one.ready(10), one.ready(10.5), one.ready(99)
    (0, 1, 1)
    >>> one.take()
    >>> one.ready(99)
    0

    :ivar per_second: requests that may be granted.
    :ivar at: when the tokens were last counted, in seconds.
    """

    per_second: float
    at: float
    _tokens: float = 0

    def ready(self, now: float) -> int:
        """Give how many requests may be granted now."""
        most = max(self.per_second * _BURST_SECONDS, 1)
        gained = (now - self.at) * self.per_second
        self._tokens = min(self._tokens + gained, most)
        self.at = now
        return max(int(self._tokens + _ROUNDING), 0)

    def change(self, per_second: float, now: float) -> None:
        """Grant by another rate from now on."""
        if per_second != self.per_second:
            self.ready(now)
            self.per_second = per_second

    def take(self) -> None:
        """Count a request that was granted."""
        self._tokens -= 1


def _tell(said: Said) -> None:
    if said.per_second is None:
        eventlog.emit(logevents.LIMIT_LIFTED, server=said.server_id)
        return
    eventlog.emit(
        logevents.LIMIT_NAMED,
        server=said.server_id,
        per_second=said.per_second,
    )
