"""Whose announced tries count at a crash: those of daemons that have not reported since."""

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

SERVER, OTHER = BackendId("s"), BackendId("o")
DEAD, ALIVE = ContentDigest("d"), ContentDigest("a")
SETTLED = 5.0 + ANNOUNCEMENT_SETTLE_SECONDS


def announced() -> AnnouncedAttempts:
    tries = AnnouncedAttempts()
    tries.update("dead/1", (UnansweredAttempts(SERVER, (DEAD,)),), 4.9)
    tries.update("alive/1", (UnansweredAttempts(SERVER, (ALIVE,)),), 4.9)
    assert tries.record_crash(SERVER, 5.0)
    return tries


@pytest.mark.parametrize(
    "reported",
    [
        pytest.param((), id="nothing is under way any more"),
        pytest.param((UnansweredAttempts(SERVER, (ALIVE,)),), id="it tries the address again"),
    ],
)
def test_a_daemon_that_reports_again_takes_its_tries_back(
    reported: tuple[UnansweredAttempts, ...],
) -> None:
    tries = announced()
    tries.update("alive/1", reported, 5.1)
    assert tries.pop_lost_attempts(SETTLED - 0.01) == {}, "it may report yet"
    assert tries.pop_lost_attempts(SETTLED) == {SERVER: (DEAD,)}
    assert tries.pop_lost_attempts(SETTLED + 1.0) == {}, "once"


def test_only_the_first_word_of_a_crash_counts() -> None:
    """Whoever sends to the address later meets a refusal, and may die of something else."""
    tries = announced()
    tries.pop_lost_attempts(SETTLED)
    tries.update("later/1", (UnansweredAttempts(SERVER, (ALIVE,)),), 6.0)
    assert not tries.record_crash(SERVER, 6.5)
    assert tries.pop_lost_attempts(7.5) == {}


def test_a_word_before_the_first_one_is_settled_counts_as_well() -> None:
    """Where servers keep their ids the first word may be of the start before."""
    tries = announced()
    tries.update("alive/1", (), 5.02)
    tries.update("later/1", (UnansweredAttempts(SERVER, (ALIVE,)),), 5.05)
    assert not tries.record_crash(SERVER, 5.1)
    assert tries.pop_lost_attempts(SETTLED) == {SERVER: (DEAD,)}
    assert tries.pop_lost_attempts(SETTLED + 0.11) == {SERVER: (DEAD, ALIVE)}
    assert tries.pop_lost_attempts(SETTLED + 1.0) == {}, "once"


def test_what_was_at_other_servers_is_left_alone() -> None:
    tries = announced()
    tries.update("dead/2", (UnansweredAttempts(OTHER, (ALIVE,)),), 4.9)
    assert tries.pop_lost_attempts(SETTLED) == {SERVER: (DEAD, ALIVE)}


@pytest.mark.parametrize(
    ("silence_seconds", "expected"),
    [
        pytest.param(SENDER_SILENCE_SECONDS - 0.1, False, id="heard just now"),
        pytest.param(SENDER_SILENCE_SECONDS + 0.1, True, id="three pulls missing"),
        pytest.param(LOST_SENDER_SECONDS + SENDER_SILENCE_SECONDS + 1.0, False, id="long gone"),
    ],
)
def test_a_silent_daemon_may_have_died_lately(silence_seconds: float, expected: bool) -> None:
    assert LostSenders(lambda _now: [0.1, silence_seconds]).may_have_died(100.0) is expected


def test_a_daemon_that_starts_again_has_died_and_a_new_leader_cannot_tell() -> None:
    senders = LostSenders(lambda _now: ())
    assert not senders.may_have_died(100.0)
    senders.record_restart(100.0)
    assert senders.may_have_died(100.0 + LOST_SENDER_SECONDS)
    assert not senders.may_have_died(100.1 + LOST_SENDER_SECONDS)
    senders.begin(200.0)
    assert senders.may_have_died(201.0)
