"""Running streams that may be preempted, by tier and wasted prefill."""

import typing

import sortedcontainers
from geraniumweir.common import ids

_MAX_LISTED = 4

_Class = typing.TypeVar('_Class', bound=typing.Hashable)


class Victims(typing.Generic[_Class]):
    """Ids of preemptible requests by server class and tier, least waste first.

    >>> victims = Victims()
    >>> victims.add('fast', ids.Tier.low, 900.0, ids.RequestId('long'))
    >>> victims.add('fast', ids.Tier.low, 20.0, ids.RequestId('short'))
    >>> victims.least('fast', ids.Tier.low)
    ['short', 'long']
    """

    def __init__(self) -> None:
        """Initialize without streams."""
        self._by_lane: dict[
            tuple[_Class, ids.Tier], sortedcontainers.SortedList
        ] = {}
        self._keys: dict[
            ids.RequestId, tuple[tuple[_Class, ids.Tier], float]
        ] = {}

    def add(
        self,
        server_class: _Class,
        tier: ids.Tier,
        waste: float,
        request_id: ids.RequestId,
    ) -> None:
        """Add a stream that may be preempted.

        :param waste: uncached prompt tokens that it was granted with.
        """
        lane = (server_class, tier)
        order = self._by_lane.setdefault(lane, sortedcontainers.SortedList())
        order.add((waste, request_id))
        self._keys[request_id] = (lane, waste)

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a stream if it is present."""
        key = self._keys.pop(request_id, None)
        if key is None:
            return
        lane, waste = key
        self._by_lane[lane].remove((waste, request_id))

    def least(
        self,
        server_class: _Class,
        tier: ids.Tier,
    ) -> list[ids.RequestId]:
        """List a few streams of a tier that waste least."""
        order = self._by_lane.get((server_class, tier))
        if order is None:
            return []
        return [request_id for _, request_id in order[:_MAX_LISTED]]

    def waste(self, request_id: ids.RequestId) -> float | None:
        """Return the tokens a stream would waste, None if not preemptible."""
        key = self._keys.get(request_id)
        return key[1] if key else None
