"""Starts of backends that keep their ids."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.incarnations import (
    Incarnations,
    backend_of,
    has_start_time,
    incarnation_id,
)
from merlinstand.quarantine.messages import BackendCrash, SuspectReport, UnansweredAttempts

BACKEND = BackendId("s")
CONTENT = ContentDigest("c")


@pytest.mark.parametrize(
    ("incarnation", "backend_id", "has_time"),
    [
        (incarnation_id(BACKEND, 17), BACKEND, True),
        (incarnation_id(BACKEND, 0), BACKEND, False),
        (BackendId("s@host"), BackendId("s@host"), False),
    ],
)
def test_incarnation_id_contains_backend_id(
    incarnation: BackendId, backend_id: BackendId, has_time: bool
) -> None:
    assert (backend_of(incarnation), has_start_time(incarnation)) == (backend_id, has_time)


def test_newer_start_ends_the_previous_and_older_start_is_ignored() -> None:
    starts = Incarnations()
    assert starts.record(BACKEND, 17) is None, "first known start"
    assert starts.record(BACKEND, 17) is None
    assert starts.record(BACKEND, 20) == incarnation_id(BACKEND, 17)
    assert starts.record(BACKEND, 18) is None
    assert starts.current(BACKEND) == incarnation_id(BACKEND, 20)


def test_reports_are_qualified_with_the_newest_start() -> None:
    starts = Incarnations()
    starts.record(BACKEND, 17)
    attempts = (UnansweredAttempts(BACKEND, (CONTENT,)),)
    report = SuspectReport(
        "d", 1, (BackendCrash(BACKEND, ()),), unanswered=attempts, in_flight=attempts
    )
    named = starts.qualify(report)
    backend_ids = [t.backend_id for t in (*named.crashes, *named.unanswered, *named.in_flight)]
    assert backend_ids == [incarnation_id(BACKEND, 17)] * 3
    assert Incarnations().qualify(report) == report
