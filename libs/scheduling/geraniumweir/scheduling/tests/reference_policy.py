"""Reference implementation of the fair queue for differential tests.

Every decision looks at all waiting requests; nothing is indexed.
"""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.scheduling import fairqueue

_PER_CUSTOMER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Waiting request.

    :ivar starts: latest start by server class.
    """

    sequence: int
    tier: ids.Tier
    customer: ids.CustomerName
    starts: tuple[tuple[str, float], ...]


class ReferenceQueue:
    """Reference for :class:`fairqueue.FairQueue`, from its documentation."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self.items: list[Item] = []
        self.times: dict[fairqueue.Flow, float] = {}
        self.floors: dict[ids.Tier, float] = dict.fromkeys(
            ids.Tier,
            float(0),
        )

    def add(self, item: Item) -> None:
        """Add an item."""
        flow = (item.tier, item.customer)
        if not self._waits(flow):
            floor = self.floors[item.tier]
            self.times[flow] = max(self.times.get(flow, 0), floor)
        self.items.append(item)

    def remove(self, item: Item) -> None:
        """Remove an item."""
        self.items.remove(item)

    def charge(self, flow: fairqueue.Flow, cost: float) -> None:
        """Add to a customer's virtual time."""
        tier = flow[0]
        before = self.times.get(flow, self.floors[tier])
        self.times[flow] = before + cost
        if self._waits(flow):
            least = min(
                self.times[(tier, item.customer)]
                for item in self.items
                if item.tier == tier
            )
            self.floors[tier] = max(self.floors[tier], least)

    def candidates(
        self,
        server_class: str,
        tier: ids.Tier,
        now: float,
        window: float,
    ) -> list[int]:
        """List the sequence numbers of the next items, first to last."""
        able = [
            (dict(item.starts)[server_class], item.sequence, item.customer)
            for item in self.items
            if item.tier == tier and server_class in dict(item.starts)
        ]
        customers = sorted(
            {(self.times[(tier, owner)], owner) for _, _, owner in able}
        )
        near: list[tuple[float, int]] = []
        far: list[tuple[float, int]] = []
        looked = 0
        for time, customer in customers:
            mine = sorted(
                (start, sequence)
                for start, sequence, owner in able
                if owner == customer and start >= now
            )
            looked += bool(mine)
            ahead = time > customers[0][0] + window
            (far if ahead else near).extend(mine[:_PER_CUSTOMER])
            if looked == fairqueue.MAX_CUSTOMERS:
                break
        return [sequence for _, sequence in sorted(near) + far]

    def _waits(self, flow: fairqueue.Flow) -> bool:
        return any((item.tier, item.customer) == flow for item in self.items)
