"""Which waiting item is next: a bounded queue by callers' weights and items' costs.

For: gateways whose requests wait for a place. Start-time fair queueing; owns the waiting items and
a tag for each caller. Reads no clock: its time is the work that was served.
"""

import math
from collections import OrderedDict
from typing import Generic, TypeVar

from merlinstand.common.removable_heap import RemovableHeap

Item = TypeVar("Item")


class Flow(Generic[Item]):
    """One caller's waiting items."""

    __slots__ = ("costs", "finish_tag", "is_returning", "items", "queued_cost", "weight")

    def __init__(self, weight: float, finish_tag: float) -> None:
        """Start without items."""
        self.weight = weight
        self.finish_tag = finish_tag
        """Virtual time at which everything queued so far would be served."""
        self.is_returning = False
        """Its first item goes before all backlogs: nothing of it was served for a round."""
        self.queued_cost = 0.0
        self.items: OrderedDict[int, Item] = OrderedDict()
        self.costs: dict[int, float] = {}


class FairQueue(Generic[Item]):
    """Items by number, served so that each caller gets a share of cost by its weight.

    An item's tag is the virtual time at which its caller's earlier items would be done; the
    lowest tag goes first. A caller that was idle starts at the current virtual time, so it
    neither saves up credit nor waits behind another's backlog. Its first item goes even before
    the one that each backlog has at that time ("new flows first", RFC 8290); it is charged like
    any other, so sending one at a time gains a place in the round and no more rounds.
    """

    def __init__(self, maximum: int, maximum_per_caller: int) -> None:
        """Make an empty queue.

        Args:
            maximum: Most items in all.
            maximum_per_caller: Most items of one caller.
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

        Args:
            number: Unique number of the item.
            item: What waits.
            caller: Whose it is.
            weight: The caller's share against others.
            cost: Work it asks for.

        Returns:
            Whether it was taken in, and the item put out for it, if any: when the queue is
            full, the caller with the most waiting work loses its newest item to one with less.
        """
        flow = self._flows.get(caller)
        if flow is not None and len(flow.items) >= self._maximum_per_caller:
            return False, None
        evicted: Item | None = None
        if len(self._callers) >= self._maximum:
            own_work = 0.0 if flow is None else _work(flow)
            victim = max(self._flows.values(), key=_work)
            if _work(victim) <= own_work + cost / weight:
                return False, None
            evicted = self._evict_newest(victim)
        self._append(number, item, caller, weight, cost)
        return True, evicted

    def _append(self, number: int, item: Item, caller: str, weight: float, cost: float) -> None:
        """Put an item behind its caller's others, at the tag that the queue's rule gives it."""
        flow = self._flows.get(caller)
        if flow is None:
            flow = Flow(weight, self._virtual_time)
            self._flows[caller] = flow
        flow.weight = weight
        start_tag = max(self._virtual_time, flow.finish_tag)
        order_tag = start_tag
        if flow.finish_tag <= self._virtual_time and not flow.items:
            flow.is_returning = True
            order_tag = math.nextafter(self._virtual_time, -math.inf)
        flow.finish_tag = start_tag + cost / weight
        flow.items[number] = item
        flow.costs[number] = cost
        flow.queued_cost += cost
        self.queued_cost += cost
        self._callers[number] = caller
        self._order.put(number, order_tag)

    def peek(self) -> Item | None:
        """Return the next item without taking it out; None if empty."""
        head = self._order.first()
        if head is None:
            return None
        number = head[1]
        return self._flows[self._callers[number]].items[number]

    def pop(self) -> Item | None:
        """Take the next item out; None if empty."""
        head = self._order.pop()
        if head is None:
            return None
        start_tag, number = head
        self._virtual_time = max(self._virtual_time, start_tag)
        return self._take_out(number)

    def remove(self, number: int) -> Item | None:
        """Take an item out before its turn; None if it does not wait."""
        if not self._order.remove(number):
            return None
        flow = self._flows[self._callers[number]]
        if number == next(reversed(flow.items)):
            # Not served, so not charged. Behind an older item the tags of later ones stand.
            flow.finish_tag -= flow.costs[number] / flow.weight
        return self._take_out(number)

    def cost_ahead(self, caller: str, weight: float) -> float:
        """Return the cost served before a new item of this caller would be."""
        flow = self._flows.get(caller)
        if flow is None or flow.finish_tag <= self._virtual_time:
            # It returns: only others that do so go first.
            return sum(_first_cost(other) for other in self._flows.values() if other.is_returning)
        if not flow.items:
            # Served within one round: at most one item of each other caller comes first.
            return min(self.queued_cost, sum(_first_cost(other) for other in self._flows.values()))
        weights = sum(other.weight for other in self._flows.values())
        return min(self.queued_cost, flow.queued_cost * weights / weight)

    def _take_out(self, number: int) -> Item:
        caller = self._callers.pop(number)
        flow = self._flows[caller]
        item = flow.items.pop(number)
        cost = flow.costs.pop(number)
        flow.is_returning = False
        flow.queued_cost -= cost
        self.queued_cost -= cost
        if not flow.items:
            # Kept only while it is ahead of virtual time; otherwise a new one is the same.
            self._forget_idle(caller, flow)
        return item

    def _forget_idle(self, caller: str, flow: Flow[Item]) -> None:
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


def _work(flow: "Flow[Item]") -> float:
    """Return a caller's waiting cost against its share."""
    return flow.queued_cost / flow.weight


def _first_cost(flow: "Flow[Item]") -> float:
    return next(iter(flow.costs.values()), 0.0)
