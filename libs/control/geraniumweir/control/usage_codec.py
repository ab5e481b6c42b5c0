"""Encoding of the usage that entry hosts report to a new coordinator."""

import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import recent_usage, retrycounts
from geraniumweir.wire import framing
from geraniumweir.wire.gen.control import ttypes


def pack(usage: recent_usage.RecentUsage) -> ttypes.Spent:
    """Return the message; amounts are whole tokens or requests."""
    return ttypes.Spent(
        usage.known_seconds,
        [
            _pack_customer(customer, amounts)
            for customer, amounts in usage.customers.items()
        ],
        usage.retries.known_seconds,
        [
            ttypes.PoolCounts(
                pool,
                dict(counts.requests),
                dict(counts.here),
                dict(counts.elsewhere),
            )
            for pool, counts in usage.retries.pools.items()
        ],
    )


def unpack(message: ttypes.Spent) -> recent_usage.RecentUsage:
    """Return the usage that a message holds."""
    return recent_usage.RecentUsage(
        message.known_seconds,
        {
            ids.CustomerName(reported.customer): (
                reported.amounts | (reported.large_amounts or {})
            )
            for reported in message.customers
        },
        retrycounts.Counts(
            message.retries_known_seconds or 0,
            {
                ids.PoolName(reported.pool): retrycounts.PoolCounts(
                    reported.requests,
                    reported.here,
                    reported.elsewhere,
                )
                for reported in message.pools or ()
            },
        ),
    )


def _pack_customer(
    customer: ids.CustomerName, amounts: typing.Mapping[int, float]
) -> ttypes.CustomerSpent:
    large_amounts = {
        ago: float(amount)
        for ago, amount in amounts.items()
        if amount > framing.MAX_INT32
    }
    return ttypes.CustomerSpent(
        customer,
        {
            ago: min(round(amount), framing.MAX_INT32)
            for ago, amount in amounts.items()
        },
        large_amounts or None,
    )
