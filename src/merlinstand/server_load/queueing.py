"""Mean queue length at a backend with several slots, by load (the fraction of its slots in use).

Sakasegawa, "An approximation formula L_q = alpha * rho ** beta / (1 - rho)" (1977), for Poisson
arrivals: with c slots and the load rho, the mean queue length is `rho ** sqrt(2 * (c + 1)) / (1 -
rho)`, times half of one plus the relative variance of service times.
"""

import bisect
import functools
import math

MAXIMUM_LOAD = 0.97
"""The formula is used only below this load, since it diverges at a load of 1."""
TIME_VARIANCE = 0.25
"""Variance of the service time divided by the square of its mean."""
GRID_STEPS = 64
"""Number of steps in tables over the loads from 0 to `MAXIMUM_LOAD`."""


def mean_queue_length(slots: int, load: float) -> float:
    """Return the mean number of waiting requests at a load below 1."""
    exponent = math.sqrt(2.0 * (slots + 1))
    return 0.5 * (1.0 + TIME_VARIANCE) * load**exponent / (1.0 - load)


def marginal_cost(slots: int, load: float) -> float:
    """Return the time that one more request adds to all requests, in multiples of a service time.

    This is the derivative of the number of requests at a backend with respect to its load, divided
    by the number of its slots.
    """
    exponent = math.sqrt(2.0 * (slots + 1))
    idle = 1.0 - load
    slope = load ** (exponent - 1.0) * (exponent * idle + load) / idle**2
    return 1.0 + 0.5 * (1.0 + TIME_VARIANCE) * slope / slots


def busy_slots(in_flight: float, slots: int) -> float:
    """Return the mean number of busy slots.

    The mean is below `in_flight` and below `slots`, because at some moments requests wait and at
    others slots are idle.

    Args:
        in_flight: Mean number of requests at the backend.
        slots: Number of the backend's slots, at least 1.
    """
    table = _in_flight_table(slots)
    above = bisect.bisect_right(table, in_flight)
    if above == len(table):
        idle = (1.0 - MAXIMUM_LOAD) * table[-1] / in_flight
        return slots * (1.0 - idle)
    below, beyond = table[above - 1], table[above]
    step = above - 1 + (in_flight - below) / (beyond - below)
    return slots * MAXIMUM_LOAD * step / GRID_STEPS


@functools.lru_cache(maxsize=64)
def _in_flight_table(slots: int) -> tuple[float, ...]:
    """Return the mean number of requests at each load of the grid, in rising order from 0."""
    loads = [MAXIMUM_LOAD * step / GRID_STEPS for step in range(GRID_STEPS + 1)]
    return tuple(slots * load + mean_queue_length(slots, load) for load in loads)
