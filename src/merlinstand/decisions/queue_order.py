"""A bounded queue in the order of start-time fair queueing, by callers' weights and items' costs.

Used by gateways whose requests wait for capacity. The queue reads no clock; its virtual time
advances with the cost of the items served.
"""

import math
from collections import OrderedDict
from typing import Generic, TypeVar

from merlinstand.common.removable_heap import RemovableHeap

Item = TypeVar("Item")


class Flow(Generic[Item]):
    """One caller's queued items."""

    __slots__ = ("costs", "finish_tag", "is_new", "items", "queued_cost", "weight")

    def __init__(self, weight: float, finish_tag: float) -> None:
        self.weight = weight
        self.finish_tag = finish_tag
        """Virtual time at which everything queued so far would be served."""
        self.is_new = False
        """Whether the first item precedes all backlogs, because none of the caller's items was
        served within the last round."""
        self.queued_cost = 0.0
        self.items: OrderedDict[int, Item] = OrderedDict()
        self.costs: dict[int, float] = {}


class FairQueue(Generic[Item]):
    """Items by number; the cost served for each caller is proportional to the caller's weight.

    An item's tag is the virtual time at which its caller's earlier items would be done; the item
    with the lowest tag is served first. A caller that was idle starts at the current virtual time,
    so it neither saves up credit nor waits behind the backlogs of other callers. Its first item
    even precedes their next items ("new flows first", RFC 8290). That item is charged like any
    other, so a caller that sends one item at a time gains a place within the round but no
    additional rounds.
    """

    def __init__(self, maximum: int, maximum_per_caller: int) -> None:
        """Create an empty queue.

        Args:
            maximum: Limit on all items.
            maximum_per_caller: Limit on the items of one caller.
        """
        self._maximum = maximum
        self._maximum_per_caller = maximum_per_caller
        self._flows: dict[str, Flow[Item]] = {}
        self._callers: dict[int, str] = {}
        self._order: RemovableHeap[int] = RemovableHeap()
        self._virtual_time = 0.0
        self.queued_cost = 0.0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._callers)

    def push(
        self, number: int, item: Item, caller: str, weight: float, cost: float
    ) -> tuple[bool, Item | None]:
        """Add an item.

        When the queue is full, the caller with the largest weighted backlog loses its newest item
        to a caller with a smaller backlog.

        Args:
            number: Unique number of the item.
            item: The item.
            caller: The caller that it belongs to.
            weight: The caller's weight against others.
            cost: Work that the item needs.

        Returns:
            Whether the item was added, and the item evicted in its place, if any.
        """
        flow = self._flows.get(caller)
        if flow is not None and len(flow.items) >= self._maximum_per_caller:
            return False, None
        evicted: Item | None = None
        if len(self._callers) >= self._maximum:
            own_backlog = 0.0 if flow is None else _weighted_backlog(flow)
            victim = max(self._flows.values(), key=_weighted_backlog)
            if _weighted_backlog(victim) <= own_backlog + cost / weight:
                return False, None
            evicted = self._evict_newest(victim)
        self._append(number, item, caller, weight, cost)
        return True, evicted

    def _append(self, number: int, item: Item, caller: str, weight: float, cost: float) -> None:
        """Append an item to its caller's flow and compute its tag."""
        flow = self._flows.get(caller)
        if flow is None:
            flow = Flow(weight, self._virtual_time)
            self._flows[caller] = flow
        flow.weight = weight
        start_tag = max(self._virtual_time, flow.finish_tag)
        order_tag = start_tag
        if flow.finish_tag <= self._virtual_time and not flow.items:
            flow.is_new = True
            order_tag = math.nextafter(self._virtual_time, -math.inf)
        flow.finish_tag = start_tag + cost / weight
        flow.items[number] = item
        flow.costs[number] = cost
        flow.queued_cost += cost
        self.queued_cost += cost
        self._callers[number] = caller
        self._order.put(number, order_tag)

    def peek(self) -> Item | None:
        """Return the next item without removing it; None if empty."""
        head = self._order.first()
        if head is None:
            return None
        number = head[1]
        return self._flows[self._callers[number]].items[number]

    def pop(self) -> Item | None:
        """Remove and return the next item; None if empty."""
        head = self._order.pop()
        if head is None:
            return None
        start_tag, number = head
        self._virtual_time = max(self._virtual_time, start_tag)
        return self._remove_item(number)

    def remove(self, number: int) -> Item | None:
        """Remove and return an item, wherever it is queued; None if it is not queued."""
        if not self._order.remove(number):
            return None
        flow = self._flows[self._callers[number]]
        if number == next(reversed(flow.items)):
            # The item was not served, so its caller is not charged. If the caller has later items,
            # the finish tag stays, because these items keep their tags.
            flow.finish_tag -= flow.costs[number] / flow.weight
        return self._remove_item(number)

    def cost_ahead(self, caller: str, weight: float) -> float:
        """Return the cost that would be served before a new item of this caller."""
        flow = self._flows.get(caller)
        if flow is None or flow.finish_tag <= self._virtual_time:
            # A new flow: only the first items of other new flows precede it.
            return sum(_first_cost(other) for other in self._flows.values() if other.is_new)
        if not flow.items:
            # The caller was served within the last round, so at most one item of each other caller
            # precedes its next one.
            return min(self.queued_cost, sum(_first_cost(other) for other in self._flows.values()))
        weights = sum(other.weight for other in self._flows.values())
        return min(self.queued_cost, flow.queued_cost * weights / weight)

    def _remove_item(self, number: int) -> Item:
        caller = self._callers.pop(number)
        flow = self._flows[caller]
        item = flow.items.pop(number)
        cost = flow.costs.pop(number)
        flow.is_new = False
        flow.queued_cost -= cost
        self.queued_cost -= cost
        if not flow.items:
            # An empty flow is needed only while its tag is ahead of virtual time; after that, a
            # newly created flow has the same tag.
            self._drop_if_idle(caller, flow)
        return item

    def _drop_if_idle(self, caller: str, flow: Flow[Item]) -> None:
        if not self._callers:
            self._flows.clear()
            self.queued_cost = 0.0
            return
        if flow.finish_tag <= self._virtual_time or len(self._flows) > 2 * self._maximum:
            del self._flows[caller]

    def _evict_newest(self, victim: Flow[Item]) -> Item:
        number = next(reversed(victim.items))
        item = victim.items[number]
        self.remove(number)
        return item


def _weighted_backlog(flow: "Flow[Item]") -> float:
    """Return a caller's queued cost divided by its weight."""
    return flow.queued_cost / flow.weight


def _first_cost(flow: "Flow[Item]") -> float:
    return next(iter(flow.costs.values()), 0.0)
