"""Requests and retries of entry hosts, for whoever coordinates next.

An entry host knows who granted each retry. A coordinator has what it granted
itself, unless it started again since, and adds what others granted.
"""

import collections
import dataclasses
import functools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, windows

# Ends of grants whose request didn't reach a server.
NOT_SENT: typing.Final = frozenset(
    (
        requests.Outcome.given_up,
        requests.Outcome.not_sent,
    )
)
# Amounts by how many bins ago.
Bins = typing.Mapping[int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCounts:
    """What an entry host had of a pool within a window.

    :ivar requests: asked of other hosts than the one that is told.
    :ivar here: retries granted by the host that is told.
    :ivar elsewhere: retries granted by others.
    """

    requests: Bins
    here: Bins
    elsewhere: Bins


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """What an entry host had of all pools.

    :ivar known_seconds: it knows all within so many seconds, nothing before.
    """

    known_seconds: float
    pools: typing.Mapping[ids.PoolName, PoolCounts]


NONE: typing.Final = Counts(0, {})


@dataclasses.dataclass(frozen=True, slots=True)
class OtherCounts:
    """What there was beside what a coordinator granted itself."""

    requests: float
    retries: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """What an entry host told at a moment.

    :ivar at: when, in seconds.
    """

    counts: Counts
    at: float

    @property
    def known_from(self) -> float:
        """Since when it knew all, in seconds."""
        return self.at - self.counts.known_seconds


@dataclasses.dataclass(slots=True)
class _Sum:
    """What entry hosts told of a pool, by bin."""

    requests: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    here: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    elsewhere: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )


class Sums:
    """What all entry hosts told, added up as they tell it."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._pools: collections.defaultdict[ids.PoolName, _Sum] = (
            collections.defaultdict(_Sum)
        )

    def add(self, told: HostReport) -> None:
        """Take what an entry host told."""
        self._add(told, 1)

    def remove(self, told: HostReport) -> None:
        """Undo :meth:`add`."""
        self._add(told, -1)

    def forget_before(self, start: float) -> None:
        """Drop what is older.

        :param start: in seconds.
        """
        first = windows.bin_of(start)
        for found in self._pools.values():
            for bins in (found.requests, found.here, found.elsewhere):
                old = [number for number in bins if number < first]
                for number in old:
                    del bins[number]

    def beside(
        self,
        pool: ids.PoolName,
        own: typing.Mapping[int, float],
        start: float,
    ) -> OtherCounts:
        """Give what was told of a pool beside what was granted here.

        :param own: retries granted here, by bin.
        :param start: of the window, in seconds.
        """
        found = self._pools.get(pool)
        if found is None:
            return OtherCounts(0, 0)
        first = windows.bin_of(start)
        retries = sum(
            max(amount - own.get(number, 0), 0)
            for number, amount in found.here.items()
            if number >= first
        )
        return OtherCounts(
            _since(found.requests, first),
            _since(found.elsewhere, first) + retries,
        )

    def _add(self, told: HostReport, sign: int) -> None:
        newest = windows.bin_of(told.at)
        for pool, counts in told.counts.pools.items():
            found = self._pools[pool]
            for into, bins in (
                (found.requests, counts.requests),
                (found.here, counts.here),
                (found.elsewhere, counts.elsewhere),
            ):
                for ago, amount in bins.items():
                    into[newest - ago] += sign * round(amount)


def _since(bins: typing.Mapping[int, float], first: int) -> float:
    return sum(amount for number, amount in bins.items() if number >= first)


_Key = tuple[ids.PoolName, ids.HostId]
_Windows = collections.defaultdict[_Key, windows.Window]


class RetryCounter:
    """Counts the requests and retries of one entry host."""

    def __init__(
        self,
        seconds: float,
        started: float,
        granter: typing.Callable[[], ids.HostId],
    ) -> None:
        """Know of nothing before the start.

        :param seconds: length of the windows.
        :param started: when this process did, in seconds.
        :param granter: gives who answers asks just now.
        """
        self._seconds = seconds
        self._started = started
        self._granter = granter
        make = functools.partial(windows.Window, seconds)
        self._requests: _Windows = collections.defaultdict(make)
        self._retries: _Windows = collections.defaultdict(make)
        self._granted: dict[ids.RequestId, tuple[_Key, float]] = {}

    def note(
        self,
        slot_request: requests.SlotRequest,
        answer: requests.Grant | requests.Denial,
        now: float,
    ) -> None:
        """Take the answer to an ask."""
        key = (slot_request.pool, self._granter())
        match slot_request.sending:
            case requests.Sending.first:
                self._requests[key].add(1, now)
            case requests.Sending.retry if isinstance(answer, requests.Grant):
                self._retries[key].add(1, now)
                self._granted[slot_request.request_id] = (key, now)

    def release(self, release: requests.Release) -> None:
        """Take the end of a grant; what wasn't sent doesn't count."""
        found = self._granted.pop(release.request_id, None)
        if found is not None and release.outcome in NOT_SENT:
            key, at = found
            self._retries[key].refund(1, at)

    def counts_for(self, host_id: ids.HostId, now: float) -> Counts:
        """Give what a host needs to know that coordinates from now on."""
        for found in (self._requests, self._retries):
            _forget_old(found, now)
        pools = {pool for pool, _ in (*self._requests, *self._retries)}
        return Counts(
            min(now - self._started, self._seconds),
            {pool: self._of(pool, host_id, now) for pool in pools},
        )

    def _of(
        self,
        pool: ids.PoolName,
        host_id: ids.HostId,
        now: float,
    ) -> PoolCounts:
        others = {
            granter
            for _, granter in (*self._requests, *self._retries)
            if granter != host_id
        }
        return PoolCounts(
            _bins(self._requests, pool, others, now),
            _bins(self._retries, pool, {host_id}, now),
            _bins(self._retries, pool, others, now),
        )


def _forget_old(counted: _Windows, now: float) -> None:
    unused = [key for key, window in counted.items() if not window.used(now)]
    for key in unused:
        del counted[key]


def _bins(
    counted: _Windows,
    pool: ids.PoolName,
    granters: typing.Iterable[ids.HostId],
    now: float,
) -> Bins:
    newest = windows.bin_of(now)
    found: collections.Counter[int] = collections.Counter()
    for granter in granters:
        window = counted.get((pool, granter))
        if window is not None:
            for number, amount in window.bins(now):
                found[newest - number] += round(amount)
    return +found
