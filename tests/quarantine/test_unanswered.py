"""Which replicated unanswered attempts count when their backend has crashed."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import (
    OUTLIVED_SECONDS,
    UNANSWERED_REFRESH_SECONDS,
    UNANSWERED_RETENTION_SECONDS,
)
from merlinstand.quarantine.unanswered import UNANSWERED_ATTEMPTS_LIMIT, UnansweredTable

BACKEND, OTHER = BackendId("s"), BackendId("o")
FIRST, SECOND = ContentDigest("1"), ContentDigest("2")


def at_backend(backend_id: BackendId, *contents: ContentDigest) -> list[UnansweredAttempts]:
    return [UnansweredAttempts(backend_id, contents)]


def table() -> UnansweredTable:
    recorded = UnansweredTable()
    recorded.record(at_backend(BACKEND, FIRST), 10.0)
    recorded.record([*at_backend(BACKEND, SECOND), *at_backend(OTHER, FIRST)], 12.0)
    return recorded


@pytest.mark.parametrize(
    ("heartbeat_at", "now", "expected"),
    [
        pytest.param(None, 12.1, (SECOND, FIRST), id="no heartbeat known"),
        pytest.param(
            10.0 + OUTLIVED_SECONDS - 0.1, 12.1, (SECOND, FIRST), id="heartbeat too early"
        ),
        pytest.param(10.0 + OUTLIVED_SECONDS, 12.1, (SECOND,), id="first attempt outlived"),
        pytest.param(12.0 + OUTLIVED_SECONDS, 13.1, (), id="both attempts outlived"),
        pytest.param(
            None, 10.1 + UNANSWERED_RETENTION_SECONDS, (SECOND,), id="first attempt too old"
        ),
    ],
)
def test_attempts_in_flight_at_a_crash(
    heartbeat_at: float | None, now: float, expected: tuple[ContentDigest, ...]
) -> None:
    assert table().in_flight(BACKEND, heartbeat_at, now) == expected


def test_reported_until_returns_attempts_up_to_the_time() -> None:
    assert table().reported_until(BACKEND, 11.0) == {FIRST}
    assert table().reported_until(BACKEND, 12.0) == {FIRST, SECOND}


def test_attempt_is_recorded_again_after_the_refresh_interval() -> None:
    recorded = table()
    assert recorded.is_recent(BACKEND, SECOND, 12.0 + UNANSWERED_REFRESH_SECONDS - 0.1)
    assert not recorded.is_recent(BACKEND, SECOND, 12.0 + UNANSWERED_REFRESH_SECONDS)
    assert not recorded.is_recent(OTHER, SECOND, 12.0)


def test_oldest_attempts_are_dropped_beyond_the_limit() -> None:
    recorded = table()
    many = tuple(ContentDigest(f"m{n}") for n in range(UNANSWERED_ATTEMPTS_LIMIT - 2))
    recorded.record(at_backend(OTHER, *many), 13.0)
    assert recorded.in_flight(BACKEND, None, 13.0) == (SECOND,)
    assert len(recorded.in_flight(OTHER, None, 13.0)) == UNANSWERED_ATTEMPTS_LIMIT - 1


def test_snapshot_restores_all_attempts() -> None:
    restored = UnansweredTable()
    restored.restore(table().stored())
    assert restored.stored() == table().stored()
    assert not restored.is_empty()
