"""A throttle runs single operations at once, and combines those of a burst."""

import pytest

from merlinstand.kernel.effects import Effect, LogEvent, SetTimer
from merlinstand.kernel.throttle import Throttle

INTERVAL_SECONDS = 0.5
RUN: list[Effect] = [LogEvent("acted")]
SCHEDULED: list[Effect] = [SetTimer("later", 0.25)]


def throttle_that_ran_at(now: float) -> Throttle:
    throttle = Throttle("later", INTERVAL_SECONDS)
    throttle.record_run(now)
    return throttle


@pytest.mark.parametrize(
    ("throttle", "now", "expected"),
    [
        pytest.param(Throttle("later", INTERVAL_SECONDS), 0.0, RUN, id="first run"),
        pytest.param(throttle_that_ran_at(1.0), 1.25, SCHEDULED, id="within the interval"),
        pytest.param(throttle_that_ran_at(1.0), 1.5, RUN, id="at the end of the interval"),
        pytest.param(throttle_that_ran_at(1.0), 9.0, RUN, id="long after the last run"),
    ],
)
def test_run_is_delayed_at_most_until_the_end_of_the_interval(
    throttle: Throttle, now: float, expected: list[Effect]
) -> None:
    assert throttle.run_or_schedule(lambda _now: RUN, now) == expected


def test_next_run_after_a_reset_is_immediate() -> None:
    throttle = throttle_that_ran_at(1.0)
    throttle.reset()
    assert throttle.run_or_schedule(lambda _now: RUN, 1.1) == RUN
