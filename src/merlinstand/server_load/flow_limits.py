"""Admission limits of flows while callers ask for more than the backends of a service can serve.

A flow is the demand of one tenant at one priority rank. More urgent ranks are served first, and
less urgent ones get what is left and at least a small floor, so that none starves. Within a rank
the tenants get equal rates by weight, up to their demand (weighted max-min fairness).
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from merlinstand.server_load.reports import FlowLimit

FLOOR_SHARE = 0.02
"""Fraction of the capacity reserved for all ranks but the first."""
MAXIMUM_NAMED_FLOWS = 64
"""Flows with limits of their own, those with the highest rates; the others of a rank share one
limit."""
_TARGET_PRESSURE = 2.0
"""Target number of requests at the backends for each slot under full load: no slot is idle, and a
request waits for about as long as it runs."""
REPORTED_OVERLOAD_THRESHOLD = 5.0
COUNTED_OVERLOAD_THRESHOLD = 9.0
"""Limits start where demand times pressure reaches this: the longer the queues and the higher the
demand, the more certain it is that queues only grow. Momentary queues stay below it while the
backends can serve the demand. The first threshold applies where backends report their load, the
second, later one where the load is known by gateways' counts only."""
MINIMUM_OVERLOAD_PRESSURE = 1.2
"""Below this pressure hardly any request waits, whatever the demand seems to be: nothing is
limited."""
OVERLOAD_START_DEMAND = 0.9
"""Below this demand a queue is momentary, or belongs to an unresponsive backend."""
OVERLOAD_END_DEMAND = 0.8
"""Limits stay in force until the demand is below this."""
_CORRECTION_GAIN = 0.15
"""Change of the capacity for each unit of pressure; small because queues are known with a delay."""
MINIMUM_CORRECTION = 0.5
MAXIMUM_CORRECTION = 1.15
"""Bounds of the factor that corrects the estimated capacity."""


class FlowDemand(msgspec.Struct, frozen=True):
    """Demand of one tenant at one rank."""

    rank: int
    """0 is the most urgent."""
    tenant: str
    """Empty for requests without one."""
    per_second: float
    weight: float = 1.0
    """Its weight against other tenants of the rank, above 0."""


class _Admitted(msgspec.Struct, frozen=True):
    flow: FlowDemand
    share: float


def capacity_correction(pressure: float) -> float:
    """Return the factor that corrects the estimated capacity under overload.

    Args:
        pressure: Requests at the backends of a service for each slot, weighted by what each backend
            can serve.

    Returns:
        Below 1 where requests pile up, above 1 where slots are idle.
    """
    factor = 1.0 + _CORRECTION_GAIN * (_TARGET_PRESSURE - pressure)
    return min(MAXIMUM_CORRECTION, max(MINIMUM_CORRECTION, factor))


def is_overloaded(
    demand: float, pressure: float, was_overloaded: bool, is_self_reported: bool
) -> bool:
    """Return whether callers ask for more than the backends can serve.

    Args:
        demand: Arrivals relative to the estimated capacity.
        pressure: Requests at the backends for each slot, weighted by what each backend can serve.
        was_overloaded: The previous result. An overload ends only below `OVERLOAD_END_DEMAND` or
            `MINIMUM_OVERLOAD_PRESSURE`.
        is_self_reported: Whether the backends report their load themselves.
    """
    if pressure < MINIMUM_OVERLOAD_PRESSURE:
        # Backends with few recent responses look slow, but an arriving request finds a free slot.
        return False
    if was_overloaded:
        return demand >= OVERLOAD_END_DEMAND
    threshold = REPORTED_OVERLOAD_THRESHOLD if is_self_reported else COUNTED_OVERLOAD_THRESHOLD
    return demand >= OVERLOAD_START_DEMAND and demand * pressure >= threshold


def flow_limits(capacity_per_second: float, flows: Sequence[FlowDemand]) -> tuple[FlowLimit, ...]:
    """Return the limits of the flows that cannot be admitted completely.

    Args:
        capacity_per_second: Requests that can be served in time.
        flows: All flows with arrivals, each rank and tenant once.
    """
    by_rank: dict[int, list[FlowDemand]] = {}
    for flow in flows:
        if flow.per_second > 0.0:
            by_rank.setdefault(flow.rank, []).append(flow)
    arrivals = {rank: sum(f.per_second for f in by_rank[rank]) for rank in sorted(by_rank)}
    if sum(arrivals.values()) <= capacity_per_second:
        return ()
    granted = _split_ranks(capacity_per_second, arrivals)
    limited: list[list[_Admitted]] = []
    for rank, per_second in granted.items():
        if per_second < arrivals[rank]:
            limited.append(_split_rank(per_second, by_rank[rank]))
    return _to_limits(limited)


def _split_ranks(capacity: float, arrivals: Mapping[int, float]) -> dict[int, float]:
    """Split the capacity over ranks, given in order of urgency."""
    floor = FLOOR_SHARE * capacity / max(1, len(arrivals) - 1)
    reserved = {rank: min(per_second, floor) for rank, per_second in arrivals.items()}
    remaining = capacity - sum(reserved.values())
    granted: dict[int, float] = {}
    previous_share = 1.0
    for rank, per_second in arrivals.items():
        extra = min(remaining, per_second - reserved[rank])
        remaining -= extra
        # A rank's share is never above that of the more urgent ones.
        granted[rank] = min(reserved[rank] + extra, previous_share * per_second)
        previous_share = granted[rank] / per_second
    return granted


def _split_rank(per_second: float, flows: Iterable[FlowDemand]) -> list[_Admitted]:
    """Split a rank's rate over its tenants, smallest demand by weight first."""
    ordered = sorted(flows, key=lambda flow: flow.per_second / flow.weight)
    weights = sum(flow.weight for flow in ordered)
    remaining = per_second
    admitted: list[_Admitted] = []
    for flow in ordered:
        granted = min(flow.per_second, remaining * flow.weight / weights)
        remaining -= granted
        weights -= flow.weight
        admitted.append(_Admitted(flow, granted / flow.per_second))
    return admitted


def _to_limits(limited: Sequence[Sequence[_Admitted]]) -> tuple[FlowLimit, ...]:
    """Build the limits: one for each of the largest flows, and one for the others of each rank.

    Where a rank has a limit for the others, its flows that fit completely are listed as well.
    """
    all_admitted = [admitted for rank in limited for admitted in rank]
    all_admitted.sort(key=lambda admitted: admitted.flow.per_second, reverse=True)
    named = {id(admitted) for admitted in all_admitted[:MAXIMUM_NAMED_FLOWS]}
    limits: list[FlowLimit] = []
    for rank in limited:
        remainder = [a for a in rank if id(a) not in named or not a.flow.tenant]
        limits.extend(_remainder_limit(remainder))
        for admitted in rank:
            is_named = id(admitted) in named and admitted.flow.tenant
            if is_named and (remainder or admitted.share < 1.0):
                flow = admitted.flow
                limits.append(FlowLimit(flow.rank, flow.tenant, admitted.share))
    return tuple(limits)


def _remainder_limit(remainder: Sequence[_Admitted]) -> list[FlowLimit]:
    """Return one common limit for some flows of a rank."""
    arrivals = sum(admitted.flow.per_second for admitted in remainder)
    granted = sum(admitted.flow.per_second * admitted.share for admitted in remainder)
    return [FlowLimit(remainder[0].flow.rank, "", granted / arrivals)] if remainder else []
