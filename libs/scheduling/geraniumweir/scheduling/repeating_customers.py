"""Customers of which several requests have the same content.

The content of a request stands for its stream only where the customer doesn't
send it twice.
"""

import typing

from geraniumweir.common import ids

# A customer that sent a content twice counts as one that may do so again for
# this time.
_REPEATING_SECONDS = 300.0
# Upper bound of the memory; the customers that repeated first go first.
_MAX_CUSTOMERS = 4096


class RepeatingCustomers:
    """Customers that sent a content twice lately.

    >>> some = RepeatingCustomers()
    >>> some.record(ids.CustomerKey(7), 0)
    True
    >>> some.record(ids.CustomerKey(7), 1)
    False
    >>> some.includes(ids.CustomerKey(7), 300), some.known(302)
    (True, [])
    """

    def __init__(self) -> None:
        """Initialize without customers."""
        # Ordered by time.
        self._repeated_at: dict[ids.CustomerKey, float] = {}

    def record(self, customer: ids.CustomerKey, now: float) -> bool:
        """Record that a customer sent a content twice.

        :param now: in seconds.
        :returns: whether it wasn't known to.
        """
        is_new = not self.includes(customer, now)
        self._repeated_at.pop(customer, None)
        self._repeated_at[customer] = now
        if len(self._repeated_at) > _MAX_CUSTOMERS:
            self._repeated_at.pop(next(iter(self._repeated_at)))
        return is_new

    def record_all(
        self, customers: typing.Iterable[ids.CustomerKey], now: float
    ) -> None:
        """Record what another host knows."""
        for customer in customers:
            self.record(customer, now)

    def includes(self, customer: ids.CustomerKey, now: float) -> bool:
        """Return whether a customer may send a content twice."""
        repeated_at = self._repeated_at.get(customer)
        if repeated_at is None:
            return False
        return now - repeated_at <= _REPEATING_SECONDS

    def known(self, now: float) -> list[ids.CustomerKey]:
        """List the customers."""
        return [one for one in self._repeated_at if self.includes(one, now)]
