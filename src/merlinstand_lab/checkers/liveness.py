"""After the last fault healed, everything works again within a bound, without an operator."""

from merlinstand_lab.checkers.intervals import pause_periods
from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import (
    CallerOutcome,
    CallerRecord,
    RunRecord,
    StepRecord,
    StopRecord,
)
from merlinstand_lab.records.record_set import RecordSet

_STOP_MARGIN_SECONDS = 10.0
"""A gateway that was stopped and started again may refuse connections this long."""


def check_liveness(records: RecordSet, limits: CheckLimits) -> PromiseResult:
    """Check that trainers get batches and callers get answers again."""
    run = records.run
    if run is None:
        violations = [Violation("run", "did not come to its end")]
        return _result(0, violations)
    healed_at = max((fault.healed_at or run.ended_at for fault in records.faults), default=None)
    violations = []
    checked = 0
    for consumer in run.consumers:
        checked += 1
        fault = _consumer_fault(records, run, consumer, healed_at, limits)
        if fault is not None:
            violations.append(Violation(consumer, fault))
    calm_since = run.started_at if healed_at is None else healed_at + limits.liveness_seconds
    answered = _answered_keys(records.callers)
    for record in records.callers:
        if record.sent_at < calm_since or _at_stopped_gateway(record, records.stops):
            continue
        checked += 1
        # A twin sent while its booking is in flight is told `unknown`: the key is answered.
        if not record.repeatable and record.idempotency_key in answered:
            continue
        if record.outcome in (CallerOutcome.UNKNOWN, CallerOutcome.ERROR):
            detail = f"{record.outcome.value} in calm times: {record.reason}"
            violations.append(Violation(record.request_id, detail))
    return _result(checked, violations)


def _answered_keys(callers: list[CallerRecord]) -> set[str]:
    """Idempotency keys of not repeatable requests that got an answer."""
    return {
        record.idempotency_key
        for record in callers
        if record.idempotency_key
        and not record.repeatable
        and record.outcome is CallerOutcome.ANSWER
    }


def _result(checked: int, violations: list[Violation]) -> PromiseResult:
    """Build the result."""
    return PromiseResult(
        name="works-again",
        promise="After the last fault everything works again, and nothing needs a human.",
        checked=checked,
        unit="trainers and requests",
        violations=violations,
    )


def _consumer_fault(
    records: RecordSet,
    run: RunRecord,
    consumer: str,
    healed_at: float | None,
    limits: CheckLimits,
) -> str | None:
    """Return why a trainer is not served, or None."""
    steps = [step for step in records.steps if step.consumer == consumer]
    if len(steps) < run.minimum_steps:
        return f"made {len(steps)} of {run.minimum_steps} steps"
    if healed_at is None:
        return None
    due_at = _due_at(records, steps, healed_at, limits)
    after = [step.received_at for step in steps if step.received_at > healed_at]
    if due_at < run.ended_at and not any(time <= due_at for time in after):
        return f"got no batch within {limits.liveness_seconds:g} s after the last fault healed"
    return None


def _due_at(
    records: RecordSet, steps: list[StepRecord], healed_at: float, limits: CheckLimits
) -> float:
    """When the next batch is due; not while its job is paused or a mirror of the scripts."""
    jobs = {step.job for step in steps}
    due_at = healed_at + limits.liveness_seconds
    for period in sorted(pause_periods(records), key=lambda one: one.since):
        if period.job in jobs and period.since <= due_at and healed_at <= period.until:
            due_at = max(due_at, period.until + limits.liveness_seconds)
    return due_at


def _at_stopped_gateway(record: CallerRecord, stops: list[StopRecord]) -> bool:
    """Whether a request went to a gateway that was being stopped or started again."""
    return any(
        record.gateway == stop.http_address
        and stop.requested_at <= record.ended_at
        and record.sent_at <= stop.ended_at + _STOP_MARGIN_SECONDS
        for stop in stops
    )
