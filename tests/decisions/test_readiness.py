"""When a gateway near its limits reports itself as full."""

import pytest

from merlinstand.decisions.readiness import (
    FULL_THRESHOLD,
    MINIMUM_CHANGE_INTERVAL_SECONDS,
    READY_THRESHOLD,
    Readiness,
)

STEP_SECONDS = 0.5
RUN_SECONDS = 30.0
ALWAYS = (0.0, RUN_SECONDS)


def changes(
    loads: list[tuple[float, float]], permitted: tuple[float, float]
) -> list[tuple[float, bool]]:
    """Return the times and values of changes of `is_full`.

    Args:
        loads: Its load from each time on.
        permitted: Period in which the leader permits it to be full.
    """
    readiness = Readiness()
    changed = []
    for step in range(int(RUN_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        readiness.record_load(max((at, load) for at, load in loads if at <= now)[1])
        if readiness.update(now, permitted[0] <= now < permitted[1]):
            changed.append((now, readiness.is_full))
    return changed


@pytest.mark.parametrize(
    ("loads", "permitted", "expected"),
    [
        pytest.param([(0.0, FULL_THRESHOLD - 0.01)], ALWAYS, [], id="below the full threshold"),
        pytest.param(
            [(0.0, FULL_THRESHOLD), (1.0, READY_THRESHOLD)],
            ALWAYS,
            [(0.0, True), (MINIMUM_CHANGE_INTERVAL_SECONDS, False)],
            id="full for a short time",
        ),
        pytest.param(
            [(0.0, FULL_THRESHOLD), (1.0, READY_THRESHOLD + 0.01), (5.0, READY_THRESHOLD)],
            ALWAYS,
            [(0.0, True), (5.0, False)],
            id="not ready above the ready threshold",
        ),
        pytest.param([(0.0, 1.0)], ALWAYS, [(0.0, True)], id="full all the time"),
        pytest.param([(0.0, 1.0)], (0.0, 0.0), [], id="not permitted"),
        pytest.param([(0.0, 1.0)], (4.0, 12.0), [(4.0, True), (12.0, False)], id="permission ends"),
        pytest.param(
            [(0.0, 1.0)],
            (4.0, 5.0),
            [(4.0, True), (4.0 + MINIMUM_CHANGE_INTERVAL_SECONDS, False)],
            id="permitted for a short time",
        ),
    ],
)
def test_full_and_ready_thresholds_with_permission(
    loads: list[tuple[float, float]],
    permitted: tuple[float, float],
    expected: list[tuple[float, bool]],
) -> None:
    """One gateway fills up, and the leader permits it to be full for a period."""
    assert changes(loads, permitted) == expected
