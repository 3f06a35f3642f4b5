"""How many requests wait at a server with several slots, by the part of its slots that works.

Sakasegawa, "An approximation formula L_q = alpha * rho ** beta / (1 - rho)" (1977), for requests
that come at random: with c slots and the load rho, `rho ** sqrt(2 * (c + 1)) / (1 - rho)` times
half of one plus the variance of their times wait. Pure.
"""

import bisect
import functools
import math

MAXIMUM_LOAD = 0.97
"""The formula is used below this load; it has no bound at 1."""
TIME_VARIANCE = 0.25
"""Variance of one request's time against the square of its mean."""
GRID_STEPS = 64
"""Loads in a table, from 0 to `LARGEST_LOAD`."""


def mean_queue_length(slots: int, load: float) -> float:
    """Requests that wait at a load below 1."""
    exponent = math.sqrt(2.0 * (slots + 1))
    return 0.5 * (1.0 + TIME_VARIANCE) * load**exponent / (1.0 - load)


def marginal_cost(slots: int, load: float) -> float:
    """Give by how much one more request lengthens the times of all, as a multiple of its own time.

    The derivative of the number of requests at a server by its load, divided by its slots.
    """
    exponent = math.sqrt(2.0 * (slots + 1))
    idle = 1.0 - load
    slope = load ** (exponent - 1.0) * (exponent * idle + load) / idle**2
    return 1.0 + 0.5 * (1.0 + TIME_VARIANCE) * slope / slots


def busy_slots(in_flight: float, slots: int) -> float:
    """Give the mean number of slots at work.

    It is less than `in_flight` and less than `slots`: requests wait at one moment, slots are idle
    at another.

    Args:
        in_flight: Mean number of requests at the server.
        slots: Its slots, at least 1.
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
    """Requests at a server on the grid of loads; rises from 0."""
    loads = [MAXIMUM_LOAD * step / GRID_STEPS for step in range(GRID_STEPS + 1)]
    return tuple(slots * load + mean_queue_length(slots, load) for load in loads)
