"""What the parts of membership in one process share.

Also the newest log index and configuration version that any host was heard
to have, and the limiter that keeps repairs from being asked for too often.
"""

import dataclasses
import typing

import reactivex
from geraniumweir.common import ids, timers
from geraniumweir.membership import (
    delegates,
    hosts,
    members,
    notices,
    outside,
    suspicion,
)
from geraniumweir.wire import peers
from reactivex import subject

_MAX_KEYS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What membership is told at its start.

    :ivar seeds: peer addresses of some hosts, in any domain.
    :ivar seed: of random choices.
    """

    seeds: tuple[ids.Address, ...] = ()
    timing: suspicion.Timing = suspicion.Timing()
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """How far the replicated log and the configuration have come."""

    log_index: int = 0
    version: int = 0


class Progress:
    """The newest that was heard of; it only grows."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.newest = Newest()
        self._changes: subject.Subject[Newest] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[Newest]:
        """Give the stream of growing values."""
        return self._changes

    def raise_to(self, log_index: int | None, version: int | None) -> None:
        """Take in what somebody has; None is nothing."""
        newest = Newest(
            max(self.newest.log_index, log_index or 0),
            max(self.newest.version, version or 0),
        )
        if newest != self.newest:
            self.newest = newest
            self._changes.on_next(newest)


class Limiter:
    """Lets a thing through once in a while.

    >>> limiter = Limiter(1)
    >>> [limiter.allows('roster', now) for now in (0, 0.5, 1)]
    [True, False, True]
    """

    def __init__(self, period: float) -> None:
        """Let everything through once.

        :param period: between two of a kind, in seconds.
        """
        self._period = period
        self._next: dict[typing.Hashable, float] = {}

    def allows(self, key: typing.Hashable, now: float) -> bool:
        """Tell whether one of a kind may go through now."""
        if now < self._next.get(key, now):
            return False
        if len(self._next) >= _MAX_KEYS:
            self._next.clear()
        self._next[key] = now + self._period
        return True


class SharedState:
    """One host's peers, clock and what it knows of others."""

    def __init__(
        self,
        me: hosts.Host,
        peer_layer: peers.Peers,
        timer_service: timers.TimerService,
        timing: suspicion.Timing,
    ) -> None:
        """Start alone."""
        self.peers = peer_layer
        self.timers = timer_service
        self.timing = timing
        self.members = members.Members(me, timing)
        self.outside = outside.OtherDomains(me.failure_domain)
        self.notices = notices.NoticeStore()
        self.progress = Progress()

    @property
    def me(self) -> hosts.Host:
        """Give this host."""
        return self.members.me

    def now(self) -> float:
        """Give the time in seconds."""
        return self.timers.now()

    def delegates(self) -> tuple[hosts.Host, ...]:
        """Give the delegates of the own domain, the first in rank first."""
        return delegates.delegates(self.members.live())

    def eligible(self) -> tuple[hosts.Host, ...]:
        """List the hosts of the own domain that may lead pools."""
        return members.eligible(self.members)

    def is_delegate(self) -> bool:
        """Tell whether this host speaks for its domain."""
        me = self.me.host_id
        return any(host.host_id == me for host in self.delegates())

    def followed(self) -> ids.HostId | None:
        """Give the delegate that this host gets its news from."""
        found = delegates.followed(self.delegates(), self.me.host_id)
        return None if found is None else found.host_id

    def record_address(self, host: hosts.Host) -> None:
        """Let the peer layer know where a host listens."""
        if host.host_id != self.me.host_id:
            self.peers.learn(host.host_id, host.address)
