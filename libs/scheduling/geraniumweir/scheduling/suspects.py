"""Finds requests that crash the backend servers that run them.

Whatever ran on a server when it crashed is a suspect, with a score that is
smaller the more ran beside it. A suspect runs alone of its kind and never
beside another suspect, so a second crash under a lone suspect has one
explanation: it is quarantined, and who ran beside it is not blamed. A suspect
that ends well is cleared, and content that ended well before needs stronger
evidence, so neighbours that share crashes by chance are not condemned. This
is group testing [1]_ with groups of one.

Leaders tell each other what they saw. Each counts its own crashes, and the
counts of all are added: a grow-only counter [2]_, which may be told again, late
and in any order. So two crashes count as two wherever they were seen.

A stream that breaks off is a weak suspect at once, because callers come back
before a restart is known; after the second it waits until that is known.
Streams that break off on several servers at a time show a cut, not a request,
unless it is the same content.
A quarantine that ends leaves a suspect, and the next one lasts twice as long.

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
import typing

from geraniumweir.common import ids

NO_FINGERPRINT = ids.Fingerprint(0)
_MOST_CASES = 2048
_MOST_CLEARED = 8192
_SUSPECT_SECONDS = 600.0
_CONDEMNED_SCORE = 1.0
_GOOD_RECORD_DISCOUNT = 0.5
_CONDEMNED_CRASHES = 2
_LONGEST_QUARANTINE = 86400.0
_GROWTH = 2
_MOST_DOUBLINGS = 16
_WEAK_SECONDS = 30.0
_WAIT_SECONDS = 8.0
_CUT_SECONDS = 1.0
_LEAST_REMAINING = 1.0
# Servers on which the streams of a content broke off that is suspected by
# itself, whatever broke off beside it.
_BY_ITSELF = 2


class Verdict(enum.Enum):
    """What is thought of a fingerprint."""

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What one leader knows against a fingerprint.

    :ivar crashes: that the leader saw.
    :ivar score: share of the blame for crashes.
    :ivar seconds: for which it counts, from now.
    :ivar quarantined: whether it is refused for this time.
    :ivar origin: names the leader.
    """

    fingerprint: ids.Fingerprint
    crashes: int
    score: float
    seconds: float
    quarantined: bool
    origin: str = ''


@dataclasses.dataclass(slots=True)
class _Seen:
    crashes: int = 0
    score: float = 0


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is known of a fingerprint; times are in seconds.

    :ivar by_origin: what each leader saw, by its name.
    :ivar until: end of the suspicion.
    :ivar condemned_until: end of the quarantine.
    :ivar broken: streams that broke off, not yet explained by a crash.
    :ivar broken_at: when the last of them did.
    :ivar broken_by: where they did, two servers at most.
    """

    by_origin: dict[str, _Seen] = dataclasses.field(default_factory=dict)
    until: float = 0
    condemned_until: float = 0
    broken: int = 0
    broken_at: float = float('-inf')
    broken_by: set[ids.ServerId] = dataclasses.field(default_factory=set)

    @property
    def crashes(self) -> int:
        """Count the crashes that all leaders saw."""
        return sum(seen.crashes for seen in self.by_origin.values())

    def is_proved(self) -> bool:
        """Tell whether all that was seen condemns it."""
        if self.crashes < _CONDEMNED_CRASHES:
            return False
        seen = self.by_origin.values()
        return sum(one.score for one in seen) >= _CONDEMNED_SCORE


class Suspects:
    """Fingerprints under suspicion, in bounded memory."""

    def __init__(self, quarantine_seconds: float, origin: str = '') -> None:
        """Suspect nobody.

        :param quarantine_seconds: for which a condemned one is refused.
        :param origin: names this leader, and no other one.
        """
        self.origin = origin
        self._quarantine_seconds = quarantine_seconds
        self._cases: collections.OrderedDict[ids.Fingerprint, _Entry] = (
            collections.OrderedDict()
        )
        self._last_broken: tuple[float, ids.ServerId] | None = None
        self._cut_until = float('-inf')
        self._good: collections.OrderedDict[ids.Fingerprint, None] = (
            collections.OrderedDict()
        )

    def verdict(self, fingerprint: ids.Fingerprint, now: float) -> Verdict:
        """Tell what is thought of a fingerprint."""
        entry = self._cases.get(fingerprint)
        if entry is None:
            return Verdict.clear
        if entry.condemned_until > now:
            return Verdict.quarantined
        if entry.until > now:
            return Verdict.suspect
        self._cases.pop(fingerprint)
        return Verdict.clear

    def awaits_explanation(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> bool:
        """Tell whether a suspect waits until its last breaks are explained."""
        entry = self._cases.get(fingerprint)
        if entry is None or not entry.broken:
            return False
        if entry.crashes + entry.broken < _CONDEMNED_CRASHES:
            return False
        return now < entry.broken_at + _WAIT_SECONDS

    def record_incomplete(
        self,
        fingerprint: ids.Fingerprint,
        server_id: ids.ServerId,
        now: float,
    ) -> None:
        """Take that a stream broke off and that no crash is known yet."""
        last = self._last_broken
        self._last_broken = (now, server_id)
        if fingerprint != NO_FINGERPRINT:
            entry = self._entry(fingerprint)
            entry.broken += 1
            entry.broken_at = now
            entry.until = max(entry.until, now + _WEAK_SECONDS)
            if len(entry.broken_by) < _BY_ITSELF:
                entry.broken_by.add(server_id)
        if last is not None and last[1] != server_id:
            if now - last[0] <= _CUT_SECONDS:
                self._cut_until = now + _CUT_SECONDS
        if now < self._cut_until:
            self._clear_cut(now)

    def _clear_cut(self, now: float) -> None:
        """Clear those whose streams broke off together on many servers.

        Content that broke off on two of them itself is no part of a cut: it
        may have ended each server that it was sent to.
        """
        for fingerprint, entry in list(self._cases.items()):
            if len(entry.broken_by) >= _BY_ITSELF:
                continue
            if entry.broken_at >= now - _CUT_SECONDS:
                entry.broken = 0
                entry.broken_by.clear()
                if not entry.crashes:
                    self._cases.pop(fingerprint)

    def remaining_seconds(
        self, fingerprint: ids.Fingerprint, now: float
    ) -> float:
        """Give the seconds for which a fingerprint is refused."""
        entry = self._cases.get(fingerprint)
        seconds = entry.condemned_until - now if entry else 0
        return max(seconds, _LEAST_REMAINING)

    def record_crash(
        self,
        together: typing.Collection[ids.Fingerprint],
        now: float,
    ) -> list[ids.Fingerprint]:
        """Take that a server crashed.

        :param together: fingerprints of what ran on it.
        :returns: those that are newly quarantined.
        """
        ran = {known for known in together if known != NO_FINGERPRINT}
        prior = [
            known
            for known in ran
            if self.verdict(known, now) is not Verdict.clear
            and self._cases[known].crashes
        ]
        if len(prior) == 1:
            # The lone suspect explains the crash; its neighbours go free.
            return self._blame(prior, _CONDEMNED_SCORE, now)
        blamed = prior or self.unexplained(ran) or sorted(ran)
        return self._blame(blamed, 1 / max(len(blamed), 1), now)

    def record_success(self, fingerprint: ids.Fingerprint) -> None:
        """Clear a fingerprint, unless it is in quarantine."""
        if fingerprint == NO_FINGERPRINT:
            return
        entry = self._cases.get(fingerprint)
        if entry is not None and not entry.condemned_until:
            self._cases.pop(fingerprint)
        self._good[fingerprint] = None
        self._good.move_to_end(fingerprint)
        if len(self._good) > _MOST_CLEARED:
            self._good.popitem(last=False)

    def unexplained(
        self,
        ran: typing.Iterable[ids.Fingerprint],
    ) -> list[ids.Fingerprint]:
        """List those that have not ended well since their stream broke."""
        known = (one for one in ran if one in self._cases)
        return sorted(one for one in known if self._cases[one].broken)

    def export(self, now: float) -> list[Case]:
        """List the cases for other hosts, with the seconds left."""
        return [
            _case(fingerprint, entry, origin, now)
            for fingerprint, entry in self._cases.items()
            if entry.crashes and entry.until > now
            for origin in entry.by_origin
        ]

    def merge(self, cases: typing.Iterable[Case], now: float) -> None:
        """Take other leaders' cases; of one leader's, the graver stands."""
        for case in cases:
            entry = self._entry(case.fingerprint)
            seen = entry.by_origin.setdefault(case.origin, _Seen())
            is_news = case.crashes > seen.crashes
            seen.crashes = max(seen.crashes, case.crashes)
            seen.score = max(seen.score, case.score)
            until = now + case.seconds
            entry.until = max(entry.until, until)
            if case.quarantined:
                _condemn(entry, until)
            # What is told again must not begin a quarantine again.
            elif is_news and entry.is_proved():
                _condemn(entry, now + self._sentence(entry.crashes))

    def _blame(
        self,
        blamed: typing.Iterable[ids.Fingerprint],
        weight: float,
        now: float,
    ) -> list[ids.Fingerprint]:
        condemned = []
        for fingerprint in blamed:
            if self._add(fingerprint, weight, now):
                condemned.append(fingerprint)
        return condemned

    def _add(
        self,
        fingerprint: ids.Fingerprint,
        weight: float,
        now: float,
    ) -> bool:
        entry = self._entry(fingerprint)
        discount = _GOOD_RECORD_DISCOUNT if fingerprint in self._good else 1
        seen = entry.by_origin.setdefault(self.origin, _Seen())
        seen.crashes += 1
        seen.score += weight * discount
        entry.broken = max(entry.broken - 1, 0)
        entry.until = max(entry.until, now + _SUSPECT_SECONDS)
        before = entry.condemned_until > now
        if not entry.is_proved():
            return False
        _condemn(entry, now + self._sentence(entry.crashes))
        return not before

    def _sentence(self, crashes: int) -> float:
        """Give the seconds of a quarantine, doubling with each crash."""
        doublings = min(crashes - _CONDEMNED_CRASHES, _MOST_DOUBLINGS)
        seconds = self._quarantine_seconds * _GROWTH**doublings
        return min(
            seconds,
            max(_LONGEST_QUARANTINE, self._quarantine_seconds),
        )

    def _entry(self, fingerprint: ids.Fingerprint) -> _Entry:
        entry = self._cases.get(fingerprint)
        if entry is None:
            entry = _Entry()
            self._cases[fingerprint] = entry
        self._cases.move_to_end(fingerprint)
        if len(self._cases) > _MOST_CASES:
            self._drop_one()
        return entry

    def _drop_one(self) -> None:
        # The oldest that is not quarantined goes, else the oldest.
        for fingerprint, entry in self._cases.items():
            if not entry.condemned_until:
                self._cases.pop(fingerprint)
                return
        self._cases.popitem(last=False)


def _condemn(entry: _Entry, until: float) -> None:
    """Put in quarantine; it stays a suspect for a while after that."""
    entry.condemned_until = max(entry.condemned_until, until)
    entry.until = max(entry.until, until + _SUSPECT_SECONDS)


def _case(
    fingerprint: ids.Fingerprint,
    entry: _Entry,
    origin: str,
    now: float,
) -> Case:
    quarantined = entry.condemned_until > now
    until = entry.condemned_until if quarantined else entry.until
    seen = entry.by_origin[origin]
    return Case(
        fingerprint,
        seen.crashes,
        seen.score,
        until - now,
        quarantined,
        origin,
    )
