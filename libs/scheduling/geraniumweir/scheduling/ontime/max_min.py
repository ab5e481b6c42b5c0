"""Weighted max-min fairness [1]_.

References
==========
.. [1] D. Bertsekas, R. Gallager, "Data Networks", 2nd edition, Prentice Hall
   1992, section 6.5.2: max-min flow control.
"""

import math
import typing


def fair_level(
    demands: typing.Iterable[tuple[float, float]],
    total_seconds: float,
) -> float:
    """Return the slot time for each unit of weight in max-min fair shares.

    It is infinite if all demands are met.

    :param demands: weights and demands of the customers.
    :param total_seconds: slot time of all customers together.

    >>> fair_level([(1, 1), (1, 4), (2, 20)], 10)
    3.0
    >>> fair_level([(1, 1), (0, 5)], 4)
    inf
    """
    weighted = [entry for entry in demands if entry[0] > 0]
    weighted.sort(key=_demand_by_weight)
    weight_left = math.fsum(entry[0] for entry in weighted)
    seconds_left = total_seconds
    for weight, demand in weighted:
        if demand * weight_left > seconds_left * weight:
            return max(seconds_left, 0) / weight_left
        seconds_left -= demand
        weight_left -= weight
    return float('inf')


def _demand_by_weight(entry: tuple[float, float]) -> float:
    return entry[1] / entry[0]
