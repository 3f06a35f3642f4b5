"""A reader that knows only the named fields finds each planted violation."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from merlinstand_lab.checkers.named_fields import verify_named_fields
from merlinstand_lab.records.kinds import STREAM_TYPES
from merlinstand_lab.records.named_fields import (
    NamedGeneration,
    NamedRecords,
    NamedRequest,
    NamedSample,
    NamedServiceRun,
)

Lines = dict[str, list[dict[str, Any]]]


def sample(batch: int, number: int) -> dict[str, Any]:
    return {
        "sample_id": f"j/{batch}/{number}",
        "job": "j",
        "prompt_id": str(batch),
        "attempt": number,
        "batch": batch,
        "trainer_version": batch,
        "weight_versions": [[batch, 0, 12], [batch + 1, 12, 20]],
        "received_at": float(batch),
    }


def request(name: str, outcome: str = "answer") -> dict[str, Any]:
    answered = outcome == "answer"
    return {
        "request_id": name,
        "sent_at": 1.0,
        "ended_at": 1.5,
        "outcome": outcome,
        "answered_by": "shop-1" if answered else "",
        "digest_ok": answered,
    }


def clean_lines() -> Lines:
    """Records with the named fields and no others."""
    generations = [
        {"request_id": f"g{version}", "spans": [[version, 0, 20]], "outcome": "stop"}
        for version in (1, 2, 3)
    ]
    booking = {"request_id": "booking", "idempotency_key": "k", "repeatable": False}
    lookup = {"request_id": "lookup", "idempotency_key": "", "repeatable": True}
    return {
        "trainer-1": [sample(batch, number) for batch in (1, 2) for number in (0, 1)],
        "engine-a": generations,
        "service-shop-1": [lookup, booking],
        "callers": [
            request("lookup"),
            request("booking"),
            request("twin-of-booking"),
            request("refused", "not_run"),
            request("lost", "unknown"),
        ],
    }


def read(folder: Path, lines: Lines) -> NamedRecords:
    for stream, found in lines.items():
        text = "".join(json.dumps(line) + "\n" for line in found)
        (folder / f"{stream}.jsonl").write_text(text)
    return NamedRecords(folder)


def repeat_sample(lines: Lines) -> None:
    lines["trainer-1"].append(dict(lines["trainer-1"][0]))


def rename_repeated_sample(lines: Lines) -> None:
    lines["trainer-1"].append({**lines["trainer-1"][0], "sample_id": "another"})


def lose_batch(lines: Lines) -> None:
    lines["trainer-1"] = [{**one, "batch": one["batch"] * 2} for one in lines["trainer-1"]]


def age_sample(lines: Lines) -> None:
    lines["trainer-1"][3]["trainer_version"] = 5


def gap_in_spans(lines: Lines) -> None:
    lines["trainer-1"][0]["weight_versions"] = [[1, 0, 12], [2, 13, 20]]


def unserved_version(lines: Lines) -> None:
    lines["trainer-1"][0]["weight_versions"] = [[4, 0, 20]]


def cut_answer(lines: Lines) -> None:
    lines["callers"][0]["digest_ok"] = False


def answer_of_somebody_else(lines: Lines) -> None:
    lines["callers"][0]["answered_by"] = "shop-2"


def end_twice(lines: Lines) -> None:
    lines["callers"].append(dict(lines["callers"][4]))


def run_refused(lines: Lines) -> None:
    lines["service-shop-1"].append(
        {"request_id": "refused", "idempotency_key": "", "repeatable": True}
    )


def book_twice(lines: Lines) -> None:
    lines["service-shop-2"] = [
        {"request_id": "twin-of-booking", "idempotency_key": "k", "repeatable": False}
    ]


def version_as_text(lines: Lines) -> None:
    lines["trainer-1"][0]["trainer_version"] = "1"


PLANTED: list[tuple[Callable[[Lines], None], str]] = [
    (repeat_sample, "exactly-once"),
    (rename_repeated_sample, "exactly-once"),
    (lose_batch, "batches-in-order"),
    (age_sample, "staleness-bound"),
    (gap_in_spans, "versions-true"),
    (unserved_version, "versions-true"),
    (cut_answer, "whole-answers"),
    (answer_of_somebody_else, "whole-answers"),
    (end_twice, "whole-answers"),
    (run_refused, "not-run-is-true"),
    (book_twice, "at-most-once"),
    (version_as_text, "records-complete"),
]


def test_records_of_only_the_named_fields_can_be_verified(tmp_path: Path) -> None:
    report = verify_named_fields(read(tmp_path, clean_lines()))
    assert report.passed, [str(one) for promise in report.promises for one in promise.violations]
    checked = {promise.name: promise.checked for promise in report.promises}
    assert checked["exactly-once"] == 4
    assert checked["at-most-once"] == 1
    assert checked["records-complete"] == 14


@pytest.mark.parametrize(("plant", "name"), PLANTED, ids=lambda one: getattr(one, "__name__", one))
def test_a_planted_violation_is_found(
    tmp_path: Path, plant: Callable[[Lines], None], name: str
) -> None:
    lines = clean_lines()
    plant(lines)
    report = verify_named_fields(read(tmp_path, lines))
    broken = {promise.name for promise in report.promises if promise.violations}
    assert name in broken


def test_an_empty_folder_proves_nothing(tmp_path: Path) -> None:
    assert not verify_named_fields(NamedRecords(tmp_path)).passed


@pytest.mark.parametrize(
    ("kind", "named"),
    [
        ("trainer", NamedSample),
        ("engine", NamedGeneration),
        ("service", NamedServiceRun),
        ("callers", NamedRequest),
    ],
)
def test_the_records_that_are_written_have_the_named_fields(
    kind: str, named: type[msgspec.Struct]
) -> None:
    written = {field.name: field for field in msgspec.structs.fields(STREAM_TYPES[kind])}
    for field in msgspec.structs.fields(named):
        assert field.name in written
        assert written[field.name].required, "a named field is never left to a default"
