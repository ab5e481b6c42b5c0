"""Crashes of servers, by the parts of the prompts that were on them.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import collections
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import crash_records, notices

# A crash that isn't confirmed holds for this time; servers restart, or are
# missed, within it.
_UNCONFIRMED_SECONDS = 12.0
_CRASH_SECONDS = 600.0
# Requests of one failure domain that break off on several servers within this
# time may be due to its network.
_PARTITION_SECONDS = 0.3
# Reports of entry hosts may be out of order by this time.
_REPORT_DELAY_SECONDS = 0.5
_MAX_CRASHES = 64

_Start = notices.ServerIncarnation
_Crash = crash_records.Crash


class CrashTable:
    """Crashes in bounded memory.

    :ivar revision: grows with each change.
    :ivar is_kept: returns whether crashes with a part are evicted last.
    """

    def __init__(
        self,
        is_kept: typing.Callable[[ids.PromptPart], bool],
    ) -> None:
        """Initialize without crashes."""
        self.revision = 0
        self.is_kept = is_kept
        self._crashes: collections.OrderedDict[_Start, _Crash] = (
            collections.OrderedDict()
        )
        self._by_part: dict[ids.PromptPart, list[_Crash]] = {}
        self._rate = crash_records.CollateralRate()

    def __contains__(self, part: ids.PromptPart) -> bool:
        """Return whether a part is in any crash."""
        return part in self._by_part

    def is_empty(self) -> bool:
        """Return whether no part is in any crash."""
        return not self._by_part

    def record_break(
        self,
        start: _Start,
        broken: crash_records.Broken,
        now: float,
    ) -> None:
        """Record that the answer to a request broke off."""
        crash = self._crashes.get(start)
        if crash is not None and _is_disproved(crash, broken):
            self._remove(crash)
            crash = None
        if crash is None:
            self._expire(now)
            crash = _Crash(start, now, self._rate.log_ratio(now))
            self._insert(crash)
        if not broken.begun:
            self._rate.record_break(crash.unbegun > 0, now)
        crash.add(broken)
        self._index(crash)
        self.revision += 1

    def record_answer(self, start: _Start, now: float) -> None:
        """Record that a server answered: it didn't crash before."""
        crash = self._crashes.get(start)
        if crash is not None and now - crash.at > _REPORT_DELAY_SECONDS:
            self._disprove(crash)

    def record_begin(self, now: float) -> None:
        """Count a request whose answer begins."""
        self._rate.record_answer(now)

    def confirm(self, start: _Start) -> None:
        """Record that a server whose answers broke off has ended."""
        crash = self._crashes.get(start)
        if crash is not None and not crash.confirmed:
            crash.confirmed = True
            self.revision += 1

    def clear(self, part: ids.PromptPart, began_at: float) -> bool:
        """Clear a part of the crashes before an answer on it began.

        :returns: whether no crash is left that it is in.
        """
        found = self._by_part.get(part, ())
        for crash in list(found):
            if crash.at <= began_at:
                crash.parts.pop(part, None)
                self._unindex(crash, part)
                self.revision += 1
        return part not in self._by_part

    def counted(self, part: ids.PromptPart, now: float) -> list[_Crash]:
        """List the crashes that speak against a part, oldest first."""
        return [
            crash
            for crash in self._by_part.get(part, ())
            if now - crash.at < _seconds(crash)
            and (crash.confirmed or not self._may_be_partition(crash))
        ]

    def customers(self, part: ids.PromptPart) -> frozenset[ids.CustomerName]:
        """Return the customers whose requests with a part were in crashes.

        Only where no other customer's requests with it were in the same crash.
        """
        found = (crash.parts[part] for crash in self._by_part.get(part, ()))
        return frozenset(
            itertools.chain.from_iterable(one for one in found if len(one) == 1)
        )

    def crashes(self, now: float) -> list[_Crash]:
        """List the crashes that still hold."""
        self._expire(now)
        return list(self._crashes.values())

    def merge(self, crash: _Crash) -> None:
        """Take over a record of another host; it replaces the one known here.

        A server crashes once in each of its incarnations, so that crashes
        recorded by several hosts count once.
        """
        known = self._crashes.get(crash.start)
        if known is not None:
            self._remove(known)
        self._insert(crash)
        self._index(crash)
        self.revision += 1

    def _disprove(self, crash: _Crash) -> None:
        """Clear all parts of a crash, which other hosts may know too."""
        for part in list(crash.parts):
            crash.parts.pop(part)
            self._unindex(crash, part)
            self.revision += 1

    def _remove(self, crash: _Crash) -> None:
        self._crashes.pop(crash.start, None)
        for part in crash.parts:
            self._unindex(crash, part)
        self.revision += 1

    def _may_be_partition(self, crash: _Crash) -> bool:
        """Return whether the network may have broken the answers off.

        That is, all were of one failure domain, whose requests broke off on
        another server at the time.
        """
        if len(crash.domains) > 1:
            return False
        return any(
            abs(other.at - crash.at) < _PARTITION_SECONDS
            and not crash.domains.isdisjoint(other.domains)
            for other in self._crashes.values()
            if other is not crash
        )

    def _insert(self, crash: _Crash) -> None:
        self._crashes[crash.start] = crash
        if len(self._crashes) > _MAX_CRASHES:
            self._evict_one()

    def _evict_one(self) -> None:
        """Evict the oldest crash without a part that is kept, or the oldest."""
        irrelevant = (
            crash
            for crash in self._crashes.values()
            if not any(map(self.is_kept, crash.parts))
        )
        self._remove(next(irrelevant, next(iter(self._crashes.values()))))

    def _index(self, crash: _Crash) -> None:
        for part in crash.parts:
            found = self._by_part.setdefault(part, [])
            if crash not in found:
                found.append(crash)

    def _unindex(self, crash: _Crash, part: ids.PromptPart) -> None:
        found = self._by_part.get(part, [])
        if crash in found:
            found.remove(crash)
        if not found:
            self._by_part.pop(part, None)

    def _expire(self, now: float) -> None:
        for crash in list(self._crashes.values()):
            if now - crash.at >= _seconds(crash):
                self._remove(crash)


def _is_disproved(crash: _Crash, broken: crash_records.Broken) -> bool:
    """Return whether the server took a request after a supposed crash."""
    return not crash.confirmed and broken.sent_at > crash.at


def _seconds(crash: _Crash) -> float:
    return _CRASH_SECONDS if crash.confirmed else _UNCONFIRMED_SECONDS
