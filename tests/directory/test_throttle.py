"""Acts that come alone are done at once; those that come in bursts are done together."""

import pytest

from merlinstand.kernel.effects import Effect, LogEvent, SetTimer
from merlinstand.kernel.throttle import Throttle

PAUSE_SECONDS = 0.5
ACTED: list[Effect] = [LogEvent("acted")]
WAITS: list[Effect] = [SetTimer("later", 0.25)]


def throttle_that_acted_at(now: float) -> Throttle:
    throttle = Throttle("later", PAUSE_SECONDS)
    throttle.record_run(now)
    return throttle


@pytest.mark.parametrize(
    ("throttle", "now", "expected"),
    [
        pytest.param(Throttle("later", PAUSE_SECONDS), 0.0, ACTED, id="the first act"),
        pytest.param(throttle_that_acted_at(1.0), 1.25, WAITS, id="within the pause"),
        pytest.param(throttle_that_acted_at(1.0), 1.5, ACTED, id="when the pause ends"),
        pytest.param(throttle_that_acted_at(1.0), 9.0, ACTED, id="after a quiet time"),
    ],
)
def test_an_act_waits_only_for_the_end_of_the_pause(
    throttle: Throttle, now: float, expected: list[Effect]
) -> None:
    assert throttle.run_or_schedule(lambda _now: ACTED, now) == expected


def test_after_a_reset_the_next_act_is_done_at_once() -> None:
    throttle = throttle_that_acted_at(1.0)
    throttle.reset()
    assert throttle.run_or_schedule(lambda _now: ACTED, 1.1) == ACTED
