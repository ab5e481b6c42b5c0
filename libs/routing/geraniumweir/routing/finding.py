"""Finds the route and the customer of a request through an index.

The result equals that of a scan of all routes, the longest prefix first. The
index needs as many steps as the path has slashes, whatever the number of
routes.
"""

import functools
import random
import typing

from geraniumweir.common import ids
from geraniumweir.routing import tables, weights

_Prefixes = dict[str, tables.Route]


class Index:
    """Index of a routing document.

    :ivar document: the indexed document.
    """

    def __init__(self, document: tables.Document) -> None:
        """Initialize from a document that was validated."""
        self.document = document
        self._prefixes_by_host: dict[str, _Prefixes] = {}
        for route in document.routes:
            prefixes = self._prefixes_by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
        self._pools = {pool.name: pool for pool in document.pools}
        self._customers_by_name = {
            entry.name: entry for entry in document.customers
        }
        self._customers_by_key = {
            key: customer
            for customer in document.customers
            for key in customer.keys
        }

    @property
    def version(self) -> ids.Version:
        """The version of the document."""
        return self.document.version

    def route(self, host: str, path: str) -> tables.Route | None:
        """Return the route with the longest matching prefix, None without one.

        :param host: as in the ``Host`` header.
        :param path: without the query.
        """
        prefixes = self._prefixes_by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None

    def pool(self, name: ids.PoolName) -> tables.Pool | None:
        """Return a pool by name, None if unknown."""
        return self._pools.get(name)

    def customer(self, key: str) -> tables.Customer | None:
        """Return the customer of an API key, None if unknown."""
        return self._customers_by_key.get(key)

    def customer_named(
        self,
        name: ids.CustomerName,
    ) -> tables.Customer | None:
        """Return a customer by name, None if unknown."""
        return self._customers_by_name.get(name)

    @functools.cached_property
    def customer_weights(self) -> typing.Mapping[ids.CustomerName, float]:
        """Weights of customers in fair shares of slots, none for no shares.

        They are computed at the first use, as only pool leaders need them.
        """
        return weights.of_customers(self.document.customers)


def normalize_host(host: str) -> str:
    """Return a ``Host`` header without its port, in lower case.

    >>> normalize_host('Ficu95.example:8080')
    'ficu95.example'
    """
    return host.partition(':')[0].lower()


def choose_pool(
    targets: typing.Sequence[tables.Target],
    rng: random.Random,
) -> ids.PoolName:
    """Return a random pool, chosen by the weights.

    :param targets: with a sum of weights greater than 0.
    """
    if len(targets) == 1:
        return targets[0].pool
    target_weights = [target.weight for target in targets]
    return rng.choices(targets, target_weights)[0].pool
