"""Promises about leaving back ends, planned stops and the configuration in force."""

from collections import defaultdict

from merlinstand_lab.checkers.intervals import (
    JOB_PREFIX,
    LeavingPeriod,
    PausePeriod,
    drain_periods,
    leaving_periods,
    pause_periods,
)
from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import (
    CallerOutcome,
    CallerRecord,
    FaultRecord,
    GenerationOutcome,
    GenerationRecord,
    StartRecord,
    StepRecord,
    StopRecord,
)
from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.standins.trainer_feed import trainer_of

_ABORT_SEEN_SECONDS = 1.0
"""An engine notices that its client went away within this."""
_CUT_OUTCOMES = (CallerOutcome.UNKNOWN, CallerOutcome.ERROR)


def check_leaving(records: RecordSet, limits: CheckLimits) -> PromiseResult:
    """Look for work begun by a back end well after it began to leave."""
    periods = leaving_periods(records)
    tested = _long_enough(records, periods, limits.leaving_seconds)
    return PromiseResult(
        name="leaving-gets-no-work",
        promise="A back end that is leaving receives no new work after a few seconds.",
        checked=len(tested),
        unit="departures",
        violations=_work_after(records, tested, limits.leaving_seconds),
    )


def _long_enough(
    records: RecordSet, periods: list[LeavingPeriod], grace_seconds: float
) -> list[LeavingPeriod]:
    """Periods that outlast the grace before they, or the run, end."""
    run_ended_at = records.run.ended_at if records.run else 0.0
    return [one for one in periods if min(one.until, run_ended_at) - one.since > grace_seconds]


def _work_after(
    records: RecordSet, periods: list[LeavingPeriod], grace_seconds: float
) -> list[Violation]:
    """Work begun in a period after its grace."""
    starts: dict[str, list[StartRecord]] = defaultdict(list)
    for start in records.starts:
        starts[start.backend_id].append(start)
    violations = []
    for period in periods:
        for start in starts[period.backend_id]:
            late = period.since + grace_seconds < start.started_at < period.until
            same_process = period.incarnation in (None, start.incarnation)
            if late and same_process:
                after = start.started_at - period.since
                detail = f"began {start.request_id} {after:.1f} s after leaving ({period.signal})"
                violations.append(Violation(period.backend_id, detail))
    return violations


def check_planned_stops(records: RecordSet) -> PromiseResult:
    """Look for requests cut off by a planned stop, and for stops that did not end well."""
    violations: list[Violation] = []
    checked = 0
    for stop in records.stops:
        checked += 1
        if stop.exit_code != 0:
            detail = f"planned stop ended with exit code {stop.exit_code}"
            violations.append(Violation(stop.node_id, detail))
        for record in records.callers:
            if not _in_flight_at_stop(record, stop):
                continue
            checked += 1
            disturbed = _disturbed(record.sent_at, record.ended_at, records.faults)
            if record.outcome in _CUT_OUTCOMES and not disturbed:
                detail = f"cut off by the planned stop of {stop.node_id}: {record.reason}"
                violations.append(Violation(record.request_id, detail))
        if stop.role == "coordinator":
            in_flight = _generations_at_stop(records, stop)
            checked += len(in_flight)
            violations += [
                Violation(one.request_id, f"abandoned at the planned stop of {stop.node_id}")
                for one in in_flight
                if one.outcome is GenerationOutcome.ABORTED
            ]
    return PromiseResult(
        name="planned-stop-cuts-nothing",
        promise="A planned stop cuts off no request in flight.",
        checked=checked,
        unit="stops and requests",
        violations=violations,
    )


def _generations_at_stop(records: RecordSet, stop: StopRecord) -> list[GenerationRecord]:
    """Generations that ended while a coordinator stopped, or at once after it.

    They may be another coordinator's; without a fault none of them is to be abandoned.
    """
    until = stop.ended_at + _ABORT_SEEN_SECONDS
    return [
        one
        for one in records.generations
        if one.started_at < stop.requested_at <= one.ended_at <= until
        and not _disturbed(one.started_at, one.ended_at, records.faults)
    ]


def _in_flight_at_stop(record: CallerRecord, stop: StopRecord) -> bool:
    """Whether a request was with the stopped gateway when its stop was asked for."""
    at_gateway = record.gateway == stop.http_address
    return at_gateway and record.sent_at < stop.requested_at <= record.ended_at


def _disturbed(began_at: float, ended_at: float, faults: list[FaultRecord]) -> bool:
    """Whether a fault lasted during a request, so that it may be the cause."""
    return any(
        fault.started_at <= ended_at and (fault.healed_at is None or began_at <= fault.healed_at)
        for fault in faults
    )


def check_configuration(records: RecordSet, limits: CheckLimits) -> PromiseResult:
    """Look for effects of a configuration that was replaced a while ago."""
    drains = drain_periods(records)
    tested = _long_enough(records, drains, limits.in_force_seconds)
    violations = _work_after(records, tested, limits.in_force_seconds)
    pauses = pause_periods(records)
    violations += _batches_while_paused(records, pauses, limits)
    violations += _versions_not_in_force(records, limits)
    return PromiseResult(
        name="configuration-in-force",
        promise="An accepted configuration is in force everywhere within seconds, for good.",
        checked=len(tested) + len(pauses) + len(records.steps),
        unit="changes and batches",
        violations=violations,
    )


def _batches_while_paused(
    records: RecordSet, pauses: list[PausePeriod], limits: CheckLimits
) -> list[Violation]:
    """Batches that a job delivered though it had been paused or moved away a while ago."""
    return [
        Violation(
            f"{step.job}/{step.consumer} batch {step.batch}",
            f"delivered {step.received_at - pause.since:.1f} s after the job was {pause.phase}",
        )
        for pause in pauses
        for step in records.steps
        if step.job == pause.job
        # What the old scripts feed to the same trainer is not the job's.
        and trainer_of(step.consumer) == step.consumer
        and pause.since + limits.in_force_seconds < step.received_at < pause.until
    ]


def _versions_not_in_force(records: RecordSet, limits: CheckLimits) -> list[Violation]:
    """Batches that knew an older version than the one before, or than was published."""
    by_consumer: dict[tuple[str, str], list[StepRecord]] = defaultdict(list)
    for step in records.steps:
        by_consumer[(step.job, step.consumer)].append(step)
    publications = _publication_times(records)
    models = _models(records)
    violations: list[Violation] = []
    for (job, consumer), steps in by_consumer.items():
        newest = 0
        for step in steps:
            subject = f"{job}/{consumer} batch {step.batch}"
            if step.newest_version < newest:
                detail = f"newest version went back from {newest} to {step.newest_version}"
                violations.append(Violation(subject, detail))
            newest = max(newest, step.newest_version)
            due = _newest_due(publications[models.get(job, "")], step, limits)
            # What the old scripts feed to the same trainer follows no configuration.
            if step.newest_version < due and trainer_of(consumer) == consumer:
                detail = f"knew version {step.newest_version}, {due} had long been published"
                violations.append(Violation(subject, detail))
    return violations


def _publication_times(records: RecordSet) -> dict[str, list[tuple[float, int]]]:
    """When each version was answered as published, by model."""
    times: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for record in records.operators:
        if record.command.get("command") == "publish_weights" and record.outcome == "done":
            assert record.ended_at is not None
            version = int(str(record.command["version"]))
            times[str(record.command["model"])].append((record.ended_at, version))
    return times


def _models(records: RecordSet) -> dict[str, str]:
    """Model of each job that somebody asked for."""
    models: dict[str, str] = {}
    for record in records.operators:
        value = record.command.get("object")
        key = str(record.command.get("key", ""))
        if key.startswith(JOB_PREFIX) and isinstance(value, dict) and "model" in value:
            models[key.removeprefix(JOB_PREFIX)] = str(value["model"])
    return models


def _newest_due(
    publications: list[tuple[float, int]], step: StepRecord, limits: CheckLimits
) -> int:
    """Newest version that a batch must know of: anybody published it a while ago."""
    known_by = step.received_at - limits.in_force_seconds
    return max((version for time, version in publications if time <= known_by), default=0)
