"""A job that only mirrors the old scripts delivers nothing; the scripts may."""

import pytest

from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.liveness import check_liveness
from merlinstand_lab.checkers.operations import check_configuration
from merlinstand_lab.records.kinds import FaultRecord
from merlinstand_lab.records.record_set import RecordSet

from .clean_run import CONSUMER, JOB, operator_record, step_record

MOVED_AT = 36.0


def move(records: RecordSet, mode: str, at: float) -> None:
    """Let an operator move the job."""
    put = {
        "command": "put_object",
        "key": f"job/{JOB}",
        "object": {"name": JOB, "model": "blurb", "phase": "running", "mode": mode},
        "expected_revision": None,
    }
    done = operator_record(f"move-{at}", put, sent_at=at, ended_at=at + 0.1, revision=int(at))
    records.add("operators", done)


def violations(records: RecordSet) -> list[str]:
    return [str(one) for one in check_configuration(records, CheckLimits()).violations]


@pytest.fixture
def mirrored(records: RecordSet) -> RecordSet:
    move(records, "mirror", MOVED_AT)
    return records


def test_a_batch_of_a_mirrored_job_is_reported(mirrored: RecordSet) -> None:
    mirrored.add(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=MOVED_AT + 12.0))
    (violation,) = violations(mirrored)
    assert "after the job was mirror" in violation


def test_batches_of_the_scripts_are_their_own(mirrored: RecordSet) -> None:
    by_scripts = step_record(
        1, samples=0, received_at=MOVED_AT + 12.0, consumer=f"{CONSUMER}@scripts"
    )
    mirrored.add(f"idle-{CONSUMER}", by_scripts)
    assert violations(mirrored) == []


def test_a_job_that_was_moved_on_delivers_again(mirrored: RecordSet) -> None:
    move(mirrored, "active", MOVED_AT + 10.0)
    mirrored.add(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=MOVED_AT + 12.0))
    assert violations(mirrored) == []


def overdue(records: RecordSet) -> list[str]:
    """What works-again reports of a fault that healed when the job had just moved away."""
    fault = FaultRecord(kind="kill", target="control-a", started_at=35.0, healed_at=36.5)
    records.add("faults", fault)
    result = check_liveness(records, CheckLimits(liveness_seconds=5.0))
    return [str(one) for one in result.violations if one.subject == CONSUMER]


def test_no_batch_is_due_while_the_scripts_lead(mirrored: RecordSet) -> None:
    assert overdue(mirrored) == []


def test_a_batch_is_due_a_while_after_the_job_came_back(mirrored: RecordSet) -> None:
    move(mirrored, "active", 48.0)
    assert "no batch within" in overdue(mirrored)[0]


def test_a_batch_after_the_job_came_back_is_in_time(mirrored: RecordSet) -> None:
    move(mirrored, "active", 48.0)
    mirrored.add(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=52.0))
    assert overdue(mirrored) == []


def test_without_a_move_the_batch_is_overdue(records: RecordSet) -> None:
    assert "no batch within" in overdue(records)[0]
