"""Checkers of leaving back ends, planned stops and the configuration in force."""

import msgspec
import pytest

from merlinstand_lab.records.kinds import (
    CallerOutcome,
    GenerationOutcome,
    OperatorRecord,
    StopRecord,
)
from merlinstand_lab.records.record_set import RecordSet

from .clean_run import (
    CONSUMER,
    ENGINE,
    GATEWAY,
    INCARNATION,
    JOB,
    SERVICE,
    caller_record,
    generation_record,
    operator_record,
    start_record,
    step_record,
)
from .planting import (
    Case,
    Plant,
    adding,
    both,
    case_id,
    check_is_reported,
    register_command,
    result_of,
)


def paused() -> OperatorRecord:
    put = register_command("put_object", f"job/{JOB}", 1)
    put["object"] = {"name": JOB, "model": "blurb", "phase": "paused"}
    return operator_record("pause", put, sent_at=36.0, ended_at=36.1, revision=36)


STOP_FAILED = StopRecord(
    node_id="gateway-a",
    role="gateway",
    http_address="10.0.0.2:80",
    requested_at=40.0,
    ended_at=60.0,
    exit_code=-1,
)

COORDINATOR_STOP = msgspec.structs.replace(
    STOP_FAILED, role="coordinator", requested_at=45.0, ended_at=45.5, exit_code=0
)

VIOLATIONS: list[Case] = [
    (
        "leaving-gets-no-work",
        "work for a drained back end",
        adding(f"started-{SERVICE}", start_record("late", SERVICE, 26.0)),
    ),
    (
        "leaving-gets-no-work",
        "work for a back end that said it leaves",
        adding("started-c", start_record("late", "engine-c", 16.0)),
    ),
    (
        "leaving-gets-no-work",
        "work for a machine listed as leaving",
        adding("started-d", start_record("late", "engine-d", 19.0)),
    ),
    (
        "planned-stop-cuts-nothing",
        "a request in flight is cut",
        adding(
            "callers",
            caller_record("cut", 14.9, ended_at=15.5, outcome=CallerOutcome.UNKNOWN),
        ),
    ),
    (
        "planned-stop-cuts-nothing",
        "a coordinator abandons a generation",
        both(
            adding("stops", COORDINATOR_STOP),
            adding(
                f"engine-{ENGINE}",
                generation_record(
                    "abandoned", 3, started_at=44, ended_at=46, outcome=GenerationOutcome.ABORTED
                ),
            ),
        ),
    ),
    ("planned-stop-cuts-nothing", "a stop that had to be forced", adding("stops", STOP_FAILED)),
    (
        "configuration-in-force",
        "a drained back end gets work again before it was taken back",
        adding(f"started-{SERVICE}", start_record("late", SERVICE, 29.0)),
    ),
    (
        "configuration-in-force",
        "the newest version goes back",
        adding(f"idle-{CONSUMER}", step_record(4, newest_version=2, samples=0)),
    ),
    (
        "configuration-in-force",
        "a publication is not known after a while",
        both(
            adding(
                "operators",
                operator_record(
                    "publish-9",
                    {"command": "publish_weights", "model": "blurb", "version": 4},
                    sent_at=34.0,
                    ended_at=34.1,
                    revision=34,
                    operator=CONSUMER,
                ),
            ),
            adding(f"idle-{CONSUMER}", step_record(4, newest_version=3, received_at=50.0)),
        ),
    ),
    (
        "configuration-in-force",
        "another trainer's publication is not known after a while",
        adding(
            "idle-other",
            step_record(1, consumer="other", newest_version=2, samples=0, received_at=40.0),
        ),
    ),
    (
        "configuration-in-force",
        "a paused job delivers",
        both(
            adding("operators", paused()),
            adding(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=48.0)),
        ),
    ),
]


@pytest.mark.parametrize(("name", "title", "plant"), VIOLATIONS, ids=case_id)
def test_a_planted_violation_is_reported(
    records: RecordSet, name: str, title: str, plant: Plant
) -> None:
    check_is_reported(records, name, plant)


def test_a_paused_job_may_deliver_after_it_was_resumed(records: RecordSet) -> None:
    records.add("operators", paused())
    resume = register_command("put_object", f"job/{JOB}", 36)
    resume["object"] = {"name": JOB, "model": "blurb", "phase": "running"}
    records.add("operators", operator_record("go", resume, sent_at=46, ended_at=47, revision=46))
    records.add(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=48.0))
    assert result_of(records, "configuration-in-force").violations == []


def test_a_request_cut_while_a_fault_lasts_is_not_blamed_on_the_stop(records: RecordSet) -> None:
    stop = msgspec.structs.replace(STOP_FAILED, exit_code=0, http_address=GATEWAY)
    records.add("stops", msgspec.structs.replace(stop, requested_at=21.5, ended_at=23.0))
    cut = caller_record("cut", 21.2, ended_at=21.9, outcome=CallerOutcome.UNKNOWN)
    records.add("callers", cut)
    assert result_of(records, "planned-stop-cuts-nothing").violations == []


def test_work_of_a_new_process_does_not_count_as_work_of_the_leaving_one(
    records: RecordSet,
) -> None:
    start = start_record("new", "engine-c", 17.0, incarnation=INCARNATION + 1)
    records.add("started-c", start)
    assert result_of(records, "leaving-gets-no-work").violations == []
