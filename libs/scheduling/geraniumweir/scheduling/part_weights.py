"""Weights of prompt parts that may explain crashes of servers.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import collections
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import crash_records, crash_table, notices

# Prior probability that a part is bad. A sound part is refused with at most
# this probability, divided by the odds of a refusal.
_PRIOR = 1e-3
# Sum of the logarithms of ratios up to which the crashes of one customer's
# requests count for another customer; those of two customers suffice.
_MAX_FOREIGN_LOG = 4.6
# Beyond this exponent a weight is certain.
_MAX_LOG = 200.0
# Latest crashes of a part that are looked at for one request.
_MAX_COMPARED = 8
# A crash with more parts has the prior probability of so many, spread over all
# of its parts: a long prompt is no more likely to crash a server.
_MAX_PRIOR_PARTS = 48
# Parts with less than this share of the highest weight don't explain a crash.
_MIN_SHARE = 0.1
# Of parts that always come together some stand for all.
_MAX_LEADING = 8

Parts = tuple[ids.PromptPart, ...]
Explanation = tuple[float, list[ids.PromptPart]]


class PartWeights:
    """Weights for one revision of the crashes, each computed once.

    :ivar revision: of the crashes.
    :ivar at: time for which they are computed, in seconds.
    """

    def __init__(self, crashes: crash_table.CrashTable, now: float) -> None:
        """Initialize without weights."""
        self.revision = crashes.revision
        self.at = now
        self._crashes = crashes
        self._explanations: dict[
            tuple[ids.CustomerName, Parts], Explanation
        ] = {}
        self._weights: dict[tuple[ids.CustomerName, ids.PromptPart], float] = {}
        self._counted: dict[ids.PromptPart, list[crash_records.Crash]] = {}
        self._sums: dict[
            tuple[ids.CustomerName, notices.ServerIncarnation], float
        ] = {}
        self._counting: dict[notices.ServerIncarnation, bool] = {}

    def crash_probability(
        self, customer: ids.CustomerName, suspected: Parts
    ) -> Explanation:
        """Return the probability that a request crashes its server.

        :param suspected: its parts that are in crashes.
        :returns: besides, the parts that explain the crash which shows it.
        """
        key = customer, suspected
        if key not in self._explanations:
            self._explanations[key] = self._explain(customer, suspected)
        return self._explanations[key]

    def _explain(
        self, customer: ids.CustomerName, suspected: Parts
    ) -> Explanation:
        best: Explanation = (0, [])
        for crash in self._compared(suspected):
            found = self._explain_crash(customer, suspected, crash)
            if found[0] > best[0]:
                best = found
        return best

    def _explain_crash(
        self,
        customer: ids.CustomerName,
        suspected: Parts,
        crash: crash_records.Crash,
    ) -> Explanation:
        weights = {
            part: self._weight(customer, part)
            for part in suspected
            if part in crash.parts
        }
        scale = _prior_scale(crash)
        explained = scale * sum(weights.values())
        least = _MIN_SHARE * max(weights.values())
        leading = [part for part, weight in weights.items() if weight >= least]
        return (
            explained / (1 + scale * self._sum(customer, crash)),
            leading[:_MAX_LEADING],
        )

    def _compared(
        self, suspected: Parts
    ) -> typing.Iterable[crash_records.Crash]:
        """Return the latest crashes of some parts, each once."""
        crashes = [
            crash
            for part in suspected
            for crash in self._crashes_of(part)[-_MAX_COMPARED:]
        ]
        return dict.fromkeys(crashes)

    def _crashes_of(self, part: ids.PromptPart) -> list[crash_records.Crash]:
        if part not in self._counted:
            self._counted[part] = [
                crash
                for crash in self._crashes.by_part.find(part)
                if self._counts(crash)
            ]
        return self._counted[part]

    def _counts(self, crash: crash_records.Crash) -> bool:
        found = self._counting.get(crash.start)
        if found is None:
            found = self._crashes.counts(crash, self.at)
            self._counting[crash.start] = found
        return found

    def _sum(
        self, customer: ids.CustomerName, crash: crash_records.Crash
    ) -> float:
        """Return the weight of all parts of a crash, kept or not."""
        key = customer, crash.start
        if key not in self._sums:
            left_out = crash.left_out * _to_weight(crash.log_ratio)
            self._sums[key] = left_out + self._sum_kept(customer, crash)
        return self._sums[key]

    def _sum_kept(
        self, customer: ids.CustomerName, crash: crash_records.Crash
    ) -> float:
        """Return the weight of the parts that are kept.

        Most are in no other crash and have the weight of their customers' one.
        """
        lone: collections.Counter[frozenset[ids.CustomerName]] = (
            collections.Counter()
        )
        total = float(0)
        for part, senders in crash.parts.items():
            if self._crashes.by_part.is_lone(part):
                lone[senders] += 1
            else:
                total += self._weight(customer, part)
        return total + sum(
            number * _weight(customer, [(customers, crash.log_ratio)])
            for customers, number in lone.items()
        )

    def _weight(
        self, customer: ids.CustomerName, part: ids.PromptPart
    ) -> float:
        """Return the weight of a part for a customer's requests."""
        key = customer, part
        if key not in self._weights:
            crashes = self._crashes_of(part)
            self._weights[key] = _weight(
                customer,
                [(crash.parts[part], crash.log_ratio) for crash in crashes],
            )
        return self._weights[key]


def _weight(
    customer: ids.CustomerName,
    crashes: typing.Iterable[tuple[frozenset[ids.CustomerName], float]],
) -> float:
    """Return the weight of a part for a customer's requests.

    :param crashes: for each the customers whose requests with the part were in
        it, and its logarithm of the likelihood ratio.
    """
    total = float(0)
    foreign: collections.Counter[ids.CustomerName] = collections.Counter()
    for customers, log_ratio in crashes:
        others = customers - {customer}
        if others:
            foreign[min(others)] += log_ratio
        else:
            total += log_ratio
    total += sum(min(log, _MAX_FOREIGN_LOG) for log in foreign.values())
    return _to_weight(total)


def _to_weight(log_ratio: float) -> float:
    """Return the weight for the logarithm of a likelihood ratio."""
    return math.exp(min(log_ratio, _MAX_LOG)) * _PRIOR


def _prior_scale(crash: crash_records.Crash) -> float:
    """Return the factor of weights for a crash that a part is in."""
    return min(_MAX_PRIOR_PARTS / (len(crash.parts) + crash.left_out), 1)
