"""At a crash, announced attempts count for daemons that have not reported since."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.in_flight import AnnouncedAttempts
from merlinstand.quarantine.lost_senders import LostSenders
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import (
    ANNOUNCEMENT_SETTLE_SECONDS,
    LOST_SENDER_SECONDS,
    SENDER_SILENCE_SECONDS,
)

BACKEND, OTHER = BackendId("s"), BackendId("o")
DEAD, ALIVE = ContentDigest("d"), ContentDigest("a")
SETTLED = 5.0 + ANNOUNCEMENT_SETTLE_SECONDS


def announced() -> AnnouncedAttempts:
    attempts = AnnouncedAttempts()
    attempts.update("dead/1", (UnansweredAttempts(BACKEND, (DEAD,)),), 4.9)
    attempts.update("alive/1", (UnansweredAttempts(BACKEND, (ALIVE,)),), 4.9)
    assert attempts.record_crash(BACKEND, 5.0)
    return attempts


@pytest.mark.parametrize(
    "reported",
    [
        pytest.param((), id="no attempts in flight"),
        pytest.param(
            (UnansweredAttempts(BACKEND, (ALIVE,)),), id="new attempt at the same address"
        ),
    ],
)
def test_new_report_replaces_the_attempts_of_a_live_daemon(
    reported: tuple[UnansweredAttempts, ...],
) -> None:
    attempts = announced()
    attempts.update("alive/1", reported, 5.1)
    assert attempts.pop_lost_attempts(SETTLED - 0.01) == {}, "it may still report"
    assert attempts.pop_lost_attempts(SETTLED) == {BACKEND: (DEAD,)}
    assert attempts.pop_lost_attempts(SETTLED + 1.0) == {}, "returned once"


def test_only_the_first_report_of_a_crash_counts() -> None:
    """A daemon that sends to the address later is refused, and may die of another cause."""
    attempts = announced()
    attempts.pop_lost_attempts(SETTLED)
    attempts.update("later/1", (UnansweredAttempts(BACKEND, (ALIVE,)),), 6.0)
    assert not attempts.record_crash(BACKEND, 6.5)
    assert attempts.pop_lost_attempts(7.5) == {}


def test_report_before_the_first_is_settled_counts_too() -> None:
    """Where backends keep their ids, the first report may concern the previous start."""
    attempts = announced()
    attempts.update("alive/1", (), 5.02)
    attempts.update("later/1", (UnansweredAttempts(BACKEND, (ALIVE,)),), 5.05)
    assert not attempts.record_crash(BACKEND, 5.1)
    assert attempts.pop_lost_attempts(SETTLED) == {BACKEND: (DEAD,)}
    assert attempts.pop_lost_attempts(SETTLED + 0.11) == {BACKEND: (DEAD, ALIVE)}
    assert attempts.pop_lost_attempts(SETTLED + 1.0) == {}, "returned once"


def test_attempts_at_other_backends_are_not_lost() -> None:
    attempts = announced()
    attempts.update("dead/2", (UnansweredAttempts(OTHER, (ALIVE,)),), 4.9)
    assert attempts.pop_lost_attempts(SETTLED) == {BACKEND: (DEAD, ALIVE)}


@pytest.mark.parametrize(
    ("silence_seconds", "expected"),
    [
        pytest.param(SENDER_SILENCE_SECONDS - 0.1, False, id="heard recently"),
        pytest.param(SENDER_SILENCE_SECONDS + 0.1, True, id="three pulls missing"),
        pytest.param(LOST_SENDER_SECONDS + SENDER_SILENCE_SECONDS + 1.0, False, id="died long ago"),
    ],
)
def test_silent_daemon_may_have_died_recently(silence_seconds: float, expected: bool) -> None:
    assert LostSenders(lambda _now: [0.1, silence_seconds]).may_have_died(100.0) is expected


def test_restarted_daemon_and_new_leadership_count_as_possible_loss() -> None:
    senders = LostSenders(lambda _now: ())
    assert not senders.may_have_died(100.0)
    senders.record_restart(100.0)
    assert senders.may_have_died(100.0 + LOST_SENDER_SECONDS)
    assert not senders.may_have_died(100.1 + LOST_SENDER_SECONDS)
    senders.begin(200.0)
    assert senders.may_have_died(201.0)
