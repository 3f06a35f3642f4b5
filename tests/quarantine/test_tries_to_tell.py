"""When a daemon tells of its tries, and for how long."""

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.messages import (
    BackendCrash,
    SuspectReport,
    SuspectsView,
    UnansweredAttempts,
    decode_suspect_report,
)
from merlinstand.quarantine.rules import ANNOUNCEMENT_SECONDS, RECENTLY_SERVED_SECONDS
from merlinstand.quarantine.tries_to_tell import (
    ATTEMPT_REPORT_RETRY_SECONDS,
    MIN_ATTEMPT_REPORT_INTERVAL_SECONDS,
)

SERVER = Backend(backend_id=BackendId("s"), service="shop", address="10.0.0.1:1")
CONTENT, OTHER = ContentDigest("c"), ContentDigest("o")
AT_SERVER = (UnansweredAttempts(SERVER.backend_id, (CONTENT,)),)


def report_of(suspects: SuspectTable, now: float) -> SuspectReport:
    data = suspects.next_report(now)
    assert data is not None
    return decode_suspect_report(data)


def announcing(service: str = "shop") -> SuspectTable:
    suspects = SuspectTable()
    suspects.apply_view(SuspectsView(announced_services={service: 7}), 7, 0.0)
    return suspects


def send(suspects: SuspectTable, now: float, call: str = "call") -> None:
    suspects.record_send(CallId(call), SERVER, lambda: CONTENT, now)


def test_a_try_without_an_answer_is_told_at_once_until_it_is_held() -> None:
    suspects = SuspectTable()
    suspects.record_unanswered(SERVER.backend_id, CONTENT, 1.0)
    assert suspects.is_report_due(1.0)
    report = report_of(suspects, 1.0)
    assert report.unanswered == AT_SERVER
    assert not suspects.is_report_due(1.0 + ATTEMPT_REPORT_RETRY_SECONDS / 2)
    assert suspects.is_report_due(1.0 + ATTEMPT_REPORT_RETRY_SECONDS)
    suspects.acknowledge(report.sequence)
    assert suspects.next_report(2.0) is None


def test_many_at_once_are_told_together() -> None:
    suspects = SuspectTable()
    suspects.record_unanswered(SERVER.backend_id, CONTENT, 1.0)
    suspects.next_report(1.0)
    suspects.record_unanswered(SERVER.backend_id, OTHER, 1.001)
    assert not suspects.is_report_due(1.001)
    assert suspects.is_report_due(1.0 + MIN_ATTEMPT_REPORT_INTERVAL_SECONDS)


def test_a_crash_is_not_put_off_by_what_was_told_just_before() -> None:
    suspects = SuspectTable()
    suspects.record_unanswered(SERVER.backend_id, CONTENT, 1.0)
    suspects.next_report(1.0)
    suspects.record_crash(SERVER.backend_id, [CONTENT], 1.001)
    assert suspects.is_report_due(1.001)
    assert report_of(suspects, 1.001).unanswered == (), "it is in the crash"


def test_what_was_served_just_before_is_not_told() -> None:
    """The one of two tries that lost: most of what is given up."""
    suspects = SuspectTable()
    suspects.record_served(CONTENT, 1.0)
    suspects.record_unanswered(SERVER.backend_id, CONTENT, 1.0)
    assert suspects.next_report(1.1) is None
    suspects.record_unanswered(SERVER.backend_id, CONTENT, 1.1 + RECENTLY_SERVED_SECONDS)
    assert report_of(suspects, 20.0).unanswered == AT_SERVER


def test_a_server_that_is_gone_is_told_once_though_nothing_was_there() -> None:
    suspects = SuspectTable()
    assert suspects.record_crash(SERVER.backend_id, [], 1.0) == ()
    report = report_of(suspects, 1.0)
    assert report.crashes == (BackendCrash(SERVER.backend_id, ()),)
    assert suspects.is_empty, "nothing is held against any request"
    suspects.acknowledge(report.sequence)
    suspects.record_crash(SERVER.backend_id, [], 1.5)
    assert suspects.next_report(1.5) is None
    suspects.record_alive(SERVER.backend_id)
    suspects.record_crash(SERVER.backend_id, [], 2.0)
    assert suspects.next_report(2.0) is not None, "it was back, and is gone again"


def test_nothing_is_announced_in_calm_and_no_content_is_asked_for() -> None:
    def must_not_ask() -> ContentDigest:
        raise AssertionError

    for suspects, at in ((SuspectTable(), 1.0), (announcing(), ANNOUNCEMENT_SECONDS + 0.1)):
        suspects.record_send(CallId("call"), SERVER, must_not_ask, at)
        assert suspects.next_report(at) is None
    other = announcing("another")
    other.record_send(CallId("call"), SERVER, must_not_ask, 1.0)


def test_an_announced_try_leaves_in_the_turn_of_its_send() -> None:
    suspects = announcing()
    for number in range(2):
        send(suspects, 1.0 + 0.001 * number, f"call-{number}")
        assert suspects.is_report_due(1.0 + 0.001 * number)
        report_of(suspects, 1.0 + 0.001 * number)


@pytest.mark.parametrize("ends", [False, True], ids=["under way", "ended"])
def test_announced_tries_are_told_as_long_as_they_are_under_way(ends: bool) -> None:
    suspects = announcing()
    send(suspects, 1.0)
    assert report_of(suspects, 1.0).in_flight == AT_SERVER
    if ends:
        suspects.record_end(CallId("call"))
    assert suspects.is_report_due(1.0 + ATTEMPT_REPORT_RETRY_SECONDS)
    assert report_of(suspects, 1.1).in_flight == (() if ends else AT_SERVER)
    assert suspects.is_report_due(1.3) is not ends


def test_one_sign_asks_for_announcements_once() -> None:
    suspects = announcing()
    suspects.apply_view(SuspectsView(announced_services={"shop": 7}), 9, ANNOUNCEMENT_SECONDS)
    send(suspects, ANNOUNCEMENT_SECONDS + 1.0)
    assert suspects.next_report(ANNOUNCEMENT_SECONDS + 1.0) is None
    suspects.apply_view(SuspectsView(announced_services={"shop": 10}), 10, 20.0)
    send(suspects, 21.0)
    assert suspects.next_report(21.0) is not None
