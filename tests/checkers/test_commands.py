"""Checker of operators' commands, on whole runs."""

import pytest

from merlinstand_lab.records.record_set import RecordSet

from .clean_run import operator_record
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


def two_done_creations() -> Plant:
    put = register_command("put_object", "pool/p", 0)
    first = operator_record("w1", put, sent_at=40.0, ended_at=41.0, revision=41)
    second = operator_record("w2", put, sent_at=40.5, ended_at=41.5, revision=42)
    return both(adding("operators", first), adding("operators", second))


VIOLATIONS: list[Case] = [
    ("commands-linearizable", "two creations of one key", two_done_creations()),
    (
        "commands-linearizable",
        "a resend answered differently",
        adding(
            "operators",
            operator_record("c1", register_command("put_object", "pool/p", 0), revision=2),
        ),
    ),
    (
        "commands-linearizable",
        "a revision that runs against time",
        adding(
            "operators",
            operator_record(
                "w9",
                register_command("put_object", "pool/q", 0),
                sent_at=50.0,
                ended_at=51.0,
                revision=3,
            ),
        ),
    ),
]


@pytest.mark.parametrize(("name", "title", "plant"), VIOLATIONS, ids=case_id)
def test_a_planted_violation_is_reported(
    records: RecordSet, name: str, title: str, plant: Plant
) -> None:
    check_is_reported(records, name, plant)


def test_a_command_that_finds_its_object_as_wanted_may_repeat_the_revision(
    records: RecordSet,
) -> None:
    put = register_command("put_object", "pool/p", 0)
    records.add("operators", operator_record("w1", put, sent_at=40, ended_at=41, revision=41))
    again = register_command("put_object", "pool/p", 41)
    records.add("operators", operator_record("w2", again, sent_at=50, ended_at=51, revision=41))
    assert result_of(records, "commands-linearizable").violations == []
    other = again | {"object": {"changed": True}}
    records.add("operators", operator_record("w3", other, sent_at=52, ended_at=53, revision=41))
    assert result_of(records, "commands-linearizable").violations != []
