"""Encoding of the usage that entry hosts report to a new coordinator."""

from geraniumweir.common import ids
from geraniumweir.scheduling import recent_usage, retrycounts
from geraniumweir.wire.gen.control import ttypes


def pack(usage: recent_usage.RecentUsage) -> ttypes.Spent:
    """Return the message; amounts are whole tokens or requests."""
    return ttypes.Spent(
        usage.known_seconds,
        [
            ttypes.CustomerSpent(
                customer,
                {ago: round(amount) for ago, amount in amounts.items()},
            )
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
            ids.CustomerName(reported.customer): reported.amounts
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
