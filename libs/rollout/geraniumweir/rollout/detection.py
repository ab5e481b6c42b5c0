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
# The others count as good if their answers would be this many times less
# probable with the failing servers' ratio of bad answers; a bad answer of them
# counts against that by the same factor.
_MAX_ODDS = 20.0
_MAX_FAILING_RATIO = 0.95


class Detection(typing.NamedTuple):
    """A detected bad version.

    :ivar rule: the route of the bad answers, empty for all routes together.
    :ivar failing_servers: servers that gave a large part of the bad answers.
    :ivar bad: number of bad answers.
    :ivar answers: number of answers among which they were.
    :ivar others_are_good: whether the other servers gave enough good answers to
        show that the failing ones are faulty, and not the version.
    """

    rule: str
    failing_servers: tuple[ids.ServerId, ...]
    bad: int
    answers: int
    others_are_good: bool = False


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
    :ivar good: number of good answers by server.
    :ivar bad: number of bad answers by server.
    """

    total: float = 0
    answers: int = 0
    good: collections.Counter[ids.ServerId] = dataclasses.field(
        default_factory=collections.Counter,
    )
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
            self.good[server] += 1
        self.answers += 1
        if self.total <= 0:
            self.clear()

    def clear(self) -> None:
        self.total = 0
        self.answers = 0
        self.good.clear()
        self.bad.clear()

    def others_are_good(self, failing: typing.Collection[ids.ServerId]) -> bool:
        """Return whether the others fail much less often than some servers.

        Their answers must be improbable for servers that fail as often.
        """
        bad = sum(self.bad[server] for server in failing)
        good = sum(self.good[server] for server in failing)
        bad_ratio = min(bad / max(bad + good, 1), _MAX_FAILING_RATIO)
        other_good = self.good.total() - good
        other_bad = self.bad.total() - bad
        probability = (1 - bad_ratio) ** other_good
        return probability * _MAX_ODDS**other_bad < 1 / _MAX_ODDS


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
        rule,
        failing_servers,
        evidence.bad.total(),
        evidence.answers,
        evidence.others_are_good(failing_servers),
    )
