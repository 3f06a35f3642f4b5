"""A daemon's side of suspects: what counts at once, what is reported until agreed, what vouches."""

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

GUILTY, OTHER = ContentDigest("g"), ContentDigest("o")


def server(number: int) -> BackendId:
    return BackendId(f"b{number}")


def table(**agreed: SuspectStatus) -> SuspectTable:
    made = SuspectTable()
    made.begin("d/1")
    if agreed:
        made.apply_view(view(**agreed), 1, 0.0)
    return made


def view(trial: Trial | None = None, **agreed: SuspectStatus) -> SuspectsView:
    return SuspectsView({ContentDigest(c): Suspicion(s) for c, s in agreed.items()}, trial)


def report_of(suspects: SuspectTable, now: float) -> SuspectReport:
    data = suspects.next_report(now)
    assert data is not None
    return decode_suspect_report(data)


def test_nothing_is_held_or_reported_at_first() -> None:
    suspects = table()
    assert suspects.is_empty
    assert suspects.status(GUILTY) is None
    assert not suspects.is_report_due(0.0)
    assert suspects.next_report(0.0) is None


def test_what_this_daemon_saw_counts_at_once_also_without_a_leader() -> None:
    suspects = table()
    seen = []
    for number in range(3):
        suspects.record_crash(server(number), [GUILTY], 1.0)
        seen.append(suspects.status(GUILTY))
    assert seen == [SuspectStatus.SUSPECT, SuspectStatus.REPEAT_SUSPECT, SuspectStatus.QUARANTINED]
    assert suspects.status(OTHER) is None
    assert suspects.has_crashed(server(1))


def test_a_crash_that_others_saw_and_this_daemon_too_counts_once() -> None:
    suspects = table()
    both = SuspectsView({GUILTY: Suspicion(SuspectStatus.REPEAT_SUSPECT, (server(1), server(2)))})
    suspects.apply_view(both, 1, 0.0)
    suspects.record_crash(server(2), [GUILTY], 1.0)
    assert suspects.status(GUILTY) is SuspectStatus.REPEAT_SUSPECT
    suspects.record_crash(server(3), [GUILTY], 1.0)
    assert suspects.status(GUILTY) is SuspectStatus.QUARANTINED
    assert suspects.has_crashed(server(1))


def test_what_is_new_is_reported_at_once_and_again_until_it_is_agreed() -> None:
    suspects = table()
    suspects.record_crash(server(1), [GUILTY], 1.0)
    assert suspects.is_report_due(1.0)
    first = report_of(suspects, 1.0)
    assert not suspects.is_report_due(1.0)
    assert suspects.is_report_due(1.0 + REPORT_RETRY_SECONDS)
    suspects.record_crash(server(2), [GUILTY], 1.0)
    assert not suspects.is_report_due(1.01), "reported together with what else comes"
    assert suspects.is_report_due(1.05)
    assert len(report_of(suspects, 1.05).crashes) == 2
    suspects.acknowledge(first.sequence)
    [left] = report_of(suspects, 1.2).crashes
    assert left.backend_id == server(2)
    suspects.acknowledge(report_of(suspects, 1.3).sequence)
    assert suspects.next_report(2.0) is None
    assert not suspects.is_report_due(9.0)


def test_only_what_was_reported_is_taken_for_agreed() -> None:
    suspects = table()
    for number in range(100):
        suspects.record_crash(server(number), [ContentDigest(f"c{number}")], 1.0)
    rounds = 0
    while (data := suspects.next_report(float(rounds))) is not None:
        suspects.acknowledge(decode_suspect_report(data).sequence)
        rounds += 1
    assert rounds == 2


def test_what_waits_for_a_leader_is_bounded() -> None:
    suspects = table()
    for number in range(PENDING_LIMIT + 9):
        suspects.record_crash(server(number), [ContentDigest(f"c{number}")], 1.0)
    assert not suspects.has_crashed(server(8))
    assert suspects.has_crashed(server(9))


def test_a_suspect_that_is_served_is_free_here_at_once_and_reported_so() -> None:
    suspects = table(g=SuspectStatus.QUARANTINED)
    suspects.record_served(GUILTY, 1.0)
    assert suspects.status(GUILTY) is None
    assert report_of(suspects, 1.0).served == (GUILTY,)


def test_a_crash_after_that_counts_again() -> None:
    suspects = table(g=SuspectStatus.SUSPECT)
    suspects.record_served(GUILTY, 1.0)
    suspects.record_crash(server(1), [GUILTY], 2.0 + RECENTLY_SERVED_SECONDS)
    assert suspects.status(GUILTY) is SuspectStatus.SUSPECT
    assert report_of(suspects, 3.0).served == ()


@pytest.mark.parametrize(
    ("served_before", "is_suspected"),
    [
        pytest.param(0.5, False, id="just before"),
        pytest.param(RECENTLY_SERVED_SECONDS, False, id="at the limit"),
        pytest.param(RECENTLY_SERVED_SECONDS + 0.1, True, id="too long ago"),
    ],
)
def test_what_was_served_lately_did_not_crash_the_server(
    served_before: float, is_suspected: bool
) -> None:
    suspects = table()
    suspects.record_served(GUILTY, 100.0 - served_before)
    suspected = suspects.record_crash(server(1), [GUILTY, OTHER], 100.0)
    assert suspected == ((GUILTY, OTHER) if is_suspected else (OTHER,))
    assert (suspects.status(GUILTY) is not None) == is_suspected


def test_what_another_daemon_suspects_and_this_one_saw_served_is_reported() -> None:
    suspects = table()
    suspects.record_served(GUILTY, 5.0)
    assert not suspects.is_report_due(5.0)
    suspects.apply_view(view(g=SuspectStatus.UNPROVEN, o=SuspectStatus.SUSPECT), 1, 6.0)
    assert suspects.status(GUILTY) is None
    assert report_of(suspects, 6.0).served == (GUILTY,)


def test_what_was_served_lately_is_bounded() -> None:
    suspects = table()
    for number in range(SERVED_LIMIT + 1):
        suspects.record_served(ContentDigest(f"c{number}"), 1.0)
    assert suspects.record_crash(server(1), [ContentDigest("c0"), ContentDigest("c1")], 1.0) == (
        "c0",
    )


def test_an_older_view_never_replaces_a_newer_one() -> None:
    suspects = table()
    assert suspects.apply_view(view(g=SuspectStatus.QUARANTINED), 7, 0.0)
    assert not suspects.apply_view(view(), 6, 0.0)
    assert suspects.status(GUILTY) is SuspectStatus.QUARANTINED


@pytest.mark.parametrize(
    ("trial", "has_permit"),
    [
        pytest.param(Trial(1, GUILTY, "d/1"), True, id="for it, to this run"),
        pytest.param(Trial(1, GUILTY, "d/0"), False, id="to an earlier run of this daemon"),
        pytest.param(Trial(1, GUILTY, "e/1"), False, id="to another daemon"),
        pytest.param(Trial(1, OTHER, "d/1"), False, id="for another request"),
    ],
)
def test_a_permit_is_for_one_request_and_one_run_of_a_daemon(
    trial: Trial, has_permit: bool
) -> None:
    suspects = table()
    suspects.apply_view(view(trial, g=SuspectStatus.UNPROVEN), 1, 0.0)
    assert suspects.has_permit(GUILTY) == has_permit
    assert (suspects.trial_wait_seconds(GUILTY, 60.0) == 0.0) == has_permit


def test_a_permit_is_used_once() -> None:
    suspects = table()
    suspects.apply_view(view(Trial(4, GUILTY, "d/1"), g=SuspectStatus.UNPROVEN), 1, 0.0)
    suspects.use_permit()
    assert not suspects.has_permit(GUILTY)
    suspects.apply_view(view(Trial(5, GUILTY, "d/1"), g=SuspectStatus.UNPROVEN), 2, 0.0)
    assert suspects.has_permit(GUILTY)


def test_a_trial_is_not_requested_before_the_pause_is_over() -> None:
    suspects = table()
    suspects.apply_view(view(g=SuspectStatus.UNPROVEN), 1, 10.0)
    suspects.apply_view(view(g=SuspectStatus.UNPROVEN, o=SuspectStatus.SUSPECT), 2, 11.0)
    assert suspects.trial_wait_seconds(GUILTY, 11.0) == pytest.approx(TRIAL_DELAY_SECONDS - 1.0)
    assert suspects.trial_wait_seconds(GUILTY, 10.0 + TRIAL_DELAY_SECONDS) == 0.0


def test_a_trial_is_requested_until_nothing_waits_any_more() -> None:
    suspects = table(g=SuspectStatus.UNPROVEN)
    suspects.request_trial(GUILTY)
    assert suspects.is_report_due(0.0)
    assert report_of(suspects, 0.0).trial_requests == (GUILTY,)
    assert suspects.is_report_due(REPORT_RETRY_SECONDS)
    suspects.withdraw_trial_request(GUILTY)
    assert not suspects.is_report_due(REPORT_RETRY_SECONDS)


def test_a_malformed_message_raises_what_its_reader_catches() -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_suspect_report(b"\xc1")
