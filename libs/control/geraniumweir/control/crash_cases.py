"""Facts about requests, and parts of prompts, that crashed servers.

See Also
========
geraniumweir.control.request_exchange
"""

import dataclasses
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    case_encoding,
    part_encoding,
    part_evidence,
    suspects,
)
from geraniumweir.scheduling.ontime import leader
from geraniumweir.wire.gen.control import ttypes

# Crashes come in bursts, and each message has all of them.
_PARTS_SECONDS = 0.3
# Cases in one message, which then has some kilobytes.
_MAX_CASES = 64

_Key = tuple[ids.Fingerprint, str, int, bool]
Leaders = typing.Callable[[], typing.Iterable[leader.OnTimePoolLeader]]


def _no_leaders() -> tuple[leader.OnTimePoolLeader, ...]:
    return ()


class CrashCases:
    """Requests that crashed servers, as the last coordinator published them.

    :ivar leaders: returns the pool leaders of this host.
    """

    def __init__(self) -> None:
        """Initialize without cases."""
        self.leaders: Leaders = _no_leaders
        self._cases: typing.Sequence[suspects.Case] = ()
        self._received_at = float(0)
        self._keys: frozenset[_Key] = frozenset()

    def apply_to(self, new_leader: leader.OnTimePoolLeader, now: float) -> None:
        """Pass the cases that are still valid to a new pool leader."""
        new_leader.suspects.merge(self._valid(now), now)

    def fill_all(self, message: ttypes.RequestFacts, now: float) -> None:
        """Add all cases that are still valid.

        No list is added where there are none: another host may know some.
        """
        message.cases = case_encoding.pack(self._valid(now)) or None

    def fill(self, message: ttypes.RequestFacts, now: float) -> bool:
        """Add the cases when there are new or fewer ones."""
        leaders = list(self.leaders())
        if not leaders:
            return False
        cases = [case for one in leaders for case in one.suspects.export(now)]
        cases.sort(key=_severity, reverse=True)
        keys = frozenset(map(_key, cases[:_MAX_CASES]))
        if keys == self._keys:
            return False
        self._store(cases[:_MAX_CASES], now)
        message.cases = case_encoding.pack(self._cases)
        return True

    def apply(self, message: ttypes.RequestFacts, now: float) -> None:
        """Take over the cases of another coordinator."""
        if message.cases is None:
            return
        self._store(case_encoding.unpack(message.cases), now)
        for one in self.leaders():
            one.suspects.merge(self._cases, now)

    def _valid(self, now: float) -> list[suspects.Case]:
        aged = (
            dataclasses.replace(
                case,
                seconds=case.seconds - (now - self._received_at),
            )
            for case in self._cases
        )
        return [case for case in aged if case.seconds > 0]

    def _store(self, cases: typing.Sequence[suspects.Case], now: float) -> None:
        self._cases = cases
        self._received_at = now
        self._keys = frozenset(map(_key, cases))


class PartCases:
    """What the coordinator knows of prompt parts that crashed servers.

    :ivar leads: returns whether this host leads pools.
    """

    def __init__(self, evidence: part_evidence.PartEvidence) -> None:
        """Initialize with the evidence of this host."""
        self.leads: typing.Callable[[], bool] = _never
        self._evidence = evidence
        self._published_revision = 0
        self._published_at = float('-inf')

    def fill(self, message: ttypes.RequestFacts, now: float) -> bool:
        """Add all evidence when it changed."""
        revision = self._evidence.revision
        if revision == self._published_revision or not self.leads():
            return False
        if now - self._published_at < _PARTS_SECONDS:
            return False
        self._published_at = now
        self._published_revision = revision
        self.fill_all(message, now)
        return True

    def fill_all(self, message: ttypes.RequestFacts, now: float) -> None:
        """Add all evidence."""
        message.crashes = part_encoding.pack_crashes(
            self._evidence.crashes.crashes(now), now
        )
        message.trials = part_encoding.pack_refused(
            self._evidence.refused(), now
        )

    def apply(self, message: ttypes.RequestFacts, now: float) -> None:
        """Take over the evidence of another coordinator.

        It is not published again: two hosts that both lead pools would do so
        in turn.
        """
        if message.crashes is None:
            return
        is_published = self._evidence.revision == self._published_revision
        self._evidence.merge(
            part_encoding.unpack_crashes(message.crashes, now),
            part_encoding.unpack_refused(message.trials or (), now),
        )
        if is_published:
            self._published_revision = self._evidence.revision


def _never() -> bool:
    return False


def _key(case: suspects.Case) -> _Key:
    return case.fingerprint, case.origin, case.crashes, case.quarantined


def _severity(case: suspects.Case) -> tuple[bool, int, float]:
    return case.quarantined, case.crashes, case.seconds
