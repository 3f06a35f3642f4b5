"""Fixtures of the checkers' tests."""

import pytest

from merlinstand_lab.records.record_set import RecordSet

from .clean_run import clean_records


@pytest.fixture
def records() -> RecordSet:
    """A clean run's records, into which tests plant violations."""
    return clean_records()
