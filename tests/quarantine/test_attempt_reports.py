"""When, and for how long, a daemon reports its attempts."""

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.quarantine.attempt_reports import (
    ATTEMPT_REPORT_RETRY_SECONDS,
    MINIMUM_ATTEMPT_REPORT_INTERVAL_SECONDS,
)
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.messages import (
    BackendCrash,
    SuspectReport,
    SuspectsView,
    UnansweredAttempts,
    decode_suspect_report,
)
from merlinstand.quarantine.rules import ANNOUNCEMENT_SECONDS, RECENTLY_SERVED_SECONDS

BACKEND = Backend(backend_id=BackendId("s"), service="shop", address="10.0.0.1:1")
CONTENT, OTHER = ContentDigest("c"), ContentDigest("o")
AT_BACKEND = (UnansweredAttempts(BACKEND.backend_id, (CONTENT,)),)


def report_of(suspects: SuspectTable, now: float) -> SuspectReport:
    data = suspects.next_report(now)
    assert data is not None
    return decode_suspect_report(data)


def announcing(service: str = "shop") -> SuspectTable:
    suspects = SuspectTable()
    suspects.apply_view(SuspectsView(announced_services={service: 7}), 7, 0.0)
    return suspects


def send(suspects: SuspectTable, now: float, call: str = "call") -> None:
    suspects.record_send(CallId(call), BACKEND, lambda: CONTENT, now)


def test_unanswered_attempt_is_reported_at_once_until_acknowledged() -> None:
    suspects = SuspectTable()
    suspects.record_unanswered(BACKEND.backend_id, CONTENT, 1.0)
    assert suspects.is_report_due(1.0)
    report = report_of(suspects, 1.0)
    assert report.unanswered == AT_BACKEND
    assert not suspects.is_report_due(1.0 + ATTEMPT_REPORT_RETRY_SECONDS / 2)
    assert suspects.is_report_due(1.0 + ATTEMPT_REPORT_RETRY_SECONDS)
    suspects.acknowledge(report.sequence)
    assert suspects.next_report(2.0) is None


def test_simultaneous_unanswered_attempts_are_reported_together() -> None:
    suspects = SuspectTable()
    suspects.record_unanswered(BACKEND.backend_id, CONTENT, 1.0)
    suspects.next_report(1.0)
    suspects.record_unanswered(BACKEND.backend_id, OTHER, 1.001)
    assert not suspects.is_report_due(1.001)
    assert suspects.is_report_due(1.0 + MINIMUM_ATTEMPT_REPORT_INTERVAL_SECONDS)


def test_crash_report_is_not_delayed_by_a_preceding_attempt_report() -> None:
    suspects = SuspectTable()
    suspects.record_unanswered(BACKEND.backend_id, CONTENT, 1.0)
    suspects.next_report(1.0)
    suspects.record_crash(BACKEND.backend_id, [CONTENT], 1.001)
    assert suspects.is_report_due(1.001)
    assert report_of(suspects, 1.001).unanswered == (), "included in the crash"


def test_attempt_of_a_recently_served_request_is_not_reported() -> None:
    """The losing one of two hedged attempts, which is most of what is abandoned."""
    suspects = SuspectTable()
    suspects.record_served(CONTENT, 1.0)
    suspects.record_unanswered(BACKEND.backend_id, CONTENT, 1.0)
    assert suspects.next_report(1.1) is None
    suspects.record_unanswered(BACKEND.backend_id, CONTENT, 1.1 + RECENTLY_SERVED_SECONDS)
    assert report_of(suspects, 20.0).unanswered == AT_BACKEND


def test_backend_that_is_gone_is_reported_once_even_without_attempts() -> None:
    suspects = SuspectTable()
    assert suspects.record_crash(BACKEND.backend_id, [], 1.0) == ()
    report = report_of(suspects, 1.0)
    assert report.crashes == (BackendCrash(BACKEND.backend_id, ()),)
    assert suspects.is_empty, "no request is suspected"
    suspects.acknowledge(report.sequence)
    suspects.record_crash(BACKEND.backend_id, [], 1.5)
    assert suspects.next_report(1.5) is None
    suspects.record_alive(BACKEND.backend_id)
    suspects.record_crash(BACKEND.backend_id, [], 2.0)
    assert suspects.next_report(2.0) is not None, "it was back and is gone again"


def test_without_announcements_no_digest_is_computed() -> None:
    def must_not_compute() -> ContentDigest:
        raise AssertionError

    for suspects, at in ((SuspectTable(), 1.0), (announcing(), ANNOUNCEMENT_SECONDS + 0.1)):
        suspects.record_send(CallId("call"), BACKEND, must_not_compute, at)
        assert suspects.next_report(at) is None
    other = announcing("another")
    other.record_send(CallId("call"), BACKEND, must_not_compute, 1.0)


def test_announced_attempt_is_reported_in_the_turn_of_its_send() -> None:
    suspects = announcing()
    for number in range(2):
        send(suspects, 1.0 + 0.001 * number, f"call-{number}")
        assert suspects.is_report_due(1.0 + 0.001 * number)
        report_of(suspects, 1.0 + 0.001 * number)


@pytest.mark.parametrize("ends", [False, True], ids=["in flight", "ended"])
def test_announced_attempts_are_reported_while_in_flight(ends: bool) -> None:
    suspects = announcing()
    send(suspects, 1.0)
    assert report_of(suspects, 1.0).in_flight == AT_BACKEND
    if ends:
        suspects.record_end(CallId("call"))
    assert suspects.is_report_due(1.0 + ATTEMPT_REPORT_RETRY_SECONDS)
    assert report_of(suspects, 1.1).in_flight == (() if ends else AT_BACKEND)
    assert suspects.is_report_due(1.3) is not ends


def test_announcement_request_is_applied_once() -> None:
    suspects = announcing()
    suspects.apply_view(SuspectsView(announced_services={"shop": 7}), 9, ANNOUNCEMENT_SECONDS)
    send(suspects, ANNOUNCEMENT_SECONDS + 1.0)
    assert suspects.next_report(ANNOUNCEMENT_SECONDS + 1.0) is None
    suspects.apply_view(SuspectsView(announced_services={"shop": 10}), 10, 20.0)
    send(suspects, 21.0)
    assert suspects.next_report(21.0) is not None
