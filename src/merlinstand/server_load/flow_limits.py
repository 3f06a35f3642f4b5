"""Admission limits of flows while callers ask for more than the backends of a service can serve.

A flow is the demand of one tenant at one priority rank. More urgent ranks are served first. Less
urgent ranks get the remaining capacity, but at least a small floor, so that none starves. Within a
rank the tenants get rates in proportion to their weights, up to their demand (weighted max-min
fairness).
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from merlinstand.server_load.reports import FlowLimit

FLOOR_SHARE = 0.02
"""Fraction of the capacity that is reserved for all ranks but the most urgent, together."""
MAXIMUM_NAMED_FLOWS = 64
"""Maximum number of flows with individual limits, which are those with the highest rates. All other
flows of a rank share one limit."""
_TARGET_PRESSURE = 2.0
"""Target number of requests in flight per slot under full load: no slot is idle, and a request
waits for about as long as it runs."""
REPORTED_OVERLOAD_THRESHOLD = 5.0
COUNTED_OVERLOAD_THRESHOLD = 9.0
"""Flows are limited once demand times pressure reaches the threshold: the longer the queues and the
higher the demand, the more certain it is that queues only grow. Momentary queues stay below the
threshold while the backends can serve the demand. The first threshold applies where backends report
their load; the second, higher one where the load is known only from the gateways' counts."""
MINIMUM_OVERLOAD_PRESSURE = 1.2
"""Below this pressure no flow is limited, whatever the estimated demand, since hardly any request
waits."""
OVERLOAD_START_DEMAND = 0.9
"""Below this demand limits do not start, since any queue is then momentary or belongs to an
unresponsive backend."""
OVERLOAD_END_DEMAND = 0.8
"""Limits stay in force until the demand is below this."""
_CORRECTION_GAIN = 0.15
"""Relative change of the assumed capacity per unit of pressure; small because queues are known only
with a delay."""
MINIMUM_CORRECTION = 0.5
MAXIMUM_CORRECTION = 1.15
"""Bounds of the factor that corrects the estimated capacity."""


class FlowDemand(msgspec.Struct, frozen=True):
    """Demand of one tenant at one rank."""

    rank: int
    """0 is the most urgent."""
    tenant: str
    """Empty for requests without a tenant."""
    per_second: float
    weight: float = 1.0
    """The tenant's weight against other tenants of the rank, above 0."""


class _Admitted(msgspec.Struct, frozen=True):
    flow: FlowDemand
    share: float


def capacity_correction(pressure: float) -> float:
    """Return the factor that corrects the estimated capacity under overload.

    Args:
        pressure: Requests in flight per slot of the service's backends, weighted by the backends'
            capacity.

    Returns:
        Below 1 if requests pile up, above 1 if slots are idle.
    """
    factor = 1.0 + _CORRECTION_GAIN * (_TARGET_PRESSURE - pressure)
    return min(MAXIMUM_CORRECTION, max(MINIMUM_CORRECTION, factor))


def is_overloaded(
    demand: float, pressure: float, was_overloaded: bool, is_self_reported: bool
) -> bool:
    """Return whether callers ask for more than the backends can serve.

    Args:
        demand: Arrivals relative to the estimated capacity.
        pressure: Requests in flight per slot of the service's backends, weighted by the backends'
            capacity.
        was_overloaded: The previous result. An overload ends only below `OVERLOAD_END_DEMAND` or
            `MINIMUM_OVERLOAD_PRESSURE`.
        is_self_reported: Whether the backends report their load themselves.
    """
    if pressure < MINIMUM_OVERLOAD_PRESSURE:
        # Even if backends look slow because of few recent responses, new requests find free slots.
        return False
    if was_overloaded:
        return demand >= OVERLOAD_END_DEMAND
    threshold = REPORTED_OVERLOAD_THRESHOLD if is_self_reported else COUNTED_OVERLOAD_THRESHOLD
    return demand >= OVERLOAD_START_DEMAND and demand * pressure >= threshold


def flow_limits(capacity_per_second: float, flows: Sequence[FlowDemand]) -> tuple[FlowLimit, ...]:
    """Return the limits of the flows that cannot be admitted completely.

    Args:
        capacity_per_second: Rate of requests that can be served in time.
        flows: All flows with arrivals; each pair of rank and tenant occurs once.
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
        # A rank's share is never above that of a more urgent rank.
        granted[rank] = min(reserved[rank] + extra, previous_share * per_second)
        previous_share = granted[rank] / per_second
    return granted


def _split_rank(per_second: float, flows: Iterable[FlowDemand]) -> list[_Admitted]:
    """Split a rank's rate over its tenants, the smallest demand relative to its weight first."""
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
    """Build the limits: one for each of the largest flows, and per rank one for all other flows.

    If a rank has a limit for its other flows, its large flows that fit completely are listed as
    well, since that limit would otherwise apply to them.
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
