"""Tells a bad version from a good one by its answers.

Answers of the old version on the same routes at the same moments say how many
bad ones are usual. A cumulative sum of log-likelihood ratios weighs those of
the new version, so that one that turns bad later is found as fast as one that
was bad from the start [1]_.

References
==========
.. [1] E. S. Page, "Continuous Inspection Schemes", Biometrika 41(1/2), 1954.
"""

import collections
import dataclasses
import math
import typing

from geraniumweir.common import ids

# Bad answers that are thought usual before any was seen, as a part of all,
# and the weight of that in answers.
_USUAL_BAD = 0.02
_USUAL_WEIGHT = 60.0
_MOST_USUAL = 0.5
# Each answer of the old version makes the earlier ones count for so much
# less; about 500 are remembered.
_KEEP = 0.998
# Of a bad version at least this part of the otherwise good answers is bad.
_LEAST_BAD = 0.15
# A good version is taken for a bad one once in about so many answers.
_FALSE_ALARM_ANSWERS = 10_000
_THRESHOLD = math.log(_FALSE_ALARM_ANSWERS)
# Bad answers of a version come from several of its servers: each of these
# gave so many, and this part of all.
_FEW_BAD = 2
_CULPRIT_PART = 0.3


class Detection(typing.NamedTuple):
    """A test went off.

    :ivar rule: the route on which it did, empty for all together.
    :ivar failing_servers: servers that gave a good part of the bad answers.
    """

    rule: str
    failing_servers: tuple[ids.ServerId, ...]
    bad: int
    answers: int


@dataclasses.dataclass(slots=True)
class _Usual:
    """Decaying counts of the old version's answers."""

    answers: float = _USUAL_WEIGHT
    bad: float = _USUAL_WEIGHT * _USUAL_BAD

    def add(self, *, bad: bool) -> None:
        self.answers = self.answers * _KEEP + 1
        self.bad = self.bad * _KEEP + bad

    def rate(self) -> float:
        """Give the part that is bad, by one standard error on the safe side.

        Taken for less than it is, the usual part makes good versions bad.
        """
        rate = self.bad / self.answers
        rate += math.sqrt(rate * (1 - rate) / self.answers)
        return min(max(rate, _USUAL_BAD), _MOST_USUAL)


@dataclasses.dataclass(slots=True)
class _Evidence:
    """A cumulative sum over the new version's answers.

    :ivar total: starts again at 0 when it would fall below it; what else is
        counted starts again with it.
    """

    total: float = 0
    answers: int = 0
    bad: collections.Counter[ids.ServerId] = dataclasses.field(
        default_factory=collections.Counter,
    )

    def add(self, usual: float, server: ids.ServerId, *, bad: bool) -> None:
        worse = usual + _LEAST_BAD * (1 - usual)
        if bad:
            self.total += math.log(worse / usual)
            self.bad[server] += 1
        else:
            self.total += math.log((1 - worse) / (1 - usual))
        self.answers += 1
        if self.total <= 0:
            self.clear()

    def clear(self) -> None:
        self.total = 0
        self.answers = 0
        self.bad.clear()


class Detector(typing.Protocol):
    """Tells a bad version from a good one."""

    @property
    def suspicion(self) -> float:
        """Give how near it is to going off, 1 where it does."""

    def record_old_answer(self, rule: str, *, bad: bool) -> None:
        """Take an answer of the old version."""

    def record_new_answer(
        self,
        rule: str,
        server: ids.ServerId,
        *,
        bad: bool,
    ) -> Detection | None:
        """Take an answer of the new version."""

    def reset(self) -> None:
        """Drop the evidence: its cause was one server, not its version."""


class CusumDetector:
    """Weighs the answers of one rollout.

    >>> judge = CusumDetector()
    >>> for _ in range(500):
    ...     judge.record_old_answer('r', bad=False)
    >>> name = ids.ServerId('s')
    >>> [judge.record_new_answer('r', name, bad=True) is None for _ in range(5)]
    [True, True, True, True, False]
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._usual: dict[str, _Usual] = {}
        self._together = _Evidence()
        self._by_rule: dict[str, _Evidence] = {}

    @property
    def suspicion(self) -> float:
        """Give how near a test is to going off, 1 where it does."""
        totals = [one.total for one in self._by_rule.values()]
        return max(self._together.total, *totals, 0) / _THRESHOLD

    def record_old_answer(self, rule: str, *, bad: bool) -> None:
        """Take an answer of the old version."""
        self._usual.setdefault(rule, _Usual()).add(bad=bad)

    def record_new_answer(
        self,
        rule: str,
        server: ids.ServerId,
        *,
        bad: bool,
    ) -> Detection | None:
        """Take an answer of the new version.

        :returns: what was found, where a test goes off.
        """
        usual = self._usual.setdefault(rule, _Usual()).rate()
        by_rule = self._by_rule.setdefault(rule, _Evidence())
        for evidence in (self._together, by_rule):
            evidence.add(usual, server, bad=bad)
        if self._together.total >= _THRESHOLD:
            return _verdict('', self._together)
        if by_rule.total >= _THRESHOLD:
            return _verdict(rule, by_rule)
        return None

    def reset(self) -> None:
        """Drop the evidence: its cause was one server, not its version."""
        self._together.clear()
        self._by_rule.clear()


def _verdict(rule: str, evidence: _Evidence) -> Detection:
    least = max(_FEW_BAD, evidence.bad.total() * _CULPRIT_PART)
    failing_servers = tuple(
        server for server, count in evidence.bad.items() if count >= least
    )
    return Detection(
        rule, failing_servers, evidence.bad.total(), evidence.answers
    )
