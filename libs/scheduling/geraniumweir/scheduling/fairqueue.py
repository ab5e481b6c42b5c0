"""Queue of waiting requests by tier, fair share and latest start.

Inside a tier each customer has a virtual time, the slot seconds it was
granted divided by its share, as in fair queueing [1]_. A customer that
returns starts at the least virtual time of the waiting customers, so that
idleness earns no credit [2]_. Among the customers whose virtual time is
within a window of the least one, the request with the earliest latest start
goes first, as in earliest eligible virtual deadline first [3]_: deadlines
decide in the short run, shares in the long run.

Servers differ in speed, so a request has a latest start for each server class,
and each class has its own order; a request that a slow class cannot finish in
time is skipped there by bisection.

A decision considers at most :data:`MAX_CUSTOMERS` customers, so it costs
O(log n).

References
==========
.. [1] A. Demers, S. Keshav, S. Shenker, "Analysis and Simulation of a Fair
   Queueing Algorithm", SIGCOMM 1989.
.. [2] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
.. [3] I. Stoica, H. Abdel-Wahab, "Earliest Eligible Virtual Deadline First",
   Old Dominion University, TR-95-22, 1995.
"""

import dataclasses
import itertools
import operator
import typing

import sortedcontainers
from geraniumweir.common import ids

MAX_CUSTOMERS = 8
# Customers visited for a decision, with those that have no request that can
# still start in time.
_MAX_VISITED = 32
_PER_CUSTOMER = 2
_MAX_FLOWS = 16384

_Class = typing.TypeVar('_Class', bound=typing.Hashable)
_Item = typing.TypeVar('_Item', bound=typing.Hashable)
Flow = tuple[ids.Tier, ids.CustomerName]
_Start = tuple[float, int, _Item]
_FIRST = operator.itemgetter(0, 1)


class _Lane(typing.Generic[_Item]):
    """Waiting requests of one tier that one server class can run."""

    def __init__(self) -> None:
        self.customers: dict[
            ids.CustomerName, sortedcontainers.SortedKeyList
        ] = {}
        self.order = sortedcontainers.SortedList()


@dataclasses.dataclass(slots=True)
class _FlowState:
    """State of a customer in one tier.

    :ivar virtual_time: slot seconds granted to it, divided by its share.
    :ivar lanes: number of its requests in the queue, by server class.
    :ivar waiting: number of its requests in the queue.
    """

    virtual_time: float = 0
    lanes: dict[typing.Any, int] = dataclasses.field(default_factory=dict)
    waiting: int = 0


class FairQueue(typing.Generic[_Class, _Item]):
    """Waiting items by server class, tier, customer and latest start."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._lanes: dict[tuple[_Class, ids.Tier], _Lane[_Item]] = {}
        self._flows: dict[Flow, _FlowState] = {}
        self._backlog: dict[ids.Tier, sortedcontainers.SortedList] = {
            tier: sortedcontainers.SortedList() for tier in ids.Tier
        }
        self._floor: dict[ids.Tier, float] = dict.fromkeys(ids.Tier, float(0))

    def add(
        self,
        item: _Item,
        flow: Flow,
        sequence: int,
        starts: typing.Mapping[_Class, float],
    ) -> None:
        """Add an item.

        :param flow: its tier and customer.
        :param sequence: breaks ties, lowest first.
        :param starts: latest start by each class that can run the item, in
            seconds.
        """
        flow_state = self._activate(flow)
        flow_state.waiting += 1
        for server_class, latest in starts.items():
            self._insert(
                flow, flow_state, server_class, (latest, sequence, item)
            )

    def add_class(
        self,
        item: _Item,
        flow: Flow,
        sequence: int,
        start: tuple[_Class, float],
    ) -> None:
        """Add a further class that can run an item of the queue."""
        server_class, latest = start
        entry = (latest, sequence, item)
        self._insert(flow, self._flows[flow], server_class, entry)

    def remove(
        self,
        item: _Item,
        flow: Flow,
        sequence: int,
        starts: typing.Mapping[_Class, float],
    ) -> None:
        """Remove an item; the arguments are those it was added with."""
        flow_state = self._flows[flow]
        for server_class, latest in starts.items():
            self._delete(
                flow, flow_state, server_class, (latest, sequence, item)
            )
        flow_state.waiting -= 1
        if not flow_state.waiting:
            self._deactivate(flow, flow_state)

    def charge(self, flow: Flow, cost: float) -> None:
        """Add to a customer's virtual time.

        :param cost: slot seconds divided by the share; negative for a refund.
        """
        flow_state = self._flows.setdefault(
            flow,
            _FlowState(self._floor[flow[0]]),
        )
        before = flow_state.virtual_time
        flow_state.virtual_time += cost
        if flow_state.waiting:
            self._reorder(flow, flow_state, before)
        elif len(self._flows) > _MAX_FLOWS:
            self._discard_idle()

    def candidates(
        self,
        server_class: _Class,
        tier: ids.Tier,
        now: float,
        window: float,
    ) -> list[_Item]:
        """List the next items for a server class, first to last.

        :param window: virtual time by which a customer may be ahead of the
            least.
        """
        lane = self._lanes.get((server_class, tier))
        if lane is None or not lane.order:
            return []
        bound = lane.order[0][0] + window
        near: list[_Start[_Item]] = []
        far: list[_Start[_Item]] = []
        found = 0
        for virtual_time, customer in itertools.islice(
            lane.order, _MAX_VISITED
        ):
            starts = _next_starts(lane.customers[customer], now)
            (near if virtual_time <= bound else far).extend(starts)
            found += bool(starts)
            if found >= MAX_CUSTOMERS:
                break
        near.sort(key=_FIRST)
        return [start[2] for start in itertools.chain(near, far)]

    def virtual_time(self, flow: Flow) -> float:
        """Return the virtual time of a customer in a tier."""
        flow_state = self._flows.get(flow)
        return flow_state.virtual_time if flow_state else self._floor[flow[0]]

    def backlogged(self, tier: ids.Tier) -> int:
        """Return the number of customers with waiting requests in a tier."""
        return len(self._backlog[tier])

    def _activate(self, flow: Flow) -> _FlowState:
        tier, customer = flow
        flow_state = self._flows.setdefault(flow, _FlowState())
        if not flow_state.waiting:
            flow_state.virtual_time = max(
                flow_state.virtual_time, self._floor[tier]
            )
            self._backlog[tier].add((flow_state.virtual_time, customer))
        return flow_state

    def _deactivate(self, flow: Flow, flow_state: _FlowState) -> None:
        tier, customer = flow
        self._backlog[tier].remove((flow_state.virtual_time, customer))
        if len(self._flows) > _MAX_FLOWS:
            self._discard_idle()

    def _insert(
        self,
        flow: Flow,
        flow_state: _FlowState,
        server_class: _Class,
        entry: _Start[_Item],
    ) -> None:
        tier, customer = flow
        lane = self._lanes.setdefault((server_class, tier), _Lane())
        if customer not in lane.customers:
            lane.customers[customer] = sortedcontainers.SortedKeyList(
                key=_FIRST,
            )
            lane.order.add((flow_state.virtual_time, customer))
        lane.customers[customer].add(entry)
        flow_state.lanes[server_class] = (
            flow_state.lanes.get(server_class, 0) + 1
        )

    def _delete(
        self,
        flow: Flow,
        flow_state: _FlowState,
        server_class: _Class,
        entry: _Start[_Item],
    ) -> None:
        tier, customer = flow
        lane = self._lanes[(server_class, tier)]
        lane.customers[customer].remove(entry)
        flow_state.lanes[server_class] -= 1
        if not flow_state.lanes[server_class]:
            flow_state.lanes.pop(server_class)
            lane.customers.pop(customer)
            lane.order.remove((flow_state.virtual_time, customer))

    def _reorder(
        self, flow: Flow, flow_state: _FlowState, before: float
    ) -> None:
        tier, customer = flow
        orders = [self._lanes[(kind, tier)].order for kind in flow_state.lanes]
        for order in (self._backlog[tier], *orders):
            order.remove((before, customer))
            order.add((flow_state.virtual_time, customer))
        self._floor[tier] = max(
            self._floor[tier],
            self._backlog[tier][0][0],
        )

    def _discard_idle(self) -> None:
        # A customer at or below the floor starts at the floor again, whether or
        # not its state was kept.
        idle = [
            flow
            for flow, flow_state in self._flows.items()
            if not flow_state.waiting
            and flow_state.virtual_time <= self._floor[flow[0]]
        ]
        for flow in idle:
            self._flows.pop(flow)


def _next_starts(
    starts: sortedcontainers.SortedKeyList,
    now: float,
) -> list[typing.Any]:
    """Return the first few entries that can still start in time."""
    first = 0
    if starts[0][0] < now:
        first = starts.bisect_key_left((now, -1))
    return starts[first : first + _PER_CUSTOMER]
