"""State that the modules of membership share in one process.

Also the newest log index and configuration version that any host reported,
and the rate limiter of repair requests.
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
    """Options of membership.

    :ivar seeds: peer addresses of some hosts, in any domain.
    :ivar timing: of the failure detector.
    :ivar seed: of the random number generator.
    """

    seeds: tuple[ids.Address, ...] = ()
    timing: suspicion.Timing = suspicion.Timing()
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """Newest index of the replicated log and configuration version."""

    log_index: int = 0
    version: int = 0


class Progress:
    """Newest log index and version that any host reported.

    :ivar newest: never decreases.
    """

    def __init__(self) -> None:
        """Initialize at index and version 0."""
        self.newest = Newest()
        self._changes: subject.Subject[Newest] = subject.Subject()

    @property
    def changes(self) -> reactivex.Observable[Newest]:
        """Return the stream of increases."""
        return self._changes

    def raise_to(self, log_index: int | None, version: int | None) -> None:
        """Raise the newest values to those of a host; None counts as 0."""
        newest = Newest(
            max(self.newest.log_index, log_index or 0),
            max(self.newest.version, version or 0),
        )
        if newest != self.newest:
            self.newest = newest
            self._changes.on_next(newest)


class Limiter:
    """Rate limiter that allows one action per key and period.

    >>> limiter = Limiter(1)
    >>> [limiter.allows('roster', now) for now in (0, 0.5, 1)]
    [True, False, True]
    """

    def __init__(self, period: float) -> None:
        """Initialize with no action so far.

        :param period: shortest time between two actions, in seconds.
        """
        self._period = period
        self._next: dict[typing.Hashable, float] = {}

    def allows(self, key: typing.Hashable, now: float) -> bool:
        """Return whether an action is allowed now, and record it if so."""
        if now < self._next.get(key, now):
            return False
        if len(self._next) >= _MAX_KEYS:
            self._next.clear()
        self._next[key] = now + self._period
        return True


class SharedState:
    """Peers, clock, membership views and notices of one host."""

    def __init__(
        self,
        me: hosts.Host,
        peer_layer: peers.Peers,
        timer_service: timers.TimerService,
        timing: suspicion.Timing,
    ) -> None:
        """Initialize with this host only."""
        self.peers = peer_layer
        self.timers = timer_service
        self.timing = timing
        self.members = members.Members(me, timing)
        self.outside = outside.OtherDomains(me.failure_domain)
        self.notices = notices.NoticeStore()
        self.progress = Progress()

    @property
    def me(self) -> hosts.Host:
        """Return this host."""
        return self.members.me

    def now(self) -> float:
        """Return the time on the clock, in seconds."""
        return self.timers.now()

    def delegates(self) -> tuple[hosts.Host, ...]:
        """Return the delegates of the own domain, highest rank first."""
        return delegates.delegates(self.members.live())

    def eligible(self) -> tuple[hosts.Host, ...]:
        """Return the hosts of the own domain that may lead pools."""
        return members.eligible(self.members)

    def is_delegate(self) -> bool:
        """Return whether this host is a delegate of its domain."""
        me = self.me.host_id
        return any(host.host_id == me for host in self.delegates())

    def followed(self) -> ids.HostId | None:
        """Return the delegate from which this host gets its updates."""
        found = delegates.followed(self.delegates(), self.me.host_id)
        return None if found is None else found.host_id

    def record_address(self, host: hosts.Host) -> None:
        """Pass the address of another host to the peer layer."""
        if host.host_id != self.me.host_id:
            self.peers.learn(host.host_id, host.address)
