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
_PRIOR_BAD_RATIO = 0.02
_PRIOR_WEIGHT_ANSWERS = 60.0
_MAX_BASELINE_RATIO = 0.5
# Each answer of the old version makes the earlier ones count for so much
# less; about 500 are remembered.
_DECAY_PER_ANSWER = 0.998
# Of a bad version at least this part of the otherwise good answers is bad.
_MIN_EXCESS_RATIO = 0.15
# A good version is taken for a bad one once in about so many answers.
_FALSE_ALARM_ANSWERS = 10_000
_THRESHOLD = math.log(_FALSE_ALARM_ANSWERS)
# Bad answers of a version come from several of its servers: each of these
# gave so many, and this part of all.
_MIN_BAD_ANSWERS = 2
_MIN_SERVER_FRACTION = 0.3


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
class _Baseline:
    """Decaying counts of the old version's answers."""

    answers: float = _PRIOR_WEIGHT_ANSWERS
    bad: float = _PRIOR_WEIGHT_ANSWERS * _PRIOR_BAD_RATIO

    def add(self, *, bad: bool) -> None:
        self.answers = self.answers * _DECAY_PER_ANSWER + 1
        self.bad = self.bad * _DECAY_PER_ANSWER + bad

    def rate(self) -> float:
        """Give the part that is bad, by one standard error on the safe side.

        Taken for less than it is, the usual part makes good versions bad.
        """
        rate = self.bad / self.answers
        rate += math.sqrt(rate * (1 - rate) / self.answers)
        return min(max(rate, _PRIOR_BAD_RATIO), _MAX_BASELINE_RATIO)


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

    def add(self, baseline: float, server: ids.ServerId, *, bad: bool) -> None:
        bad_version_ratio = baseline + _MIN_EXCESS_RATIO * (1 - baseline)
        if bad:
            self.total += math.log(bad_version_ratio / baseline)
            self.bad[server] += 1
        else:
            self.total += math.log((1 - bad_version_ratio) / (1 - baseline))
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
        self._baselines: dict[str, _Baseline] = {}
        self._all_routes = _Evidence()
        self._by_rule: dict[str, _Evidence] = {}

    @property
    def suspicion(self) -> float:
        """Give how near a test is to going off, 1 where it does."""
        totals = [one.total for one in self._by_rule.values()]
        return max(self._all_routes.total, *totals, 0) / _THRESHOLD

    def record_old_answer(self, rule: str, *, bad: bool) -> None:
        """Take an answer of the old version."""
        self._baselines.setdefault(rule, _Baseline()).add(bad=bad)

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
        baseline = self._baselines.setdefault(rule, _Baseline()).rate()
        by_rule = self._by_rule.setdefault(rule, _Evidence())
        for evidence in (self._all_routes, by_rule):
            evidence.add(baseline, server, bad=bad)
        if self._all_routes.total >= _THRESHOLD:
            return _make_detection('', self._all_routes)
        if by_rule.total >= _THRESHOLD:
            return _make_detection(rule, by_rule)
        return None

    def reset(self) -> None:
        """Drop the evidence: its cause was one server, not its version."""
        self._all_routes.clear()
        self._by_rule.clear()


def _make_detection(rule: str, evidence: _Evidence) -> Detection:
    min_count = max(
        _MIN_BAD_ANSWERS, evidence.bad.total() * _MIN_SERVER_FRACTION
    )
    failing_servers = tuple(
        server for server, count in evidence.bad.items() if count >= min_count
    )
    return Detection(
        rule, failing_servers, evidence.bad.total(), evidence.answers
    )
