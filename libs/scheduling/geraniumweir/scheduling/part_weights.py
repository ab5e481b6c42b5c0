"""Weights of prompt parts that may explain crashes of servers.

See Also
========
geraniumweir.scheduling.part_evidence
"""

import collections
import math
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import crash_records, crash_table

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
# Parts with less than this share of a request's weight don't explain a crash.
_MIN_SHARE = 0.1

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
        highest, leading = float(0), []
        for crash in self._compared(suspected):
            own = [part for part in suspected if part in crash.parts]
            explained = self._sum(customer, own)
            probability = explained / (1 + self._sum(customer, crash.parts))
            if probability > highest:
                highest = probability
                least = _MIN_SHARE * explained
                leading = [
                    part
                    for part in own
                    if self._weight(customer, part) >= least
                ]
        return highest, leading

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
            self._counted[part] = self._crashes.counted(part, self.at)
        return self._counted[part]

    def _sum(
        self,
        customer: ids.CustomerName,
        parts: typing.Iterable[ids.PromptPart],
    ) -> float:
        return sum(self._weight(customer, part) for part in parts)

    def _weight(
        self, customer: ids.CustomerName, part: ids.PromptPart
    ) -> float:
        """Return the weight of a part for a customer's requests."""
        key = customer, part
        if key not in self._weights:
            self._weights[key] = _weight(customer, part, self._crashes_of(part))
        return self._weights[key]


def _weight(
    customer: ids.CustomerName,
    part: ids.PromptPart,
    crashes: typing.Iterable[crash_records.Crash],
) -> float:
    """Return the weight of a part for a customer's requests."""
    total = float(0)
    foreign: collections.Counter[ids.CustomerName] = collections.Counter()
    for crash in crashes:
        others = crash.parts[part] - {customer}
        if others:
            foreign[min(others)] += crash.log_ratio
        else:
            total += crash.log_ratio
    total += sum(min(log, _MAX_FOREIGN_LOG) for log in foreign.values())
    return math.exp(min(total, _MAX_LOG)) * _PRIOR
