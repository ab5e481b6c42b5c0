"""Weights of customers for fair shares of slots.

The weight of a customer is that of its entry in the routing document, or else
the rate of its quota. Quotas in requests and in tokens can't be compared; those
of the unit that fewer customers have don't count. A customer without a weight
has the mean weight of the others, and so have all requests without a customer
together.
"""

import collections
import statistics
import types
import typing

from geraniumweir.common import ids
from geraniumweir.routing import tables

# The name in slot requests without a customer.
_ANONYMOUS = ids.CustomerName('')
# Shares need at least two customers to divide slots among.
_MIN_CUSTOMERS = 2


def of_customers(
    customers: typing.Sequence[tables.Customer],
) -> typing.Mapping[ids.CustomerName, float]:
    """Return the weight of each customer.

    It is empty, so that there are no shares, if fewer than two customers have a
    weight or a quota.

    >>> def customer(name, weight, rate):
    ...     quota = tables.Quota(rate, 0, in_tokens=True, plain_cost=0)
    ...     return tables.Customer(name, (), quota=quota, weight=weight)
    >>> a, b = customer('a', None, 10), customer('b', 30, 10)
    >>> dict(of_customers([a, b, customer('c', None, 0)]))
    {'': 20.0, 'a': 10, 'b': 30, 'c': 20.0}
    >>> dict(of_customers([a, customer('c', None, 0)]))
    {}
    """
    in_tokens = _usual_unit(customers)
    weights = {one.name: _own_weight(one, in_tokens) for one in customers}
    known = [weight for weight in weights.values() if weight is not None]
    if len(known) < _MIN_CUSTOMERS:
        return types.MappingProxyType({})
    mean = statistics.fmean(known)
    found = {_ANONYMOUS: mean}
    for name, weight in weights.items():
        found[name] = mean if weight is None else weight
    return types.MappingProxyType(found)


def _usual_unit(customers: typing.Iterable[tables.Customer]) -> bool:
    """Return whether more quotas are in tokens than in requests."""
    counted = collections.Counter(
        one.quota.in_tokens for one in customers if _has_rate(one.quota)
    )
    return counted[True] >= counted[False]


def _own_weight(customer: tables.Customer, in_tokens: bool) -> float | None:
    if customer.weight is not None:
        return customer.weight
    quota = customer.quota
    if not _has_rate(quota) or quota.in_tokens != in_tokens:
        return None
    return min(quota.per_second, tables.MAX_WEIGHT)


def _has_rate(quota: tables.Quota | None) -> bool:
    """Return whether a quota limits the rate; NaN and 0 are no limits."""
    return quota is not None and quota.per_second > 0
