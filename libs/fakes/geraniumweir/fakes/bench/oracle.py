"""An upper bound on goodput, for a clairvoyant who knows all requests.

The engines become one machine that can split its work among requests at will,
without a queue, without the limits of a batch and of KV cache, with all
shared prefixes cached everywhere from the start. Time is cut into slots, and
a request may take work from every slot that its arrival and deadline touch.
What fits is a polymatroid [1]_, so a greedy choice by tier, then by least
work, is optimal for this relaxation; windows are intervals, so a set fits
when no interval of slots gets more work than it holds. The bound honours
strict tier order: a lower tier gets what the higher ones leave.

No policy can pass it; a good one may stay below it, since real engines have
to prefill prefixes and run at less than a full batch.

References
==========
.. [1] J. Edmonds, "Submodular functions, matroids, and certain polyhedra",
   Combinatorial Structures and Their Applications, 1970.
"""

import math
import typing

from geraniumweir.common import ids
from geraniumweir.fakes.bench import hardware, scenarios, traffic

SLOT_SECONDS = 2.0
_TINY = 1e-9


def bound(
    scenario: scenarios.Scenario,
    intents: typing.Sequence[traffic.Intent],
    *,
    tier_order: bool = True,
) -> dict[ids.Tier, float]:
    """Give the most requests of each tier that can be done in time.

    :param intents: what the callers of the scenario want.
    :param tier_order: whether a lower tier only gets what the higher ones
        leave; if not, the sum is the most that any policy can do.
    :returns: numbers of requests; a part of a request counts as a part.
    """
    kinds = scenario.hardware()
    possible = [intent for intent in intents if _fits_alone(intent, kinds)]
    possible.sort(key=traffic.intent_work)
    if tier_order:
        possible.sort(key=_tier)
    last = max((intent.deadline for intent in possible), default=0)
    machine = _Slots(_capacity(scenario, kinds, math.ceil(last / SLOT_SECONDS)))
    totals = dict.fromkeys(ids.Tier, float(0))
    for intent in possible:
        work = traffic.intent_work(intent)
        start = math.floor(intent.arrival / SLOT_SECONDS)
        end = math.ceil(intent.deadline / SLOT_SECONDS)
        totals[intent.kind.tier] += machine.take(start, end, work) / work
    return totals


def _tier(intent: traffic.Intent) -> ids.Tier:
    return intent.kind.tier


def _fits_alone(
    intent: traffic.Intent,
    kinds: typing.Sequence[hardware.Hardware],
) -> bool:
    fastest = max(kinds, key=lambda kind: kind.speed)
    private = intent.prompt_tokens - intent.shared_tokens
    alone = fastest.alone_seconds(private, intent.output_tokens)
    return alone <= intent.kind.deadline


def _capacity(
    scenario: scenarios.Scenario,
    kinds: typing.Sequence[hardware.Hardware],
    count: int,
) -> list[float]:
    full = sum(kind.speed for kind in kinds) * SLOT_SECONDS
    slots = [full for _ in range(count)]
    for fault in scenario.faults:
        match fault:
            case scenarios.PaceFault(server=number, pace=pace):
                _lose(slots, fault, kinds[number].speed * (1 - pace))
            case scenarios.CutFault(servers=numbers):
                lost = sum(kinds[number].speed for number in numbers)
                _lose(slots, fault, lost)
    return slots


def _lose(
    slots: list[float],
    fault: scenarios.PaceFault | scenarios.CutFault,
    speed: float,
) -> None:
    for number, _ in enumerate(slots):
        start = max(fault.start, number * SLOT_SECONDS)
        end = min(fault.end, (number + 1) * SLOT_SECONDS)
        slots[number] -= speed * max(0, end - start)


class _Slots:
    """What is left of the work that each interval of slots can hold."""

    def __init__(self, capacity: typing.Sequence[float]) -> None:
        count = len(capacity)
        self._count = count
        # _slack[start][end]: of the slots from start up to, without, end.
        self._slack = [
            [sum(capacity[start:end]) for end in range(count + 1)]
            for start in range(count + 1)
        ]

    def take(self, start: int, end: int, work: float) -> float:
        """Take as much of the work as fits into the slots of a window.

        :returns: the part that fits.
        """
        rows = self._slack[: start + 1]
        part = min(work, min(min(row[end:]) for row in rows))
        if part <= _TINY:
            return 0
        for row in rows:
            for last in range(end, self._count + 1):
                row[last] -= part
        return part
