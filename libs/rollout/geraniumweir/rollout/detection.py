"""Detects a bad version by its answers.

The baseline is the ratio of bad answers of the old version on the same routes
at the same time. The answers of the new version are evaluated by a cumulative
sum (CUSUM) of log-likelihood ratios, so that a version that turns bad later is
detected as fast as one that was bad from the start [1]_.

References
==========
.. [1] E. S. Page, "Continuous Inspection Schemes", Biometrika 41(1/2), 1954.
"""

import collections
import dataclasses
import math
import typing

from geraniumweir.common import ids

# Baseline ratio of bad answers before any answer is known, and its weight in
# answers.
_PRIOR_BAD_RATIO = 0.02
_PRIOR_WEIGHT_ANSWERS = 60.0
_MAX_BASELINE_RATIO = 0.5
# Each answer of the old version decays the weight of earlier ones by this
# factor, which averages over about 500 answers.
_DECAY_PER_ANSWER = 0.998
# A version counts as bad if it turns at least this ratio of the otherwise good
# answers into bad ones.
_MIN_EXCESS_RATIO = 0.15
# Mean number of answers of a good version between two false detections.
_FALSE_ALARM_ANSWERS = 10_000
_THRESHOLD = math.log(_FALSE_ALARM_ANSWERS)
# A server counts as failing if it gave at least this many bad answers and this
# fraction of all; those of a bad version come from several servers.
_MIN_BAD_ANSWERS = 2
_MIN_SERVER_FRACTION = 0.3


class Detection(typing.NamedTuple):
    """A detected bad version.

    :ivar rule: the route of the bad answers, empty for all routes together.
    :ivar failing_servers: servers that gave a large part of the bad answers.
    :ivar bad: number of bad answers.
    :ivar answers: number of answers among which they were.
    """

    rule: str
    failing_servers: tuple[ids.ServerId, ...]
    bad: int
    answers: int


@dataclasses.dataclass(slots=True)
class _Baseline:
    """Decaying counts of the answers of the old version."""

    answers: float = _PRIOR_WEIGHT_ANSWERS
    bad: float = _PRIOR_WEIGHT_ANSWERS * _PRIOR_BAD_RATIO

    def add(self, *, bad: bool) -> None:
        self.answers = self.answers * _DECAY_PER_ANSWER + 1
        self.bad = self.bad * _DECAY_PER_ANSWER + bad

    def rate(self) -> float:
        """Return the ratio of bad answers plus one standard error.

        An underestimated baseline would make good versions look bad.
        """
        rate = self.bad / self.answers
        rate += math.sqrt(rate * (1 - rate) / self.answers)
        return min(max(rate, _PRIOR_BAD_RATIO), _MAX_BASELINE_RATIO)


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Cumulative sum over the answers of the new version.

    :ivar total: the sum, reset to 0 when it falls below; the counts are reset
        with it.
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
    """Detector of bad versions."""

    @property
    def suspicion(self) -> float:
        """Evidence as a fraction of the detection threshold."""

    def record_old_answer(self, rule: str, *, bad: bool) -> None:
        """Record an answer of the old version."""

    def record_new_answer(
        self,
        rule: str,
        server: ids.ServerId,
        *,
        bad: bool,
    ) -> Detection | None:
        """Record an answer of the new version.

        :returns: what was detected, None for nothing.
        """

    def reset(self) -> None:
        """Discard the evidence: one server caused it, not the version."""


class CusumDetector:
    """Detector by cumulative sums, over all routes and by route.

    >>> judge = CusumDetector()
    >>> for _ in range(500):
    ...     judge.record_old_answer('r', bad=False)
    >>> name = ids.ServerId('s')
    >>> [judge.record_new_answer('r', name, bad=True) is None for _ in range(5)]
    [True, True, True, True, False]
    """

    def __init__(self) -> None:
        """Initialize without evidence."""
        self._baselines: dict[str, _Baseline] = {}
        self._all_routes = _Evidence()
        self._by_rule: dict[str, _Evidence] = {}

    @property
    def suspicion(self) -> float:
        """Evidence as a fraction of the detection threshold."""
        totals = [one.total for one in self._by_rule.values()]
        return max(self._all_routes.total, *totals, 0) / _THRESHOLD

    def record_old_answer(self, rule: str, *, bad: bool) -> None:
        """Record an answer of the old version."""
        self._baselines.setdefault(rule, _Baseline()).add(bad=bad)

    def record_new_answer(
        self,
        rule: str,
        server: ids.ServerId,
        *,
        bad: bool,
    ) -> Detection | None:
        """Record an answer of the new version.

        :returns: what was detected, None for nothing.
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
        """Discard the evidence: one server caused it, not the version."""
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
