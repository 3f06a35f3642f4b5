"""Sums a run up: times by kind of fault, and what speaks against it."""

import msgspec

from merlinstand_lab.failover.trial import FaultKind, TrialResult
from merlinstand_lab.quantiles import quantile

SHOWN_COMMANDS = 5
_ROW = "{:8} {:>5} {:>7} {:>7} {:>7} {:>7} {:>10}"


class KindSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Times of one kind of fault, in seconds."""

    kind: FaultKind
    count: int
    shortest_seconds: float | None
    median_seconds: float | None
    percentile_90_seconds: float | None
    longest_seconds: float | None
    over_bound: int
    """Failovers that took longer than the bound, or never ended."""


def summarize(result: TrialResult) -> tuple[KindSummary, ...]:
    """Return one summary a kind."""
    return tuple(_summarize(result, kind) for kind in result.plan.kinds)


def render(result: TrialResult) -> list[str]:
    """Return the lines of the table."""
    lines = [_ROW.format("fault", "count", "min s", "p50 s", "p90 s", "max s", "over bound")]
    for one in summarize(result):
        times = (
            one.shortest_seconds,
            one.median_seconds,
            one.percentile_90_seconds,
            one.longest_seconds,
        )
        shown = ["-" if value is None else f"{value:.3f}" for value in times]
        lines.append(_ROW.format(one.kind.value, one.count, *shown, one.over_bound))
    found = result.audit
    lines.append(
        f"writes: {found.accepted} accepted, {found.repeated} of them sent twice, "
        f"{found.unresolved} unresolved, {len(found.lost)} lost, "
        f"{len(found.applied_twice)} applied twice, {len(found.unknown)} from nowhere"
    )
    for name in ("lost", "applied_twice", "unknown"):
        lines += [f"  {name}: {command}" for command in getattr(found, name)[:SHOWN_COMMANDS]]
    return lines


def passed(result: TrialResult) -> bool:
    """Tell whether every failover was in time and no accepted write was lost or doubled."""
    in_time = all(one.over_bound == 0 for one in summarize(result))
    return in_time and result.audit.accepted > 0 and result.audit.passed


def _summarize(result: TrialResult, kind: FaultKind) -> KindSummary:
    of_kind = [one for one in result.failovers if one.kind is kind]
    times = sorted(one.seconds for one in of_kind if one.seconds is not None)
    in_time = sum(1 for seconds in times if seconds <= result.plan.bound_seconds)
    return KindSummary(
        kind=kind,
        count=len(of_kind),
        shortest_seconds=times[0] if times else None,
        median_seconds=quantile(times, 0.5),
        percentile_90_seconds=quantile(times, 0.9),
        longest_seconds=times[-1] if times else None,
        over_bound=len(of_kind) - in_time,
    )
