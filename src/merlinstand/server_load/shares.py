"""How a demand is split over servers of different speed, so that the mean time is least.

The expected time at a server follows from its speed and how many wait there (`queueing`). The mean
over all requests is least where one more request a second costs the same at each server in use, and
no less at the others. What waits at a server already is worked off first: its share is less by
that. Where servers can't do both, the split is such that all their queues take equally long. Pure.
"""

import bisect
import functools
import math
from collections.abc import Sequence

import msgspec

from merlinstand.server_load.queueing import GRID_STEPS, MAXIMUM_LOAD, marginal_cost

MINIMUM_SHARE = 0.02
"""Every server gets this much, so that it goes on being measured."""
MINIMUM_EVEN_SHARE_FRACTION = 0.25
"""Among many servers the least is this part of an even share instead."""
DRAIN_SECONDS = 0.2
"""Time in which a queue is to be worked off: longer than a queue takes to be known."""
MINIMUM_LOAD = 0.7
"""The demand is split as if it were at least this part of the capacity: a crowd that begins would
otherwise all go to the server that happens to look fastest."""
_BISECTION_STEPS = 24
"""Halvings of the interval, by ratio, in which the marginal cost lies."""


class ServerSpeed(msgspec.Struct, frozen=True):
    """What one server can do."""

    slots: int
    """Requests at once, at least 1."""
    service_seconds: float
    """Time that a request takes once it runs, above 0."""
    queued: float = 0.0
    """Requests that wait there now."""

    @property
    def per_second(self) -> float:
        """Requests that it can do in a second."""
        return self.slots / self.service_seconds

    @property
    def queue_seconds(self) -> float:
        """How long it needs for its queue."""
        return self.queued / self.per_second

    def rate_after_drain(self, per_second: float) -> float:
        """Take off a rate what works its queue off."""
        return max(0.0, per_second - self.queued / DRAIN_SECONDS)


def split_demand(demand_per_second: float, speeds: Sequence[ServerSpeed]) -> tuple[float, ...]:
    """Split a demand.

    Args:
        demand_per_second: Requests that come; they may be more than the servers can do.
        speeds: Of each server.

    Returns:
        The share of each server in their order; they add up to 1.
    """
    if not speeds:
        return ()
    demand_per_second = max(demand_per_second, MINIMUM_LOAD * _capacity(speeds))
    maximum_per_second = sum(
        speed.rate_after_drain(MAXIMUM_LOAD * speed.per_second) for speed in speeds
    )
    if demand_per_second >= maximum_per_second:
        return _with_minimum_shares(_equal_queue_rates(demand_per_second, speeds))
    low = min(speed.service_seconds for speed in speeds)
    high = max(speed.service_seconds * _marginal_costs(speed.slots)[-1] for speed in speeds)
    for _step in range(_BISECTION_STEPS):
        cost = math.sqrt(low * high)
        if sum(_rate_at(speed, cost) for speed in speeds) < demand_per_second:
            low = cost
        else:
            high = cost
    return _with_minimum_shares([_rate_at(speed, high) for speed in speeds])


def _capacity(speeds: Sequence[ServerSpeed]) -> float:
    return sum(speed.per_second for speed in speeds)


def _equal_queue_rates(demand_per_second: float, speeds: Sequence[ServerSpeed]) -> list[float]:
    """Split a demand so that all servers that get any of it need the same time for their queues."""
    work = demand_per_second * DRAIN_SECONDS
    per_second = 0.0
    for speed in sorted(speeds, key=lambda one: one.queue_seconds):
        if per_second and work / per_second <= speed.queue_seconds:
            break
        work += speed.queued
        per_second += speed.per_second
    queue_seconds = work / per_second
    return [max(0.0, queue_seconds * speed.per_second - speed.queued) for speed in speeds]


def _rate_at(speed: ServerSpeed, cost: float) -> float:
    """Requests a second at which one more costs this much time at a server."""
    costs = _marginal_costs(speed.slots)
    relative = cost / speed.service_seconds
    above = bisect.bisect_right(costs, relative)
    if above == 0:
        return 0.0
    if above == len(costs):
        return speed.rate_after_drain(MAXIMUM_LOAD * speed.per_second)
    below, beyond = costs[above - 1], costs[above]
    step = above - 1 + (relative - below) / (beyond - below)
    return speed.rate_after_drain(MAXIMUM_LOAD * step / GRID_STEPS * speed.per_second)


@functools.lru_cache(maxsize=64)
def _marginal_costs(slots: int) -> tuple[float, ...]:
    """What one more request costs in requests' times, on a grid of loads; it rises."""
    loads = (MAXIMUM_LOAD * step / GRID_STEPS for step in range(GRID_STEPS + 1))
    return tuple(marginal_cost(slots, load) for load in loads)


def _with_minimum_shares(rates: Sequence[float]) -> tuple[float, ...]:
    total = sum(rates)
    if total <= 0.0:
        return tuple(1.0 / len(rates) for _rate in rates)
    minimum = min(MINIMUM_SHARE, MINIMUM_EVEN_SHARE_FRACTION / len(rates))
    raised = [max(minimum, rate / total) for rate in rates]
    return tuple(share / sum(raised) for share in raised)
