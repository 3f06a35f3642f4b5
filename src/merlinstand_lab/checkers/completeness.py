"""The records themselves: readable, and none missing that should be there."""

from collections.abc import Sequence

from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import Record
from merlinstand_lab.records.record_set import RecordSet


def check_records(records: RecordSet) -> PromiseResult:
    """Look for unreadable lines and empty kinds of records."""
    violations = [
        Violation(f"{one.stream}.jsonl line {one.line_number}", one.detail)
        for one in records.unreadable
    ]
    needed: dict[str, Sequence[Record]] = {
        "trainer": records.samples,
        "idle": records.steps,
        "engine": records.generations,
        "started": records.starts,
        "versions": records.activations,
        "service": records.services,
        "callers": records.callers,
        "store": records.stored,
        "operators": records.operators,
    }
    violations += [
        Violation(f"{kind}*.jsonl", "has no records") for kind, found in needed.items() if not found
    ]
    return PromiseResult(
        name="records-complete",
        promise="Every outsider kept its records, and they can be read.",
        checked=sum(len(found) for found in needed.values()),
        unit="records",
        violations=violations,
    )
