"""Counts of the requests and retries of entry hosts, for a new coordinator.

An entry host records which host granted each retry. A coordinator counts what
it granted itself, unless it restarted since, and adds what others granted.
"""

import collections
import dataclasses
import functools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import requests, windows

# Outcomes of grants whose request did not reach a server.
NOT_SENT: typing.Final = frozenset(
    (
        requests.Outcome.given_up,
        requests.Outcome.not_sent,
    )
)
# Amounts by the age of their bin, counted in bins.
Bins = typing.Mapping[int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCounts:
    """Counts of an entry host for a pool within a window.

    :ivar requests: requests sent to hosts other than the receiver.
    :ivar here: retries granted by the receiver of the counts.
    :ivar elsewhere: retries granted by other hosts.
    """

    requests: Bins
    here: Bins
    elsewhere: Bins


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Counts of an entry host for all pools.

    :ivar known_seconds: length of the time before the report that the counts
        cover completely; they contain nothing before it.
    """

    known_seconds: float
    pools: typing.Mapping[ids.PoolName, PoolCounts]


NONE: typing.Final = Counts(0, {})


@dataclasses.dataclass(frozen=True, slots=True)
class OtherCounts:
    """Requests and retries other than those that a coordinator counted."""

    requests: float
    retries: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """Counts that an entry host reported at a time.

    :ivar reported_at: time of the report in seconds.
    """

    counts: Counts
    reported_at: float

    @property
    def known_from(self) -> float:
        """Start of the time that the counts cover, in seconds."""
        return self.reported_at - self.counts.known_seconds


@dataclasses.dataclass(slots=True)
class _Sum:
    """Sums of the entry hosts' counts of a pool, by bin."""

    requests: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    here: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    elsewhere: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )


class ReportSums:
    """Sums of all entry hosts' reports, updated with each report."""

    def __init__(self) -> None:
        """Initialize without reports."""
        self._pools: collections.defaultdict[ids.PoolName, _Sum] = (
            collections.defaultdict(_Sum)
        )

    def add(self, report: HostReport) -> None:
        """Add a report of an entry host."""
        self._add(report, 1)

    def remove(self, report: HostReport) -> None:
        """Undo :meth:`add`."""
        self._add(report, -1)

    def remove_before(self, start: float) -> None:
        """Remove the bins before a time.

        :param start: that time, in seconds.
        """
        first = windows.bin_of(start)
        for found in self._pools.values():
            for bins in (found.requests, found.here, found.elsewhere):
                old = [number for number in bins if number < first]
                for number in old:
                    del bins[number]

    def other_counts(
        self,
        pool: ids.PoolName,
        own: typing.Mapping[int, float],
        start: float,
    ) -> OtherCounts:
        """Return the reported counts of a pool without those counted here.

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
            _total_since(found.requests, first),
            _total_since(found.elsewhere, first) + retries,
        )

    def _add(self, report: HostReport, sign: int) -> None:
        newest = windows.bin_of(report.reported_at)
        for pool, counts in report.counts.pools.items():
            found = self._pools[pool]
            for into, bins in (
                (found.requests, counts.requests),
                (found.here, counts.here),
                (found.elsewhere, counts.elsewhere),
            ):
                for ago, amount in bins.items():
                    into[newest - ago] += sign * round(amount)


def _total_since(bins: typing.Mapping[int, float], first: int) -> float:
    return sum(amount for number, amount in bins.items() if number >= first)


_Key = tuple[ids.PoolName, ids.HostId]
_Windows = collections.defaultdict[_Key, windows.Window]


class RetryCounter:
    """Counter of the requests and retries of one entry host."""

    def __init__(
        self,
        seconds: float,
        started: float,
        granter: typing.Callable[[], ids.HostId],
    ) -> None:
        """Initialize without counts.

        :param seconds: length of the windows.
        :param started: start of this process, in seconds.
        :param granter: returns the host that answers slot requests now.
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
        """Record the answer to a slot request."""
        key = (slot_request.pool, self._granter())
        match slot_request.sending:
            case requests.Sending.first:
                self._requests[key].add(1, now)
            case requests.Sending.retry if isinstance(answer, requests.Grant):
                self._retries[key].add(1, now)
                self._granted[slot_request.request_id] = (key, now)

    def release(self, release: requests.Release) -> None:
        """Record the end of a grant; a retry not sent does not count."""
        found = self._granted.pop(release.request_id, None)
        if found is not None and release.outcome in NOT_SENT:
            key, at = found
            self._retries[key].refund(1, at)

    def counts_for(self, host_id: ids.HostId, now: float) -> Counts:
        """Return the counts for a host that becomes coordinator."""
        for found in (self._requests, self._retries):
            _remove_unused(found, now)
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


def _remove_unused(counted: _Windows, now: float) -> None:
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
