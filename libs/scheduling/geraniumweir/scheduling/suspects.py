"""Finds requests that crash the backend servers that run them.

Whatever ran on a server when it crashed is a suspect, with a score that is
smaller the more ran beside it. A suspect runs alone of its kind and never
beside another suspect, so a second crash under a lone suspect has one
explanation: it is quarantined, and who ran beside it is not blamed. A suspect
that ends well is cleared, and content that ended well before needs stronger
evidence, so neighbours that share crashes by chance are not condemned. This
is group testing [1]_ with groups of one.

References
==========
.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations",
   Annals of Mathematical Statistics 14(4), 1943.
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


class Verdict(enum.Enum):
    """What is thought of a fingerprint."""

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What is known against a fingerprint.

    :ivar score: share of the blame for crashes.
    :ivar seconds: for which it counts, from now.
    :ivar quarantined: whether it is refused for this time.
    """

    fingerprint: ids.Fingerprint
    crashes: int
    score: float
    seconds: float
    quarantined: bool


@dataclasses.dataclass(slots=True)
class _Entry:
    crashes: int = 0
    score: float = 0
    until: float = 0
    quarantined: bool = False


class Suspects:
    """Fingerprints under suspicion, in bounded memory."""

    def __init__(self, quarantine_seconds: float) -> None:
        """Suspect nobody.

        :param quarantine_seconds: for which a condemned one is refused.
        """
        self._quarantine_seconds = quarantine_seconds
        self._cases: collections.OrderedDict[ids.Fingerprint, _Entry] = (
            collections.OrderedDict()
        )
        self._good: collections.OrderedDict[ids.Fingerprint, None] = (
            collections.OrderedDict()
        )

    def verdict(self, fingerprint: ids.Fingerprint, now: float) -> Verdict:
        """Tell what is thought of a fingerprint."""
        entry = self._cases.get(fingerprint)
        if entry is None:
            return Verdict.clear
        if entry.until <= now:
            self._cases.pop(fingerprint)
            return Verdict.clear
        if entry.quarantined:
            return Verdict.quarantined
        return Verdict.suspect

    def remaining(self, fingerprint: ids.Fingerprint, now: float) -> float:
        """Give the seconds for which a case still counts."""
        entry = self._cases.get(fingerprint)
        return max(entry.until - now, 0) if entry else 0

    def crashed(
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
        ]
        if len(prior) == 1:
            # The lone suspect explains the crash; its neighbours go free.
            return self._blame(prior, _CONDEMNED_SCORE, now)
        blamed = prior or sorted(ran)
        return self._blame(blamed, 1 / max(len(blamed), 1), now)

    def ended_well(self, fingerprint: ids.Fingerprint) -> None:
        """Clear a fingerprint, unless it is in quarantine."""
        if fingerprint == NO_FINGERPRINT:
            return
        entry = self._cases.get(fingerprint)
        if entry is not None and not entry.quarantined:
            self._cases.pop(fingerprint)
        self._good[fingerprint] = None
        self._good.move_to_end(fingerprint)
        if len(self._good) > _MOST_CLEARED:
            self._good.popitem(last=False)

    def export(self, now: float) -> list[Case]:
        """List the cases for other hosts, with the seconds left."""
        return [
            Case(
                fingerprint,
                entry.crashes,
                entry.score,
                entry.until - now,
                entry.quarantined,
            )
            for fingerprint, entry in self._cases.items()
            if entry.until > now
        ]

    def merge(self, cases: typing.Iterable[Case], now: float) -> None:
        """Take another host's cases; the graver view stands."""
        for case in cases:
            entry = self._entry(case.fingerprint)
            entry.crashes = max(entry.crashes, case.crashes)
            entry.score = max(entry.score, case.score)
            entry.until = max(entry.until, now + case.seconds)
            entry.quarantined = entry.quarantined or case.quarantined

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
        entry.crashes += 1
        entry.score += weight * discount
        entry.until = max(entry.until, now + _SUSPECT_SECONDS)
        before = entry.quarantined
        if entry.crashes >= _CONDEMNED_CRASHES:
            entry.quarantined = entry.score >= _CONDEMNED_SCORE
        if entry.quarantined:
            entry.until = now + self._quarantine_seconds
        return entry.quarantined and not before

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
            if not entry.quarantined:
                self._cases.pop(fingerprint)
                return
        self._cases.popitem(last=False)
