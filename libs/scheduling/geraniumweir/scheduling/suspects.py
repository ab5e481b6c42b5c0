"""Detection of requests that crash the backend servers that run them.

Every request that ran on a server when it crashed is a suspect, with a score
that is smaller the more requests were concurrent. Of a suspect's content one
request runs at a time, and never on the same server as another suspect, so a
second crash with one suspect has one explanation: the suspect is quarantined
and the concurrent requests are not blamed. A suspect that completes is
cleared, and content that completed before needs stronger evidence, so that
requests which share crashes by chance are not quarantined. This is group
testing [1]_ with groups of one.

Leaders exchange their evidence. Each counts the crashes that it saw itself,
and the counts of all leaders are added. This is a grow-only counter [2]_, so
updates may arrive repeatedly, late and in any order, and two crashes count as
two wherever they were seen.

A stream whose connection closes early makes its content a weak suspect at
once, because callers retry before a restart is known. After the second such
stream the content waits until the cause is known. Streams that end early on
several servers at the same time indicate a partition: their evidence is set
aside, and used only if the server turns out to have crashed, or if the same
content also ends early on another server.

After a quarantine the content stays a suspect, and each further quarantine
lasts twice as long as the one before.

References
==========
.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations",
   Annals of Mathematical Statistics 14(4), 1943.
.. [2] M. Shapiro, N. Preguica, C. Baquero, M. Zawirski, "Conflict-Free
   Replicated Data Types", SSS 2011.
"""

import collections
import dataclasses
import enum
import itertools
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import suspect_records

NO_FINGERPRINT = ids.Fingerprint(0)
_MAX_CASES = 2048
_MAX_COMPLETED = 8192
_SUSPECT_SECONDS = 600.0
_GOOD_RECORD_DISCOUNT = 0.5
_MAX_QUARANTINE_SECONDS = 86400.0
_GROWTH_FACTOR = 2
_MAX_DOUBLINGS = 16
_WEAK_SUSPECT_SECONDS = 30.0
_PARTITION_SECONDS = 1.0
_MIN_REMAINING_SECONDS = 1.0
# Evidence against content whose streams ended early on at least so many servers
# is not set aside, whatever else ended early at that time.
_MIN_SERVERS = 2


class Verdict(enum.Enum):
    """Classification of a fingerprint."""

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Evidence of one leader against a fingerprint.

    :ivar crashes: number of crashes that the leader saw.
    :ivar score: sum of the shares in these crashes.
    :ivar seconds: remaining time for which the case holds.
    :ivar quarantined: whether the content is refused for this time.
    :ivar origin: identifies the leader.
    """

    fingerprint: ids.Fingerprint
    crashes: int
    score: float
    seconds: float
    quarantined: bool
    origin: str = ''


class Suspects:
    """Table of suspect fingerprints, in bounded memory."""

    def __init__(self, quarantine_seconds: float, origin: str = '') -> None:
        """Initialize without suspects.

        :param quarantine_seconds: length of a first quarantine.
        :param origin: identifies this leader uniquely.
        """
        self.origin = origin
        self._quarantine_seconds = quarantine_seconds
        self._cases: collections.OrderedDict[
            ids.Fingerprint, suspect_records.Record
        ] = collections.OrderedDict()
        self._last_incomplete: tuple[float, ids.ServerId] | None = None
        self._partition_ends_at = float('-inf')
        self._completed: collections.OrderedDict[ids.Fingerprint, None] = (
            collections.OrderedDict()
        )

    def verdict(self, fingerprint: ids.Fingerprint, now: float) -> Verdict:
        """Return the classification of a fingerprint."""
        entry = self._cases.get(fingerprint)
        if entry is None:
            return Verdict.clear
        if entry.quarantine_ends_at > now:
            return Verdict.quarantined
        if entry.ends_at > now:
            return Verdict.suspect if entry.is_suspect else Verdict.clear
        self._cases.pop(fingerprint)
        return Verdict.clear

    def awaits_explanation(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> bool:
        """Return whether a suspect waits for the cause of early ends."""
        entry = self._cases.get(fingerprint)
        if entry is None or not entry.incomplete:
            return False
        if (
            entry.crashes + entry.incomplete
            < suspect_records.QUARANTINE_CRASHES
        ):
            return False
        return now < entry.incomplete_at + suspect_records.EXPLANATION_SECONDS

    def record_incomplete(
        self,
        fingerprint: ids.Fingerprint,
        server_id: ids.ServerId,
        now: float,
    ) -> None:
        """Record that a stream ended early, with no crash known yet."""
        last = self._last_incomplete
        self._last_incomplete = (now, server_id)
        if fingerprint != NO_FINGERPRINT:
            entry = self._record(fingerprint)
            entry.use_recent_evidence(now)
            entry.incomplete += 1
            entry.incomplete_at = now
            entry.ends_at = max(entry.ends_at, now + _WEAK_SUSPECT_SECONDS)
            if len(entry.incomplete_on) < _MIN_SERVERS:
                entry.incomplete_on.add(server_id)
        if last is not None and last[1] != server_id:
            if now - last[0] <= _PARTITION_SECONDS:
                self._partition_ends_at = now + _PARTITION_SECONDS
        if now < self._partition_ends_at:
            self._set_partitioned_aside(now)

    def _set_partitioned_aside(self, now: float) -> None:
        """Set evidence aside that a partition would explain.

        Not against content whose own streams ended early on two servers: it may
        have crashed each server that it was sent to.
        """
        for entry in self._cases.values():
            if len(entry.incomplete_on) >= _MIN_SERVERS:
                continue
            if entry.incomplete_at >= now - _PARTITION_SECONDS:
                entry.set_evidence_aside()

    def remaining_seconds(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> float:
        """Return the seconds for which a fingerprint is refused."""
        entry = self._cases.get(fingerprint)
        seconds = entry.quarantine_ends_at - now if entry else 0
        return max(seconds, _MIN_REMAINING_SECONDS)

    def record_crash(
        self,
        fingerprints: typing.Collection[ids.Fingerprint],
        now: float,
    ) -> list[ids.Fingerprint]:
        """Record that a server crashed.

        :param fingerprints: of the requests that ran on it.
        :returns: those that are newly quarantined.
        """
        ran = {known for known in fingerprints if known != NO_FINGERPRINT}
        prior = [
            known
            for known in ran
            if self.verdict(known, now) is not Verdict.clear
            and self._cases[known].crashes
        ]
        if len(prior) == 1:
            # The only suspect explains the crash; concurrent requests are
            # not blamed.
            return self._blame(prior, suspect_records.QUARANTINE_SCORE, now)
        blamed = prior or self.unexplained(ran) or sorted(ran)
        return self._blame(blamed, 1 / max(len(blamed), 1), now)

    def record_completion(self, fingerprint: ids.Fingerprint) -> None:
        """Record a complete response; clear content not in quarantine."""
        if fingerprint == NO_FINGERPRINT:
            return
        entry = self._cases.get(fingerprint)
        if entry is not None and not entry.quarantine_ends_at:
            self._cases.pop(fingerprint)
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > _MAX_COMPLETED:
            self._completed.popitem(last=False)

    def unexplained(
        self,
        ran: typing.Iterable[ids.Fingerprint],
    ) -> list[ids.Fingerprint]:
        """List those that have not completed since a stream ended early."""
        known = (one for one in ran if one in self._cases)
        return sorted(one for one in known if self._cases[one].is_unexplained)

    def export(self, now: float) -> list[Case]:
        """List the cases for other hosts, with their remaining seconds."""
        return [
            _case(fingerprint, entry, origin, now)
            for fingerprint, entry in self._cases.items()
            if entry.crashes and entry.ends_at > now
            for origin in entry.by_origin
        ]

    def merge(self, cases: typing.Iterable[Case], now: float) -> None:
        """Merge other leaders' cases; the maximum of each leader's holds."""
        for case in cases:
            entry = self._record(case.fingerprint)
            evidence = entry.by_origin.setdefault(
                case.origin, suspect_records.Evidence()
            )
            is_new = case.crashes > evidence.crashes
            evidence.crashes = max(evidence.crashes, case.crashes)
            evidence.score = max(evidence.score, case.score)
            ends_at = now + case.seconds
            entry.ends_at = max(entry.ends_at, ends_at)
            if case.quarantined:
                _quarantine(entry, ends_at)
            # Repeated evidence must not start a quarantine again.
            elif is_new and entry.has_enough_evidence():
                _quarantine(entry, now + self._quarantine_length(entry.crashes))

    def _blame(
        self,
        blamed: typing.Iterable[ids.Fingerprint],
        weight: float,
        now: float,
    ) -> list[ids.Fingerprint]:
        newly_quarantined = []
        for fingerprint in blamed:
            if self._add(fingerprint, weight, now):
                newly_quarantined.append(fingerprint)
        return newly_quarantined

    def _add(
        self,
        fingerprint: ids.Fingerprint,
        weight: float,
        now: float,
    ) -> bool:
        entry = self._record(fingerprint)
        discount = (
            _GOOD_RECORD_DISCOUNT if fingerprint in self._completed else 1
        )
        evidence = entry.by_origin.setdefault(
            self.origin, suspect_records.Evidence()
        )
        evidence.crashes += 1
        evidence.score += weight * discount
        entry.explain_one()
        entry.ends_at = max(entry.ends_at, now + _SUSPECT_SECONDS)
        before = entry.quarantine_ends_at > now
        if not entry.has_enough_evidence():
            return False
        _quarantine(entry, now + self._quarantine_length(entry.crashes))
        return not before

    def _quarantine_length(self, crashes: int) -> float:
        """Return the seconds of a quarantine, doubled by each crash."""
        doublings = min(
            crashes - suspect_records.QUARANTINE_CRASHES, _MAX_DOUBLINGS
        )
        seconds = self._quarantine_seconds * _GROWTH_FACTOR**doublings
        return min(
            seconds,
            max(_MAX_QUARANTINE_SECONDS, self._quarantine_seconds),
        )

    def _record(self, fingerprint: ids.Fingerprint) -> suspect_records.Record:
        entry = self._cases.get(fingerprint)
        if entry is None:
            entry = suspect_records.Record()
            self._cases[fingerprint] = entry
        self._cases.move_to_end(fingerprint)
        if len(self._cases) > _MAX_CASES:
            self._evict_one()
        return entry

    def _evict_one(self) -> None:
        # Evicts the oldest without a crash, else the oldest that is not
        # quarantined, else the oldest.
        no_crash = (
            one for one, entry in self._cases.items() if not entry.crashes
        )
        not_quarantined = (
            one
            for one, entry in self._cases.items()
            if not entry.quarantine_ends_at
        )
        evicted = next(itertools.chain(no_crash, not_quarantined, self._cases))
        self._cases.pop(evicted)


def _quarantine(entry: suspect_records.Record, ends_at: float) -> None:
    """Quarantine a fingerprint; it stays a suspect for a time afterwards."""
    entry.quarantine_ends_at = max(entry.quarantine_ends_at, ends_at)
    entry.ends_at = max(entry.ends_at, ends_at + _SUSPECT_SECONDS)


def _case(
    fingerprint: ids.Fingerprint,
    entry: suspect_records.Record,
    origin: str,
    now: float,
) -> Case:
    quarantined = entry.quarantine_ends_at > now
    ends_at = entry.quarantine_ends_at if quarantined else entry.ends_at
    evidence = entry.by_origin[origin]
    return Case(
        fingerprint,
        evidence.crashes,
        evidence.score,
        ends_at - now,
        quarantined,
        origin,
    )
