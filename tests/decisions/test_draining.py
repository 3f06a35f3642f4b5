"""Phases of a planned stop: late requests that might outlive the process must not be accepted."""

import pytest

from merlinstand.decisions.draining import begin_drain

REQUESTED_AT = 100.0
DRAIN = begin_drain(drain_seconds=2.5, limit_seconds=7.0, now=REQUESTED_AT)


@pytest.mark.parametrize(
    ("seconds", "latest_end_seconds", "is_accepted"),
    [
        pytest.param(0.0, 60.0, True, id="load balancers have not noticed the stop"),
        pytest.param(2.5, 7.1, False, id="later, and may outlive the process"),
        pytest.param(2.5, 7.0, True, id="later, ends in time"),
        pytest.param(5.6, 7.1, False, id="shortly before the end"),
        pytest.param(7.1, 7.2, False, id="after the end"),
    ],
)
def test_late_requests_are_accepted_only_if_they_end_in_time(
    seconds: float, latest_end_seconds: float, is_accepted: bool
) -> None:
    latest_end = REQUESTED_AT + latest_end_seconds
    assert DRAIN.accepts(latest_end, REQUESTED_AT + seconds) is is_accepted


@pytest.mark.parametrize(
    ("seconds", "is_idle", "may_exit", "is_over"),
    [
        pytest.param(2.4, True, False, False, id="new connections may still come"),
        pytest.param(2.5, True, True, False, id="drained"),
        pytest.param(6.9, False, False, False, id="a request is pending"),
        pytest.param(7.0, False, False, True, id="pending requests must be ended"),
    ],
)
def test_exit(seconds: float, is_idle: bool, may_exit: bool, is_over: bool) -> None:
    now = REQUESTED_AT + seconds
    assert DRAIN.may_exit(is_idle, now) is may_exit
    assert DRAIN.is_over(now) is is_over


def test_a_short_limit_ends_the_first_phase_too() -> None:
    drain = begin_drain(drain_seconds=2.5, limit_seconds=1.0, now=0.0)
    assert not drain.accepts(latest_end=2.0, now=1.0)
