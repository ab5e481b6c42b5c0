"""Crashes of servers, by the parts of the prompts that were on them.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import collections
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import crash_index, crash_records, notices

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
# Of all crashes together, a part counted once for each crash that it is in.
_MAX_PARTS = 16384

_Start = notices.ServerIncarnation
_Crash = crash_records.Crash


class CrashTable:
    """Crashes in bounded memory.

    :ivar revision: grows with each change.
    :ivar is_kept: returns whether crashes with a part are evicted last.
    :ivar by_part: the crashes by part.
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
        self.by_part = crash_index.CrashIndex()
        self._rate = crash_records.CollateralRate()

    def __contains__(self, part: ids.PromptPart) -> bool:
        """Return whether a part is in any crash."""
        return part in self.by_part

    def is_empty(self) -> bool:
        """Return whether no part is in any crash."""
        return not self.by_part

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
        new = crash.add(broken, self.by_part.__contains__)
        self.by_part.add(crash, new)
        self._limit_parts()
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
        for crash in list(self.by_part.find(part)):
            if crash.at <= began_at:
                crash.parts.pop(part)
                self.by_part.remove(crash, [part])
                self.revision += 1
        return part not in self.by_part

    def counted(self, part: ids.PromptPart, now: float) -> list[_Crash]:
        """List the crashes that speak against a part, oldest first."""
        return [
            crash
            for crash in self.by_part.find(part)
            if self.counts(crash, now)
        ]

    def counts(self, crash: _Crash, now: float) -> bool:
        """Return whether a crash speaks against its parts."""
        if now - crash.at >= _seconds(crash):
            return False
        return crash.confirmed or not self._may_be_partition(crash)

    def crashes(self, now: float) -> list[_Crash]:
        """List the crashes that still hold."""
        self._expire(now)
        return list(self._crashes.values())

    def merge(self, crashes: typing.Iterable[_Crash]) -> None:
        """Take over records of another host; they replace those known here.

        A server crashes once in each of its incarnations, so that crashes
        recorded by several hosts count once.
        """
        for crash in crashes:
            known = self._crashes.get(crash.start)
            if known is not None:
                if crash.shows_the_same(known):
                    continue
                self._remove(known)
            self._insert(crash)
            self.by_part.add(crash, crash.parts)
            self.revision += 1
        self._limit_parts()

    def _disprove(self, crash: _Crash) -> None:
        """Clear all parts of a crash, which other hosts may know too."""
        self.by_part.remove(crash, crash.parts)
        self.revision += len(crash.parts)
        crash.parts.clear()

    def _remove(self, crash: _Crash) -> None:
        self._crashes.pop(crash.start, None)
        self.by_part.remove(crash, crash.parts)
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
        if len(self._crashes) >= _MAX_CRASHES:
            self._evict_one()
        self._crashes[crash.start] = crash

    def _evict_one(self) -> None:
        """Evict the oldest crash without a part that is kept, or the oldest."""
        irrelevant = (
            crash
            for crash in self._crashes.values()
            if not any(map(self.is_kept, crash.parts))
        )
        self._remove(next(irrelevant, next(iter(self._crashes.values()))))

    def _limit_parts(self) -> None:
        """Forget what says least: parts of old crashes that are in no other."""
        if len(self.by_part) <= _MAX_PARTS:
            return
        by_age = sorted(self._crashes.values(), key=lambda crash: crash.at)
        for crash in by_age[:-1]:
            self._forget_lone_parts(crash)
            if len(self.by_part) <= _MAX_PARTS:
                return
        while len(self.by_part) > _MAX_PARTS:
            self._evict_one()

    def _forget_lone_parts(self, crash: _Crash) -> None:
        lone_parts = [
            part
            for part in crash.parts
            if self.by_part.is_lone(part) and not self.is_kept(part)
        ]
        self.by_part.remove(crash, lone_parts)
        for part in lone_parts:
            crash.parts.pop(part)
        crash.left_out += len(lone_parts)

    def _expire(self, now: float) -> None:
        for crash in list(self._crashes.values()):
            if now - crash.at >= _seconds(crash):
                self._remove(crash)


def _is_disproved(crash: _Crash, broken: crash_records.Broken) -> bool:
    """Return whether the server took a request after a supposed crash."""
    return not crash.confirmed and broken.sent_at > crash.at


def _seconds(crash: _Crash) -> float:
    return _CRASH_SECONDS if crash.confirmed else _UNCONFIRMED_SECONDS
