"""A daemon's suspects: local status, reports until acknowledged, recently served requests."""

import msgspec
import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.follower import (
    PENDING_LIMIT,
    REPORT_RETRY_SECONDS,
    SERVED_LIMIT,
    SuspectTable,
)
from merlinstand.quarantine.messages import (
    SuspectReport,
    SuspectsView,
    Suspicion,
    Trial,
    decode_suspect_report,
)
from merlinstand.quarantine.rules import RECENTLY_SERVED_SECONDS, TRIAL_DELAY_SECONDS

CULPRIT, OTHER = ContentDigest("g"), ContentDigest("o")


def backend_id(number: int) -> BackendId:
    return BackendId(f"b{number}")


def table(**committed: SuspectStatus) -> SuspectTable:
    made = SuspectTable()
    made.begin("d/1")
    if committed:
        made.apply_view(view(**committed), 1, 0.0)
    return made


def view(trial: Trial | None = None, **committed: SuspectStatus) -> SuspectsView:
    return SuspectsView({ContentDigest(c): Suspicion(s) for c, s in committed.items()}, trial)


def report_of(suspects: SuspectTable, now: float) -> SuspectReport:
    data = suspects.next_report(now)
    assert data is not None
    return decode_suspect_report(data)


def test_empty_table_has_no_status_and_no_report() -> None:
    suspects = table()
    assert suspects.is_empty
    assert suspects.status(CULPRIT) is None
    assert not suspects.is_report_due(0.0)
    assert suspects.next_report(0.0) is None


def test_local_crashes_count_without_a_leader() -> None:
    suspects = table()
    seen = []
    for number in range(3):
        suspects.record_crash(backend_id(number), [CULPRIT], 1.0)
        seen.append(suspects.status(CULPRIT))
    assert seen == [SuspectStatus.SUSPECT, SuspectStatus.REPEAT_SUSPECT, SuspectStatus.QUARANTINED]
    assert suspects.status(OTHER) is None
    assert suspects.has_crashed(backend_id(1))


def test_crash_seen_by_several_daemons_counts_once() -> None:
    suspects = table()
    both = SuspectsView(
        {CULPRIT: Suspicion(SuspectStatus.REPEAT_SUSPECT, (backend_id(1), backend_id(2)))}
    )
    suspects.apply_view(both, 1, 0.0)
    suspects.record_crash(backend_id(2), [CULPRIT], 1.0)
    assert suspects.status(CULPRIT) is SuspectStatus.REPEAT_SUSPECT
    suspects.record_crash(backend_id(3), [CULPRIT], 1.0)
    assert suspects.status(CULPRIT) is SuspectStatus.QUARANTINED
    assert suspects.has_crashed(backend_id(1))


def test_changes_are_reported_at_once_and_repeated_until_acknowledged() -> None:
    suspects = table()
    suspects.record_crash(backend_id(1), [CULPRIT], 1.0)
    assert suspects.is_report_due(1.0)
    first = report_of(suspects, 1.0)
    assert not suspects.is_report_due(1.0)
    assert suspects.is_report_due(1.0 + REPORT_RETRY_SECONDS)
    suspects.record_crash(backend_id(2), [CULPRIT], 1.0)
    assert not suspects.is_report_due(1.01), "within the minimum report interval"
    assert suspects.is_report_due(1.05)
    assert len(report_of(suspects, 1.05).crashes) == 2
    suspects.acknowledge(first.sequence)
    [left] = report_of(suspects, 1.2).crashes
    assert left.backend_id == backend_id(2)
    suspects.acknowledge(report_of(suspects, 1.3).sequence)
    assert suspects.next_report(2.0) is None
    assert not suspects.is_report_due(9.0)


def test_only_reported_changes_are_acknowledged() -> None:
    suspects = table()
    for number in range(100):
        suspects.record_crash(backend_id(number), [ContentDigest(f"c{number}")], 1.0)
    rounds = 0
    while (data := suspects.next_report(float(rounds))) is not None:
        suspects.acknowledge(decode_suspect_report(data).sequence)
        rounds += 1
    assert rounds == 2


def test_pending_crashes_are_bounded() -> None:
    suspects = table()
    for number in range(PENDING_LIMIT + 9):
        suspects.record_crash(backend_id(number), [ContentDigest(f"c{number}")], 1.0)
    assert not suspects.has_crashed(backend_id(8))
    assert suspects.has_crashed(backend_id(9))


def test_served_suspect_is_cleared_locally_and_reported() -> None:
    suspects = table(g=SuspectStatus.QUARANTINED)
    suspects.record_served(CULPRIT, 1.0)
    assert suspects.status(CULPRIT) is None
    assert report_of(suspects, 1.0).served == (CULPRIT,)


def test_crash_after_clearing_counts_again() -> None:
    suspects = table(g=SuspectStatus.SUSPECT)
    suspects.record_served(CULPRIT, 1.0)
    suspects.record_crash(backend_id(1), [CULPRIT], 2.0 + RECENTLY_SERVED_SECONDS)
    assert suspects.status(CULPRIT) is SuspectStatus.SUSPECT
    assert report_of(suspects, 3.0).served == ()


@pytest.mark.parametrize(
    ("served_before", "is_suspected"),
    [
        pytest.param(0.5, False, id="just before"),
        pytest.param(RECENTLY_SERVED_SECONDS, False, id="at the limit"),
        pytest.param(RECENTLY_SERVED_SECONDS + 0.1, True, id="too long ago"),
    ],
)
def test_recently_served_request_is_not_suspected(served_before: float, is_suspected: bool) -> None:
    suspects = table()
    suspects.record_served(CULPRIT, 100.0 - served_before)
    suspected = suspects.record_crash(backend_id(1), [CULPRIT, OTHER], 100.0)
    assert suspected == ((CULPRIT, OTHER) if is_suspected else (OTHER,))
    assert (suspects.status(CULPRIT) is not None) == is_suspected


def test_suspect_of_another_daemon_that_was_served_here_is_reported() -> None:
    suspects = table()
    suspects.record_served(CULPRIT, 5.0)
    assert not suspects.is_report_due(5.0)
    suspects.apply_view(view(g=SuspectStatus.UNPROVEN, o=SuspectStatus.SUSPECT), 1, 6.0)
    assert suspects.status(CULPRIT) is None
    assert report_of(suspects, 6.0).served == (CULPRIT,)


def test_recently_served_requests_are_bounded() -> None:
    suspects = table()
    for number in range(SERVED_LIMIT + 1):
        suspects.record_served(ContentDigest(f"c{number}"), 1.0)
    assert suspects.record_crash(
        backend_id(1), [ContentDigest("c0"), ContentDigest("c1")], 1.0
    ) == ("c0",)


def test_older_view_does_not_replace_a_newer_one() -> None:
    suspects = table()
    assert suspects.apply_view(view(g=SuspectStatus.QUARANTINED), 7, 0.0)
    assert not suspects.apply_view(view(), 6, 0.0)
    assert suspects.status(CULPRIT) is SuspectStatus.QUARANTINED


@pytest.mark.parametrize(
    ("trial", "has_permit"),
    [
        pytest.param(Trial(1, CULPRIT, "d/1"), True, id="for this request and run"),
        pytest.param(Trial(1, CULPRIT, "d/0"), False, id="for an earlier run of this daemon"),
        pytest.param(Trial(1, CULPRIT, "e/1"), False, id="for another daemon"),
        pytest.param(Trial(1, OTHER, "d/1"), False, id="for another request"),
    ],
)
def test_permit_is_bound_to_one_request_and_one_daemon_run(trial: Trial, has_permit: bool) -> None:
    suspects = table()
    suspects.apply_view(view(trial, g=SuspectStatus.UNPROVEN), 1, 0.0)
    assert suspects.has_permit(CULPRIT) == has_permit
    assert (suspects.trial_wait_seconds(CULPRIT, 60.0) == 0.0) == has_permit


def test_permit_can_be_used_once() -> None:
    suspects = table()
    suspects.apply_view(view(Trial(4, CULPRIT, "d/1"), g=SuspectStatus.UNPROVEN), 1, 0.0)
    suspects.use_permit()
    assert not suspects.has_permit(CULPRIT)
    suspects.apply_view(view(Trial(5, CULPRIT, "d/1"), g=SuspectStatus.UNPROVEN), 2, 0.0)
    assert suspects.has_permit(CULPRIT)


def test_trial_is_not_requested_before_the_delay() -> None:
    suspects = table()
    suspects.apply_view(view(g=SuspectStatus.UNPROVEN), 1, 10.0)
    suspects.apply_view(view(g=SuspectStatus.UNPROVEN, o=SuspectStatus.SUSPECT), 2, 11.0)
    assert suspects.trial_wait_seconds(CULPRIT, 11.0) == pytest.approx(TRIAL_DELAY_SECONDS - 1.0)
    assert suspects.trial_wait_seconds(CULPRIT, 10.0 + TRIAL_DELAY_SECONDS) == 0.0


def test_trial_is_requested_until_withdrawn() -> None:
    suspects = table(g=SuspectStatus.UNPROVEN)
    suspects.request_trial(CULPRIT)
    assert suspects.is_report_due(0.0)
    assert report_of(suspects, 0.0).trial_requests == (CULPRIT,)
    assert suspects.is_report_due(REPORT_RETRY_SECONDS)
    suspects.withdraw_trial_request(CULPRIT)
    assert not suspects.is_report_due(REPORT_RETRY_SECONDS)


def test_malformed_report_raises_decode_error() -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_suspect_report(b"\xc1")
