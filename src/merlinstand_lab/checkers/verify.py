"""All checkers together."""

from merlinstand_lab.checkers.completeness import check_records
from merlinstand_lab.checkers.delivery import check_batches, check_exactly_once
from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.linearizability import check_commands
from merlinstand_lab.checkers.liveness import check_liveness
from merlinstand_lab.checkers.operations import (
    check_configuration,
    check_leaving,
    check_planned_stops,
)
from merlinstand_lab.checkers.report import Report
from merlinstand_lab.checkers.requests import (
    check_at_most_once,
    check_not_run,
    check_whole_answers,
)
from merlinstand_lab.checkers.staleness import check_staleness
from merlinstand_lab.checkers.versions import check_versions
from merlinstand_lab.records.record_set import RecordSet


def verify_records(records: RecordSet, limits: CheckLimits | None = None) -> Report:
    """Check every promise on the records of a run.

    Args:
        records: What the outsiders saw.
        limits: Time limits.

    Returns:
        One result for each promise.
    """
    limits = limits or CheckLimits()
    results = [
        check_versions(records),
        check_staleness(records, limits),
        check_exactly_once(records),
        check_whole_answers(records),
        check_not_run(records),
        check_at_most_once(records),
        check_leaving(records, limits),
        check_planned_stops(records),
        check_configuration(records, limits),
        check_batches(records),
        check_commands(records),
        check_liveness(records, limits),
        check_records(records),
    ]
    return Report(results)
