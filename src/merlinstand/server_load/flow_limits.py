"""Which share of each flow's requests fits, where callers ask for more than servers can do.

A flow is what one tenant asks for at one rank. Ranks come in order: what the more urgent ones leave
is there for the others, but for a small floor, so that nobody starves for ever. Within a rank the
tenants get equal rates, as far as they ask for them (max-min fairness, by their weights). Pure.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from merlinstand.server_load.reports import FlowLimit

FLOOR_SHARE = 0.02
"""Part of the capacity that is kept for all ranks but the first."""
MAXIMUM_NAMED_FLOWS = 64
"""Flows named, those that ask for most; the rest of a rank has one limit together."""
_TARGET_PRESSURE = 2.0
"""Requests at the servers against their slots that a full service is to have: no slot is idle, and
a request waits for about as long as one takes."""
REPORTED_OVERLOAD_THRESHOLD = 5.0
COUNTED_OVERLOAD_THRESHOLD = 9.0
"""Limits begin where demand times pressure reaches this: the longer the queues, and the more is
asked for, the surer it is that they only grow. Queues of a moment stay below it while the servers
can do what is asked for. The first bound holds where servers tell their load themselves, the second
one where it is known by gateways' counts only, and later."""
MINIMUM_OVERLOAD_PRESSURE = 1.2
"""Below it hardly anybody waits, however much seems to be asked for: nothing is limited."""
OVERLOAD_START_DEMAND = 0.9
"""At less demand than this a queue is one of a moment, or of a server that doesn't answer."""
OVERLOAD_END_DEMAND = 0.8
"""Flows that are limited stay so until the demand is below this."""
_CORRECTION_GAIN = 0.15
"""Change of the capacity for each unit of pressure; small, since queues are known late."""
MINIMUM_CORRECTION = 0.5
MAXIMUM_CORRECTION = 1.15
"""Factors between which the estimated capacity is corrected."""


class FlowDemand(msgspec.Struct, frozen=True):
    """What one tenant asks for at one rank."""

    rank: int
    """0 is the most urgent."""
    tenant: str
    """Empty for requests without one."""
    per_second: float
    weight: float = 1.0
    """Its part of the rate against other tenants of the rank, above 0."""


class _Admitted(msgspec.Struct, frozen=True):
    flow: FlowDemand
    share: float


def capacity_correction(pressure: float) -> float:
    """Correct the estimated capacity by what is at the servers while it is used up.

    Args:
        pressure: Requests at the servers of a service against their slots, weighted by what each
            can do.

    Returns:
        A factor: below 1 where requests pile up, above where slots are idle.
    """
    factor = 1.0 + _CORRECTION_GAIN * (_TARGET_PRESSURE - pressure)
    return min(MAXIMUM_CORRECTION, max(MINIMUM_CORRECTION, factor))


def is_overloaded(
    demand: float, pressure: float, was_overloaded: bool, is_self_reported: bool
) -> bool:
    """Whether callers ask for more than servers can do.

    Args:
        demand: What they ask for against the estimated capacity.
        pressure: Requests at the servers against their slots, weighted by what each can do.
        was_beyond: Whether it was so just before: then it ends only below `ROOM_DEMAND` or
            `ROOM_PRESSURE`.
        is_told: Whether the servers tell their load themselves.
    """
    if pressure < MINIMUM_OVERLOAD_PRESSURE:
        # Servers that answered little lately seem slow, but whoever comes finds a slot.
        return False
    if was_overloaded:
        return demand >= OVERLOAD_END_DEMAND
    threshold = REPORTED_OVERLOAD_THRESHOLD if is_self_reported else COUNTED_OVERLOAD_THRESHOLD
    return demand >= OVERLOAD_START_DEMAND and demand * pressure >= threshold


def flow_limits(capacity_per_second: float, flows: Sequence[FlowDemand]) -> tuple[FlowLimit, ...]:
    """Give the flows of which not all fits.

    Args:
        capacity_per_second: Requests that can be served in time.
        flows: All that ask, each rank and tenant once.
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
    """Split the capacity over ranks, given in their order."""
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
    """Split a rank's rate over its tenants: those that ask for least by weight come first."""
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
    """Write the limits of ranks: the flows that ask for most by name, the rest of each rank as one.

    Where a rank has a limit for the rest, its flows that fit whole are named as well.
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
    """One limit for some flows of a rank together."""
    arrivals = sum(admitted.flow.per_second for admitted in remainder)
    granted = sum(admitted.flow.per_second * admitted.share for admitted in remainder)
    return [FlowLimit(remainder[0].flow.rank, "", granted / arrivals)] if remainder else []
