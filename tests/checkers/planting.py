"""Plants violations into the records of a clean run."""

from collections.abc import Callable

from merlinstand_lab.checkers.report import PromiseResult
from merlinstand_lab.checkers.verify import verify_records
from merlinstand_lab.records.kinds import Record
from merlinstand_lab.records.record_set import RecordSet

from .clean_run import CONSUMER, SAMPLE_TOKENS, sample_record

Plant = Callable[[RecordSet], None]
Case = tuple[str, str, Plant]
"""Checker that must report it, what is wrong, and how to bring it about."""


def adding(stream: str, record: Record) -> Plant:
    """Plant a further record."""
    return lambda records: records.add(stream, record)


def both(first: Plant, second: Plant) -> Plant:
    def plant(records: RecordSet) -> None:
        first(records)
        second(records)

    return plant


def fresh_sample(**changes: object) -> Plant:
    """Plant a sample of batch 3 with its own name and slot."""
    named = {"sample_id": "planted", "slot": 99} | changes
    return adding(f"trainer-{CONSUMER}", sample_record(3, 5, **named))


def origin(version: int, **changes: object) -> list[tuple[str, int, int, int]]:
    """Origin of a sample in a request that the records know."""
    return [(f"r-{version}-0", version, 0, SAMPLE_TOKENS)]


def register_command(kind: str, key: str, expected: int | None) -> dict[str, object]:
    return {"command": kind, "key": key, "object": {}, "expected_revision": expected}


def result_of(records: RecordSet, name: str) -> PromiseResult:
    results = {one.name: one for one in verify_records(records).promises}
    return results[name]


def case_id(value: object) -> str:
    """Name a parametrized case by its two texts; the plant itself has no name."""
    return value if isinstance(value, str) else "planted"


def check_is_reported(records: RecordSet, name: str, plant: Plant) -> None:
    """Assert that a checker is content before a plant and reports it afterwards."""
    assert result_of(records, name).violations == []
    plant(records)
    assert result_of(records, name).violations != []
