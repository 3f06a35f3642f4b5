"""Checkers of callers' requests: whole answers, true refusals, at most one run."""

import pytest

from merlinstand_lab.records.record_set import RecordSet

from .clean_run import (
    ENGINE,
    SAMPLE_TOKENS,
    SERVICE,
    caller_record,
    generation_record,
    start_record,
)
from .planting import Case, Plant, adding, case_id, check_is_reported, fresh_sample, result_of

VIOLATIONS: list[Case] = [
    (
        "whole-answers",
        "another's answer",
        adding("callers", caller_record("lookup-9", 40.0, digest_ok=False)),
    ),
    (
        "whole-answers",
        "the named back end did not run it",
        adding("callers", caller_record("lookup-9", 40.0)),
    ),
    ("whole-answers", "a request ends twice", adding("callers", caller_record("lookup-1", 15.0))),
    ("whole-answers", "a sample's text is cut", fresh_sample(token_count=SAMPLE_TOKENS + 4)),
    (
        "not-run-is-true",
        "a refused request ran",
        adding(f"started-{SERVICE}", start_record("refused", SERVICE, 13.0)),
    ),
    (
        "at-most-once",
        "a twin ran too, under its own request id",
        adding("started-b", start_record("booking-1-twin", "service-b", 12.0)),
    ),
    (
        "at-most-once",
        "the key ran again under an unknown request id",
        adding("started-b", start_record("resent", "service-b", 12.0, idempotency_key="k1")),
    ),
]


@pytest.mark.parametrize(("name", "title", "plant"), VIOLATIONS, ids=case_id)
def test_a_planted_violation_is_reported(
    records: RecordSet, name: str, title: str, plant: Plant
) -> None:
    check_is_reported(records, name, plant)


@pytest.mark.parametrize(("first_token", "is_whole"), [(SAMPLE_TOKENS, True), (4, False)])
def test_a_text_may_be_ended_by_the_engine_that_took_it_over_whole(
    records: RecordSet, first_token: int, is_whole: bool
) -> None:
    records.add(f"started-{ENGINE}", start_record("planted~killed", ENGINE, 32.0))
    span = (3, 0, SAMPLE_TOKENS)
    fresh_sample(produced=[("planted~killed", *span)], weight_versions=[span])(records)
    assert result_of(records, "whole-answers").violations != []
    ending = generation_record("planted~resumed", 3, spans=[], first_token=first_token)
    records.add(f"engine-{ENGINE}", ending)
    assert (result_of(records, "whole-answers").violations == []) is is_whole
