"""Tries without an answer that the group holds: which count when their server has crashed."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import (
    OUTLIVED_SECONDS,
    UNANSWERED_REFRESH_SECONDS,
    UNANSWERED_RETENTION_SECONDS,
)
from merlinstand.quarantine.unanswered import UNANSWERED_ATTEMPTS_LIMIT, UnansweredTable

SERVER, OTHER = BackendId("s"), BackendId("o")
FIRST, SECOND = ContentDigest("1"), ContentDigest("2")


def tries_at(server: BackendId, *contents: ContentDigest) -> list[UnansweredAttempts]:
    return [UnansweredAttempts(server, contents)]


def table() -> UnansweredTable:
    noted = UnansweredTable()
    noted.record(tries_at(SERVER, FIRST), 10.0)
    noted.record([*tries_at(SERVER, SECOND), *tries_at(OTHER, FIRST)], 12.0)
    return noted


@pytest.mark.parametrize(
    ("heard_at", "now", "expected"),
    [
        pytest.param(None, 12.1, (SECOND, FIRST), id="no heartbeat known"),
        pytest.param(10.0 + OUTLIVED_SECONDS - 0.1, 12.1, (SECOND, FIRST), id="one too soon"),
        pytest.param(10.0 + OUTLIVED_SECONDS, 12.1, (SECOND,), id="the first is outlived"),
        pytest.param(12.0 + OUTLIVED_SECONDS, 13.1, (), id="both are outlived"),
        pytest.param(
            None, 10.1 + UNANSWERED_RETENTION_SECONDS, (SECOND,), id="the first is too old"
        ),
    ],
)
def test_what_was_in_flight_at_a_crash(
    heard_at: float | None, now: float, expected: tuple[ContentDigest, ...]
) -> None:
    assert table().in_flight(SERVER, heard_at, now) == expected


def test_only_what_was_told_long_before_counts_as_judged() -> None:
    assert table().reported_until(SERVER, 11.0) == {FIRST}
    assert table().reported_until(SERVER, 12.0) == {FIRST, SECOND}


def test_the_same_try_is_noted_again_after_a_while() -> None:
    noted = table()
    assert noted.is_recent(SERVER, SECOND, 12.0 + UNANSWERED_REFRESH_SECONDS - 0.1)
    assert not noted.is_recent(SERVER, SECOND, 12.0 + UNANSWERED_REFRESH_SECONDS)
    assert not noted.is_recent(OTHER, SECOND, 12.0)


def test_the_oldest_go_first_when_there_are_too_many() -> None:
    noted = table()
    many = tuple(ContentDigest(f"m{n}") for n in range(UNANSWERED_ATTEMPTS_LIMIT - 2))
    noted.record(tries_at(OTHER, *many), 13.0)
    assert noted.in_flight(SERVER, None, 13.0) == (SECOND,)
    assert len(noted.in_flight(OTHER, None, 13.0)) == UNANSWERED_ATTEMPTS_LIMIT - 1


def test_a_snapshot_keeps_it_whole() -> None:
    restored = UnansweredTable()
    restored.restore(table().stored())
    assert restored.stored() == table().stored()
    assert not restored.is_empty()
