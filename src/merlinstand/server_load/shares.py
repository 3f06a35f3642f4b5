"""Splits a demand over backends of different speeds so that the mean response time is minimal.

The expected response time at a backend follows from its speed and its queue (`queueing`). The mean
over all requests is minimal if one more request per second costs the same at each backend in use,
and no less at each unused backend. Requests that already wait at a backend are worked off first,
which reduces the backend's share. If the backends can't serve the demand and work off their queues,
the split makes all queues take equally long.
"""

import bisect
import functools
import math
from collections.abc import Sequence

import msgspec

from merlinstand.server_load.queueing import GRID_STEPS, MAXIMUM_LOAD, marginal_cost

MINIMUM_SHARE = 0.02
"""Minimum share of each backend, so that the estimates of all backends stay current."""
MINIMUM_EVEN_SHARE_FRACTION = 0.25
"""With many backends, the minimum share is this fraction of an even share instead, if smaller."""
DRAIN_SECONDS = 0.2
"""Target time for working off a queue; longer than the delay after which a queue is known."""
MINIMUM_LOAD = 0.7
"""A lower demand is raised to this fraction of the capacity; otherwise a starting surge would all
go to the backend that happens to look fastest."""
_BISECTION_STEPS = 24
"""Number of halvings, on a logarithmic scale, of the interval that contains the marginal cost."""


class ServerSpeed(msgspec.Struct, frozen=True):
    """Speed of one backend."""

    slots: int
    """Number of requests that the backend runs at once, at least 1."""
    service_seconds: float
    """Time that a request takes once it runs, above 0."""
    queued: float = 0.0
    """Number of requests waiting at the backend now."""

    @property
    def per_second(self) -> float:
        """Number of requests that the backend can serve per second."""
        return self.slots / self.service_seconds

    @property
    def queue_seconds(self) -> float:
        """Time in which the backend works off its queue."""
        return self.queued / self.per_second

    def rate_after_drain(self, per_second: float) -> float:
        """Return a rate minus what working off the queue in `DRAIN_SECONDS` needs; at least 0."""
        return max(0.0, per_second - self.queued / DRAIN_SECONDS)


def split_demand(demand_per_second: float, speeds: Sequence[ServerSpeed]) -> tuple[float, ...]:
    """Split a demand over backends.

    Args:
        demand_per_second: Arrival rate; may exceed what the backends can serve.
        speeds: Speed of each backend.

    Returns:
        The share of each backend, in the order of `speeds`; the shares add up to 1.
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
    """Split a demand so that all backends in use need the same time for their queues."""
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
    """Return the request rate at which one more request costs this much time at a backend."""
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
    """Return the marginal cost at each load of the grid, in service times and in rising order."""
    loads = (MAXIMUM_LOAD * step / GRID_STEPS for step in range(GRID_STEPS + 1))
    return tuple(marginal_cost(slots, load) for load in loads)


def _with_minimum_shares(rates: Sequence[float]) -> tuple[float, ...]:
    total = sum(rates)
    if total <= 0.0:
        return tuple(1.0 / len(rates) for _rate in rates)
    minimum = min(MINIMUM_SHARE, MINIMUM_EVEN_SHARE_FRACTION / len(rates))
    raised = [max(minimum, rate / total) for rate in rates]
    return tuple(share / sum(raised) for share in raised)
