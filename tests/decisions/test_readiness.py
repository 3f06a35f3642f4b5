"""When a gateway near its bounds asks for no new connections."""

import pytest

from merlinstand.decisions.readiness import (
    FULL_THRESHOLD,
    MINIMUM_CHANGE_INTERVAL_SECONDS,
    READY_THRESHOLD,
    Readiness,
)

LOOK_SECONDS = 0.5
PLAYED_SECONDS = 30.0
ALWAYS = (0.0, PLAYED_SECONDS)


def changes(
    shares: list[tuple[float, float]], named: tuple[float, float]
) -> list[tuple[float, bool]]:
    """Give when a gateway changed its mind.

    Args:
        shares: Its load from some times on.
        named: From when until when the leader names it.
    """
    readiness = Readiness()
    found = []
    for step in range(int(PLAYED_SECONDS / LOOK_SECONDS)):
        now = step * LOOK_SECONDS
        readiness.record_load(max((at, share) for at, share in shares if at <= now)[1])
        if readiness.update(now, named[0] <= now < named[1]):
            found.append((now, readiness.is_full))
    return found


@pytest.mark.parametrize(
    ("shares", "named", "expected"),
    [
        pytest.param([(0.0, FULL_THRESHOLD - 0.01)], ALWAYS, [], id="below"),
        pytest.param(
            [(0.0, FULL_THRESHOLD), (1.0, READY_THRESHOLD)],
            ALWAYS,
            [(0.0, True), (MINIMUM_CHANGE_INTERVAL_SECONDS, False)],
            id="short",
        ),
        pytest.param(
            [(0.0, FULL_THRESHOLD), (1.0, READY_THRESHOLD + 0.01), (5.0, READY_THRESHOLD)],
            ALWAYS,
            [(0.0, True), (5.0, False)],
            id="not ready again just below",
        ),
        pytest.param([(0.0, 1.0)], ALWAYS, [(0.0, True)], id="full for long"),
        pytest.param([(0.0, 1.0)], (0.0, 0.0), [], id="others are out"),
        pytest.param(
            [(0.0, 1.0)], (4.0, 12.0), [(4.0, True), (12.0, False)], id="hears no leader any more"
        ),
        pytest.param(
            [(0.0, 1.0)],
            (4.0, 5.0),
            [(4.0, True), (4.0 + MINIMUM_CHANGE_INTERVAL_SECONDS, False)],
            id="named for a moment",
        ),
    ],
)
def test_a_gateway_is_full_early_and_ready_again_late(
    shares: list[tuple[float, float]],
    named: tuple[float, float],
    expected: list[tuple[float, bool]],
) -> None:
    """Uneven shares of callers: one gateway fills up while others have room."""
    assert changes(shares, named) == expected
