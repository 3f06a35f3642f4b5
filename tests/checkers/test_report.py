"""All checkers together: a clean run, nothing to check, works again, readable records."""

import pytest

from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.verify import verify_records
from merlinstand_lab.records.kinds import CallerOutcome
from merlinstand_lab.records.record_set import RecordSet, UnreadableLine

from .clean_run import caller_record
from .planting import Case, Plant, adding, case_id, check_is_reported, result_of

VIOLATIONS: list[Case] = [
    (
        "works-again",
        "an unknown outcome in calm times",
        adding(
            "callers",
            caller_record("calm", 55.0, ended_at=56.0, outcome=CallerOutcome.UNKNOWN),
        ),
    ),
    (
        "records-complete",
        "an unreadable line",
        lambda records: records.unreadable.append(UnreadableLine("callers", 3, "cut off")),
    ),
]


@pytest.mark.parametrize(("name", "title", "plant"), VIOLATIONS, ids=case_id)
def test_a_planted_violation_is_reported(
    records: RecordSet, name: str, title: str, plant: Plant
) -> None:
    check_is_reported(records, name, plant)


def test_a_clean_run_keeps_every_promise(records: RecordSet) -> None:
    report = verify_records(records)
    broken = [(one.name, [str(v) for v in one.violations]) for one in report.promises]
    assert report.passed, broken
    assert all(one.checked > 0 for one in report.promises)


def test_nothing_checked_is_no_pass() -> None:
    report = verify_records(RecordSet())
    untested = {one.name for one in report.promises if one.checked == 0}
    assert "exactly-once" in untested
    assert not any(one.passed for one in report.promises if one.required)


def test_a_trainer_that_gets_no_batch_after_the_last_fault_is_reported(
    records: RecordSet,
) -> None:
    limits = CheckLimits(liveness_seconds=2.0)
    results = {one.name: one for one in verify_records(records, limits).promises}
    assert results["works-again"].violations != []


def test_only_twins_of_a_booking_may_hear_unknown_in_calm_times(records: RecordSet) -> None:
    twin = {"idempotency_key": "k1", "repeatable": False, "outcome": CallerOutcome.UNKNOWN}
    records.add("callers", caller_record("twin", 55.0, **twin))
    assert result_of(records, "works-again").violations == []
    records.add("callers", caller_record("retry", 55.0, **(twin | {"repeatable": True})))
    assert result_of(records, "works-again").violations != []
