"""Checkers of samples and batches: versions, staleness, exactly once, in order."""

import pytest

from merlinstand_lab.records.kinds import GenerationOutcome, StoreRecord
from merlinstand_lab.records.record_set import RecordSet

from .clean_run import (
    CONSUMER,
    ENGINE,
    JOB,
    SAMPLE_TOKENS,
    generation_record,
    operator_record,
    sample_record,
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
    fresh_sample,
    origin,
    result_of,
)

VIOLATIONS: list[Case] = [
    (
        "versions-true",
        "names another version than its text proves",
        fresh_sample(produced=origin(3), weight_versions=[(2, 0, SAMPLE_TOKENS)]),
    ),
    (
        "versions-true",
        "the engine's record has another version",
        fresh_sample(
            produced=[("r-2-0", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
        ),
    ),
    (
        "versions-true",
        "nobody began the request",
        fresh_sample(
            produced=[("ghost", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
        ),
    ),
    (
        "versions-true",
        "a killed engine never served the version",
        both(
            adding("started-x", start_record("killed", "engine-x", 30.0)),
            fresh_sample(
                produced=[("killed", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
            ),
        ),
    ),
    ("versions-true", "a text without origin", fresh_sample(produced=[])),
    (
        "versions-true",
        "a gap between spans",
        fresh_sample(
            produced=[("r-3-0", 3, 0, 5), ("r-3-0", 3, 10, SAMPLE_TOKENS)],
            weight_versions=[(3, 0, 5), (3, 10, SAMPLE_TOKENS)],
        ),
    ),
    (
        "staleness-bound",
        "two versions old at a bound of one",
        fresh_sample(produced=origin(1), weight_versions=[(1, 0, SAMPLE_TOKENS)]),
    ),
    (
        "staleness-bound",
        "only its oldest part is too old",
        fresh_sample(weight_versions=[(1, 0, 2), (3, 2, SAMPLE_TOKENS)]),
    ),
    ("staleness-bound", "a job that nobody asked for", fresh_sample(job="other")),
    ("exactly-once", "a sample twice", adding(f"trainer-{CONSUMER}", sample_record(3, 1))),
    (
        "exactly-once",
        "a slot under two names",
        adding(f"trainer-{CONSUMER}", sample_record(3, 1, sample_id="renamed")),
    ),
    ("batches-in-order", "a gap", adding(f"idle-{CONSUMER}", step_record(5, samples=0))),
    ("batches-in-order", "a batch twice", adding(f"idle-{CONSUMER}", step_record(3))),
    (
        "batches-in-order",
        "a sample of the batch is missing",
        adding(f"idle-{CONSUMER}", step_record(4, samples=1)),
    ),
]


@pytest.mark.parametrize(("name", "title", "plant"), VIOLATIONS, ids=case_id)
def test_a_planted_violation_is_reported(
    records: RecordSet, name: str, title: str, plant: Plant
) -> None:
    check_is_reported(records, name, plant)


def test_a_sample_of_a_killed_engine_is_true_if_its_start_and_version_are_known(
    records: RecordSet,
) -> None:
    records.add(f"started-{ENGINE}", start_record("killed", ENGINE, 32.0))
    fresh_sample(
        produced=[("killed", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
    )(records)
    assert result_of(records, "versions-true").violations == []


def test_a_sample_across_a_swap_and_a_resume_is_true(records: RecordSet) -> None:
    first = generation_record(
        "first", 2, spans=[(2, 0, 5), (3, 5, 8)], outcome=GenerationOutcome.EXPORTED
    )
    records.add(f"engine-{ENGINE}", first)
    second = generation_record("second", 3, spans=[(3, 8, SAMPLE_TOKENS)], first_token=8)
    records.add(f"engine-{ENGINE}", second)
    fresh_sample(
        produced=[("first", 2, 0, 5), ("first", 3, 5, 8), ("second", 3, 8, SAMPLE_TOKENS)],
        weight_versions=[(2, 0, 5), (3, 5, SAMPLE_TOKENS)],
    )(records)
    assert result_of(records, "versions-true").violations == []


def test_weights_of_another_digest_are_reported(records: RecordSet) -> None:
    wrong = StoreRecord(model="blurb", version=3, digest="other", published_at=30.0)
    records.add("store", wrong)
    assert result_of(records, "versions-true").violations != []


def test_a_bound_in_seconds_is_checked(records: RecordSet) -> None:
    policy = {"maximum_staleness_versions": 5, "maximum_staleness_seconds": 4.0}
    job = {"name": "timed", "model": "blurb", "policy": policy}
    put = {"command": "put_object", "key": "job/timed", "object": job, "expected_revision": 0}
    records.add("operators", operator_record("c9", put, sent_at=5.0, ended_at=5.1, revision=5))
    fresh_sample(job="timed", weight_versions=[(3, 0, SAMPLE_TOKENS)])(records)
    assert result_of(records, "staleness-bound").violations == []
    fresh_sample(job="timed", weight_versions=[(2, 0, SAMPLE_TOKENS)])(records)
    assert result_of(records, "staleness-bound").violations != []


def test_a_rewind_by_an_operator_allows_a_batch_number_but_no_sample_again(
    records: RecordSet,
) -> None:
    rewind = {"command": "rewind_job", "job": JOB, "consumer": CONSUMER, "batch": 3}
    records.add("operators", operator_record("c9", rewind, sent_at=40, ended_at=41, revision=41))
    for number in (7, 8):
        fresh = sample_record(3, number, received_at=45.0, slot=90 + number)
        records.add(f"trainer-{CONSUMER}", fresh)
    records.add(f"idle-{CONSUMER}", step_record(3, received_at=45.0))
    assert result_of(records, "exactly-once").violations == []
    assert result_of(records, "batches-in-order").violations == []
    records.add(f"trainer-{CONSUMER}", sample_record(3, 0, received_at=45.0))
    assert result_of(records, "exactly-once").violations != []
    assert result_of(records, "batches-in-order").violations != []


def test_a_bound_is_relaxed_only_while_its_change_may_be_under_way(records: RecordSet) -> None:
    policy = {"maximum_staleness_versions": 0}
    job = {"name": JOB, "model": "blurb", "policy": policy}
    put = {"command": "put_object", "key": f"job/{JOB}", "object": job, "expected_revision": 1}
    records.add("operators", operator_record("c9", put, sent_at=36.0, ended_at=36.1, revision=36))
    stale = {"produced": origin(2), "weight_versions": [(2, 0, SAMPLE_TOKENS)]}
    fresh_sample(received_at=42.0, **stale)(records)
    assert result_of(records, "staleness-bound").violations == []
    fresh_sample(received_at=44.0, **stale)(records)
    assert result_of(records, "staleness-bound").violations != []
